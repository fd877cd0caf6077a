// roster: the few nodes this node pulls news from, named by rendezvous hashing, and the pulls that
// hang here until there is something new. It reaches clock and network through its World only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "consensus/register.hpp"
#include "consensus/staleness_bound.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::gossip {

// The nodes of `all` in the order in which `self` prefers them; those in `near` come first.
std::vector<NodeId> rendezvousOrder(const NodeId& self, const std::vector<NodeId>& all,
                                    const std::set<NodeId>& near);

class GossipService {
 public:
  // The world as the roster sees it: the loop and the wire, or the test runner's.
  struct Environment {
    std::function<TimePoint()> now;
    // The clock itself: `now` may be as old as this turn of the loop, and a process can stand
    // still in the middle of one.
    std::function<TimePoint()> readClock;
    std::function<std::uint64_t(Duration, std::function<void()>)> after;
    std::function<void(std::uint64_t)> cancel;
    std::function<void(const NodeId&, const nlohmann::json&, Duration,
                       std::function<void(std::optional<nlohmann::json>)>)>
        send;
  };
  using ReplyCallback = std::function<void(const std::string&)>;
  struct Dependencies {
    Environment environment;
    NodeId self;
    ZoneName zone;
    std::function<const std::vector<NodeId>&()> seeds;
    membership::InstanceRegistry& registry;
    std::function<const consensus::RegisterValue&()> knownValue;
    // The same as JSON for a reader that has that text.
    std::function<const std::string&(std::uint64_t)> knownValueJson;
    std::function<consensus::RegisterValue(const nlohmann::json&)> parseValue;
    std::function<void(const consensus::RegisterValue&)> onValue;
    consensus::StalenessBound& stalenessBound;
    // This node's own voter: up to when all that it has accepted is known; none where none is
    // awake.
    std::function<std::optional<TimePoint>()> ownAcceptedAsOf;
    std::function<void()> onNodesChanged;  // pages have changed
    bool isControlNode = false;
    bool hearsInstances = true;  // servers tell this node of themselves: its news is waited for
    Duration updateInterval{};   // news on one link is gathered for so long: small machines need it
    Duration fullSyncInterval{};  // one that knows nothing is told everything: one in so long
    Duration initialDelay{};      // others find each other first
  };
  explicit GossipService(Dependencies parts) : dependencies_(std::move(parts)) {}

  void tick();
  // Something here is new: the pulls that hang are answered, a little later and together.
  void notifyUpdate();
  // One pull from another node; answered now or when there is something new.
  void handlePull(const nlohmann::json& pull, ReplyCallback answer);
  void stop();
  // Asks a node that has not been heard for a while whether it is there. One that is there has
  // other neighbours now, and is theirs to watch.
  void probe(const NodeId& node, const std::function<void(bool)>& told);
  [[nodiscard]] bool heardWithin(const NodeId& node, Duration span) const;
  [[nodiscard]] TimePoint lastHeard(const NodeId& node) const;
  // Those that this node has heard, but not for so long.
  [[nodiscard]] std::vector<NodeId> unheardFor(Duration span) const;
  [[nodiscard]] bool hasPulled() const { return hasPulled_; }
  // How long ago a core was heard, whatever that core knows.
  [[nodiscard]] Duration controlContactAge() const;
  // All that was chosen longer ago than this is known here.
  [[nodiscard]] Duration stalenessAge() const;
  [[nodiscard]] bool isUpToDate() const { return stalenessAge() <= kUpToDateBound; }
  // A core's last contact with a majority of the voters, and whether it may act for the others.
  // The bound is a lease without a leader: whoever can't renew it loses it by its own clock.
  [[nodiscard]] Duration quorumContactAge() const;
  [[nodiscard]] bool hasQuorumLease() const {
    return dependencies_.isControlNode && quorumContactAge() <= kQuorumLease;
  }
  [[nodiscard]] TimePoint leaseHeldSince() const { return leaseHeldSince_; }
  // Contacts with voters are renewed by pulls that hang for two seconds at most.
  static constexpr Duration kQuorumLease = std::chrono::milliseconds(3000);
  // Such a contact, and then one more pull that hangs for two seconds.
  static constexpr Duration kUpToDateBound = std::chrono::milliseconds(4500);
  // How many neighbours are pulled from, and how many pull from here and wait now.
  [[nodiscard]] std::size_t pullTargetCount() const { return links_.size(); }
  [[nodiscard]] std::size_t pendingPollCount() const { return pendingPolls_.size(); }
  // How many other core nodes that stay are known to hold that word.
  [[nodiscard]] std::size_t replicaCount(const membership::Dot& dot) const;
  // Called whenever another node has told how far it has come.
  std::function<void()> onPeerProgress;
  // Called when another node has answered for the first time.
  std::function<void(const NodeId&)> onFirstContact;
  // Called when this core has got or lost its authority.
  std::function<void(bool)> onLeaseChange;

