// quorum_checker: the invariants of quorums, checked with every acceptance.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/messages.hpp"
#include "simulation/register/fleet.hpp"

namespace merlingauge::test::register_world {

/// Works where the voters are managed automatically. A violation is kept until requireNoProblem.
class QuorumChecker {
 public:
  QuorumChecker(const Clock& clock, const Fleet& fleet) : clock_(clock), fleet_(fleet) {}

  /// The machine has accepted, and what it accepted is on its disk.
  void handleAcceptance(const Machine& machine, const consensus::RegisterRequest& request);
  void addProblem(const std::string& what);
  void requireNoProblem() const;

 private:
  /// The newest chosen value is on a majority of the disks of its voters, but for those lost since.
  void checkNewestIsStored();
  [[nodiscard]] static bool isStoredBy(std::size_t holders, std::size_t lost, std::size_t voters) {
    return holders > 0 && holders + lost >= voters / 2 + 1;
  }

  struct Acceptances {
    consensus::RegisterValue value;
    std::set<NodeId> acceptedBy;
  };
  const Clock& clock_;
  const Fleet& fleet_;
  std::map<consensus::Ballot, Acceptances> acceptances_;
  std::map<std::uint64_t, consensus::RegisterValue> chosen_;  ///< by sequence
  std::vector<std::string> problems_;
  bool hadEnoughVoters_ = false;  ///< from then on there must be 2f + 1
};

}  // namespace merlingauge::test::register_world
