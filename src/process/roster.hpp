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

#include "units.hpp"
#include "version/evidence.hpp"
#include "version/guestbook.hpp"
#include "version/register.hpp"

namespace merlin::hut {

// The nodes of `all` in the order in which `self` prefers them; those in `near` come first.
std::vector<NodeId> rendezvous(const NodeId& self, const std::vector<NodeId>& all,
                               const std::set<NodeId>& near);

class Roster {
 public:
  // The world as the roster sees it: the loop and the wire, or the test runner's.
  struct World {
    std::function<Instant()> now;
    // The clock itself: `now` may be as old as this turn of the loop, and a process can stand
    // still in the middle of one.
    std::function<Instant()> clock;
    std::function<std::uint64_t(Span, std::function<void()>)> after;
    std::function<void(std::uint64_t)> cancel;
    std::function<void(const NodeId&, const nlohmann::json&, Span,
                       std::function<void(std::optional<nlohmann::json>)>)>
        post;
  };
  using Answer = std::function<void(const std::string&)>;
  struct Parts {
    World world;
    NodeId self;
    ZoneName zone;
    std::function<const std::vector<NodeId>&()> seeds;
    cairn::Guestbook& guestbook;
    std::function<const cairn::Value&()> known;
    // The same as JSON for a reader that has that text.
    std::function<const std::string&(std::uint64_t)> knownFor;
    std::function<cairn::Value(const nlohmann::json&)> readValue;
    std::function<void(const cairn::Value&)> learn;
    cairn::Evidence& evidence;
    // This node's own voter: up to when all that it has accepted is known; none where none is
    // awake.
    std::function<std::optional<Instant>()> own;
    std::function<void()> changed;  // pages have changed
    bool core = false;
    bool hears = true;  // servers tell this node of themselves: its news is waited for
    Span pace{};        // news on one link is gathered for so long: small machines need it
    Span letIn{};       // one that knows nothing is told everything: one in so long
    Span firstWait{};   // others find each other first
  };
  explicit Roster(Parts parts) : parts_(std::move(parts)) {}

  void tick();
  // Something here is new: the pulls that hang are answered, a little later and together.
  void news();
  // One pull from another node; answered now or when there is something new.
  void serve(const nlohmann::json& pull, Answer answer);
  void stop();
  // Asks a node that has not been heard for a while whether it is there. One that is there has
  // other neighbours now, and is theirs to watch.
  void probe(const NodeId& node, const std::function<void(bool)>& told);
  [[nodiscard]] bool heardWithin(const NodeId& node, Span span) const;
  [[nodiscard]] Instant lastHeard(const NodeId& node) const;
  // Those that this node has heard, but not for so long.
  [[nodiscard]] std::vector<NodeId> quietFor(Span span) const;
  [[nodiscard]] bool everPulled() const { return pulled_; }
  // How long ago a core was heard, whatever that core knows.
  [[nodiscard]] Span newsAge() const;
  // All that was chosen longer ago than this is known here.
  [[nodiscard]] Span knownAge() const;
  [[nodiscard]] bool current() const { return knownAge() <= kCurrent; }
  // A core's last contact with a majority of the voters, and whether it may act for the others.
  // The bound is a lease without a leader: whoever can't renew it loses it by its own clock.
  [[nodiscard]] Span quorumAge() const;
  [[nodiscard]] bool hasAuthority() const { return parts_.core && quorumAge() <= kAuthority; }
  [[nodiscard]] Instant authoritySince() const { return authoritySince_; }
  // Contacts with voters are renewed by pulls that hang for two seconds at most.
  static constexpr Span kAuthority = std::chrono::milliseconds(3000);
  // Such a contact, and then one more pull that hangs for two seconds.
  static constexpr Span kCurrent = std::chrono::milliseconds(4500);
  // How many neighbours are pulled from, and how many pull from here and wait now.
  [[nodiscard]] std::size_t pulling() const { return links_.size(); }
  [[nodiscard]] std::size_t pulledFrom() const { return hanging_.size(); }
  // How many other core nodes that stay are known to hold that word.
  [[nodiscard]] std::size_t holders(const cairn::Dot& dot) const;
  // Called whenever another node has told how far it has come.
  std::function<void()> onTold;
  // Called when another node has answered for the first time.
  std::function<void(const NodeId&)> onMet;
  // Called when this core has got or lost its authority.
  std::function<void(bool)> onAuthority;

