// register_value.hpp: what the replicated register holds: the configuration and its voters.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/change_history.hpp"
#include "config/config_text.hpp"
#include "config/config_text_cache.hpp"

namespace merlingauge::consensus {

/// One value of the register. Each is made from the one before it, under the ballot that makes it
/// (CASPaxos: the change function is applied to the value that the prepare phase read).
struct RegisterValue {
  /// Rises by one with every change, so of two committed values the one with the higher sequence
  /// extends the other (at most one value is committed under one sequence).
  std::uint64_t sequence = 0;
  /// Rises by one with every change of `voters` or `previousVoters`. A change of voters names the
  /// epoch that it builds on, so one decided on an outdated view does nothing.
  std::uint64_t epoch = 0;
  /// Names this value: the author and number of the ballot that made it. No two values share one,
  /// so equal ids mean equal values. Empty only in the initial value.
  std::string uniqueId;
  /// JSON as the operator wrote it. Null before the first configuration, and while
  /// `missingTextId` is set.
  config::ConfigText::Ptr config;
  /// The text that the sender left out and this node lacks; 0: none. Set only in what a prepare
  /// reply shows: the proposer fetches the text before it goes on.
  std::uint64_t missingTextId = 0;
  /// The revision that the operator gave the configuration. Rises with every change of it.
  Revision configRevision;
  /// Which change made each revision; its last entry made `configRevision`. Null means the same as
  /// a history with that revision as its floor: nothing is known of the changes before. So leaving
  /// it out can make an answer to an operator unclear, never wrong.
  config::ChangeHistory::Ptr history;
  /// Whose majority commits a value, sorted (reconfiguration by a joint quorum).
  std::vector<NodeId> voters;
  /// The voters before these, until the change of voters is complete: a majority of them is needed
  /// as well. They are dropped only by a value that builds on a committed one, since whoever reads
  /// that value asks the new voters alone.
  std::vector<NodeId> previousVoters;

  [[nodiscard]] Revision revision() const { return configRevision; }
  [[nodiscard]] bool isVoter(const NodeId& node) const;
  /// The id of `config`, 0 where there is none.
  [[nodiscard]] std::uint64_t textId() const { return config ? config->id() : 0; }
  /// The id of `history`, 0 where there is none.
  [[nodiscard]] std::uint64_t historyId() const { return history ? history->id() : 0; }
};

/// What the receiver of a value has already, so that only what differs is sent (0: it has nothing).
struct ReceiverState {
  std::uint64_t textId = 0;     ///< a configuration text that the receiver has cached
  std::uint64_t historyId = 0;  ///< a change history that the receiver has cached
  bool wantsHistory = true;     ///< else the history is left out
  /// Else a large text that the receiver lacks is only named: it reads many copies of one value and
  /// fetches the text once.
  bool wantsLargeText = true;
};

/// How much longer a message with `bytes` of text may take to be sent, read and written to disk.
[[nodiscard]] Duration extraRoundTime(std::size_t bytes);
/// The same for the text of `value`.
[[nodiscard]] Duration extraRoundTime(const RegisterValue& value);

/// Adds the text and the history of `value` to the cache from which later messages are decoded.
void cacheTexts(config::ConfigTextCache& textCache, const RegisterValue& value);

}  // namespace merlingauge::consensus
