// proposal_runner: runs proposals over the network and keeps the history of all calls.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/proposer.hpp"
#include "simulation/register/acceptor_service.hpp"
#include "simulation/register/call.hpp"
#include "simulation/register/fleet.hpp"
#include "simulation/register/network.hpp"

namespace merlingauge::test::register_world {

/// `gossip SHARE`: a committed value is passed on to each machine with that chance; and proposers
/// are offered the history that the machine has cached.
class ProposalRunner {
 public:
  ProposalRunner(const Scenario& scenario, Clock& clock, Fleet& fleet, Network& network,
                 AcceptorService& acceptors);

  /// Nothing happens where the machine is down. A call is lost with its machine's process.
  void run(Machine& machine, const CallPtr& call, consensus::Proposer::ChangeFunction change,
           std::function<void()> onCommitted = {});
  /// A read that only finishes what an earlier proposer left half done, or shows the newest value.
  CallPtr read(Machine& machine);

  [[nodiscard]] const std::vector<CallPtr>& calls() const { return calls_; }
  /// Of the acknowledged calls.
  [[nodiscard]] std::int64_t newestRevision() const { return newestRevision_; }
  void report(std::map<std::string, double>& measured) const;

 private:
  /// One proposal under way at a machine.
  struct Proposal {
    Machine& machine;
    int process = 0;
    CallPtr call;
    consensus::Proposer proposer;
    [[nodiscard]] bool isOver() const { return machine.process != process || proposer.result(); }
  };
  using ProposalPtr = std::shared_ptr<Proposal>;
  using Request = consensus::Proposer::OutgoingRequest;

  void advance(const ProposalPtr& proposal, const std::vector<Request>& requests);
  void sendRequest(const ProposalPtr& proposal, const Request& request);
  void sendReply(const ProposalPtr& proposal, const Request& request, const Machine& voter,
                 const consensus::RegisterReply& reply);
  void handleReply(const ProposalPtr& proposal, const Request& request, const std::string& text);
  void finish(Machine& machine, Call& call, const consensus::Proposer::Result& result);
  void passOn(consensus::RegisterValue value);

  Clock& clock_;
  Fleet& fleet_;
  Network& network_;
  AcceptorService& acceptors_;
  double passOnChance_ = 0;
  std::vector<CallPtr> calls_;
  std::int64_t newestRevision_ = 0;
  double sentBytes_ = 0;
};

}  // namespace merlingauge::test::register_world