 private:
  struct Link {
    explicit Link(const std::shared_ptr<cairn::Lives>& lives) : told(lives) {}
    bool busy = false;
    bool wanted = true;
    bool back = false;  // the peer is asked to pull from here too
    bool lazy = false;  // asked now and then for what has not come by others
    bool full = true;   // the peer doesn't know how far this node has come
    bool met = false;   // it has answered once
    int failures = 0;
    Instant askedAt;  // when the pull that is out was sent
    Instant retryAt;
    cairn::Tally told;       // how far the peer knows this node to have come
    std::uint32_t mend = 0;  // ranges in which the two differ
  };
  struct Hanging {
    Answer answer;
    std::uint64_t sequence = 0;
    std::uint64_t text = 0;  // of the configuration that the puller has
    std::uint64_t digest = 0;
    std::uint64_t timer = 0;
    Instant notBefore;
    Instant arrived;    // not before it was sent, whatever this process was kept from
    bool core = false;  // the puller is one
  };
  void choose();
  void greet();
  void greeted(const nlohmann::json& answer);
  [[nodiscard]] nlohmann::json coresTold() const;
  [[nodiscard]] bool knowsLittle(const nlohmann::json& pull) const;
  [[nodiscard]] Span waitOf(const NodeId& newcomer);
  void forget(Instant now);
  const std::vector<NodeId>& peers();
  [[nodiscard]] std::set<NodeId> near(const std::vector<NodeId>& nodes) const;
  [[nodiscard]] Span pace() const;
  void pull(const NodeId& peer);
  void answered(const NodeId& peer, bool near, const std::optional<nlohmann::json>& answer);
  void took(const NodeId& peer, const nlohmann::json& answer);
  void tellNews();
  void answer(const NodeId& to, const Hanging& hanging, bool timeUp);
  void timeUp(const NodeId& from);
  [[nodiscard]] bool hasOtherText(const Hanging& hanging) const;
  [[nodiscard]] bool anythingFor(const NodeId& from, const Hanging& hanging) const;
  std::vector<NodeId> cores() const;
  void watchAuthority();
  using Field = std::function<void(const char* name, const std::string& value)>;
  void tellEvidence(const Hanging& hanging, const Field& add) const;
  void takeEvidence(const NodeId& peer, const nlohmann::json& answer, Instant asked);
  [[nodiscard]] bool cutOff(const NodeId& core) const;
  void cutOff(const NodeId& core, bool is);
  [[nodiscard]] Instant quorumAt() const;

  Parts parts_;
  std::map<NodeId, Link> links_;
  struct Asked {
    Instant at;
    bool lazy = false;
  };
  std::map<NodeId, Asked> pulledFromHere_;  // who asked to be pulled from
  std::map<NodeId, Instant> heard_;
  std::map<NodeId, Instant> currentAt_;
  std::map<NodeId, Hanging> hanging_;
  std::map<NodeId, Instant> answeredAt_;  // when news last went to each puller
  std::map<NodeId, cairn::Tally> told_;   // how far each puller has come, as it says
  std::map<NodeId, Life> toldIn_;         // and in which life it said so
  std::vector<NodeId> peers_;
  std::uint64_t peersFor_ = 0;
  std::uint64_t chosenFor_ = 0;  // the change of nodes that the links were last chosen for
  Instant chosenAt_;
  Instant firstMeetAt_;  // the pull from one not met yet that is out
  Instant greetAt_;      // a core is asked for the others, before anything else
  std::size_t greetings_ = 0;
  bool greeted_ = false;
  std::map<NodeId, ZoneName> hinted_;   // cores that were told so
  std::map<NodeId, Instant> reserved_;  // newcomers that were told when to come again
  Instant nextIn_;                      // the next newcomer's turn
  std::map<NodeId, Instant> cutOff_;    // cores that said so of themselves, and when
  Instant startedAt_ = cairn::Evidence::kNever;
  Instant authoritySince_ = cairn::Evidence::kNever;
  bool authority_ = false;
  bool newsPlanned_ = false;
  bool pulled_ = false;
  bool stopped_ = false;
};

}  // namespace merlin::hut