 private:
  struct Link {
    explicit Link(const std::shared_ptr<membership::SourceTable>& incarnations)
        : told(incarnations) {}
    bool busy = false;
    bool wanted = true;
    bool back = false;  // the peer is asked to pull from here too
    bool lazy = false;  // asked now and then for what has not come by others
    bool full = true;   // the peer doesn't know how far this node has come
    bool met = false;   // it has answered once
    int failures = 0;
    TimePoint askedAt;  // when the pull that is out was sent
    TimePoint retryAt;
    membership::VersionVector told;  // how far the peer knows this node to have come
    std::uint32_t mend = 0;          // ranges in which the two differ
  };
  struct PendingPoll {
    ReplyCallback answer;
    std::uint64_t sequence = 0;
    std::uint64_t text = 0;  // of the configuration that the puller has
    std::uint64_t digest = 0;
    std::uint64_t timer = 0;
    TimePoint notBefore;
    TimePoint arrived;           // not before it was sent, whatever this process was kept from
    bool isControlNode = false;  // the puller is one
  };
  void choose();
  void startDiscovery();
  void onDiscoveryAnswer(const nlohmann::json& answer);
  [[nodiscard]] nlohmann::json knownControlNodes() const;
  [[nodiscard]] bool knowsLittle(const nlohmann::json& pull) const;
  [[nodiscard]] Duration waitOf(const NodeId& newcomer);
  void forget(TimePoint now);
  const std::vector<NodeId>& peers();
  [[nodiscard]] std::set<NodeId> near(const std::vector<NodeId>& nodes) const;
  [[nodiscard]] Duration pace() const;
  void pull(const NodeId& peer);
  void answered(const NodeId& peer, bool near, const std::optional<nlohmann::json>& answer);
  void took(const NodeId& peer, const nlohmann::json& answer);
  void answerPolls();
  void answer(const NodeId& to, const PendingPoll& hanging, bool timeUp);
  void onPollTimeout(const NodeId& from);
  [[nodiscard]] bool hasOtherText(const PendingPoll& hanging) const;
  [[nodiscard]] bool anythingFor(const NodeId& from, const PendingPoll& hanging) const;
  std::vector<NodeId> controlNodes() const;
  void checkLease();
  using Field = std::function<void(const char* name, const std::string& value)>;
  void writeStalenessBound(const PendingPoll& hanging, const Field& add) const;
  void readStalenessBound(const NodeId& peer, const nlohmann::json& answer, TimePoint asked);
  [[nodiscard]] bool cutOff(const NodeId& core) const;
  void cutOff(const NodeId& core, bool is);
  [[nodiscard]] TimePoint lastQuorumContact() const;

  Dependencies dependencies_;
  std::map<NodeId, Link> links_;
  struct Asked {
    TimePoint at;
    bool lazy = false;
  };
  std::map<NodeId, Asked> pulledFromHere_;  // who asked to be pulled from
  std::map<NodeId, TimePoint> heard_;
  std::map<NodeId, TimePoint> currentAt_;
  std::map<NodeId, PendingPoll> pendingPolls_;
  std::map<NodeId, TimePoint> answeredAt_;            // when news last went to each puller
  std::map<NodeId, membership::VersionVector> told_;  // how far each puller has come, as it says
  std::map<NodeId, Incarnation> toldIn_;              // and in which life it said so
  std::vector<NodeId> peers_;
  std::uint64_t peersFor_ = 0;
  std::uint64_t chosenFor_ = 0;  // the change of nodes that the links were last chosen for
  TimePoint chosenAt_;
  TimePoint firstMeetAt_;  // the pull from one not met yet that is out
  TimePoint discoverAt_;   // a core is asked for the others, before anything else
  std::size_t discoveryAttempts_ = 0;
  bool discoveryDone_ = false;
  std::map<NodeId, ZoneName> discoveredControlNodes_;  // cores that were told so
  std::map<NodeId, TimePoint> reserved_;  // newcomers that were told when to come again
  TimePoint nextIn_;                      // the next newcomer's turn
  std::map<NodeId, TimePoint> cutOff_;    // cores that said so of themselves, and when
  TimePoint startedAt_ = consensus::StalenessBound::kNever;
  TimePoint leaseHeldSince_ = consensus::StalenessBound::kNever;
  bool hasLease_ = false;
  bool updateScheduled_ = false;
  bool hasPulled_ = false;
  bool stopped_ = false;
};

}  // namespace merlingauge::gossip
