// config_change.hpp: an operator's change of the configuration, and its outcome on a given value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "base/errors.hpp"
#include "base/ids.hpp"
#include "config/change_history.hpp"
#include "config/config_text.hpp"
#include "consensus/proposer.hpp"
#include "consensus/register_value.hpp"

namespace merlingauge::control {

/// One call of Configuration.Replace or Configuration.Update. Immutable once made.
struct ConfigChange {
  enum class Kind : std::uint8_t {
    replace,  ///< the document is the whole new configuration
    update,   ///< the document lists upserts and removals on top of the base revision
  };
  Kind kind = Kind::replace;
  Revision baseRevision;     ///< the revision that the operator built the change on
  std::uint64_t digest = 0;  ///< `changeDigest` of the call; tells a repeated call from a rival
  /// The parsed body. Its invariant: it has passed the schema of its kind.
  std::shared_ptr<const nlohmann::json> document;
  /// The body byte for byte as the operator wrote it; null for an update.
  config::ConfigText::Ptr text;
};

/// The first 64 bits of the SHA-1 of kind, base revision (as written) and body. A call that is sent
/// again has the same digest, at whichever node it arrives.
std::uint64_t changeDigest(ConfigChange::Kind kind, const std::string& baseRevision,
                           const std::string& body);

struct ConfigChangeLimits {
  /// With fewer voters nothing is committed: what was acknowledged must outlive the tolerated
  /// number of lost disks.
  std::size_t minVoters = 1;
  /// The largest configuration, in bytes, that the voters' disks take.
  std::size_t maxTextBytes = SIZE_MAX;
  /// The length of the history, in changes, above which its oldest entries are dropped.
  std::size_t maxHistoryEntries = config::ChangeHistory::kMaxEntries;
};

/// The same call has been committed before; it is acknowledged again and writes nothing.
struct ChangeAlreadyCommitted {};

/// The change is not committed by this call. Whether it may still be, by another copy of the call,
/// is said by the error kind (see `decideChange`).
struct ChangeRejected {
  ErrorKind error = ErrorKind::versionConflict;
  std::string detail;  ///< for the operator, appended to the text of the error kind
};

/// The change is valid on top of the current value: what the register is to hold next.
struct ChangeApplied {
  config::ConfigText::Ptr config;
  Revision revision;                   ///< above the current one
  config::ChangeHistory::Ptr history;  ///< the current one with this change as its last entry
};

using ChangeDecision = std::variant<ChangeAlreadyCommitted, ChangeRejected, ChangeApplied>;

/// Decides a change from the current value alone, so every node comes to the same answer.
/// `current` must be committed, or made committed by the same proposal before the caller is
/// answered: otherwise a rejection could rest on a value that is never in force.
///
/// | base revision of the change                       | decision                              |
/// | ------------------------------------------------- | ------------------------------------- |
/// | the current one                                   | applied, or rejected as below         |
/// | in the history, followed by a change of its digest| already committed (200)               |
/// | in the history, followed by another change        | rejected, versionConflict (412)       |
/// | above the floor of the history, but not in it     | rejected, versionConflict (412)       |
/// | below the floor of the history                    | rejected, changeHistoryTruncated (503)|
/// | above the current one                             | rejected, baseNotYetCommitted (503)   |
///
/// A change of the current revision is rejected with tooFewVoters (503) below `minVoters`, and with
/// invalidConfig (400) where the resulting configuration breaks its rules, does not raise the
/// revision or exceeds `maxTextBytes`. Only a 400 or a 412 says that the change never takes effect.
/// docs/register.md, "Orders", has the argument.
ChangeDecision decideChange(const ConfigChange& change, const ConfigChangeLimits& limits,
                            const consensus::RegisterValue& current);

/// The decision in the terms of the proposer; an applied change is written into `next`.
consensus::Proposer::Decision toProposerDecision(ChangeDecision decision,
                                                 consensus::RegisterValue& next);

}  // namespace merlingauge::control
