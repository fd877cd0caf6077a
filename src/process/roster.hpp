// roster: the few nodes this node pulls news from, named by rendezvous hashing, and the pulls that
// hang here until there is something new. It reaches clock and network through its World only.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "units.hpp"
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
    std::function<std::uint64_t(Span, std::function<void()>)> after;
    std::function<void(std::uint64_t)> cancel;
    std::function<void(const NodeId&, const nlohmann::json&, Span,
                       std::function<void(std::optional<nlohmann::json>)>)>
        post;
  };
  using Answer = std::function<void(const nlohmann::json&)>;
  struct Parts {
    World world;
    NodeId self;
    ZoneName zone;
    std::function<const std::vector<NodeId>&()> seeds;
    cairn::Guestbook& guestbook;
    std::function<const cairn::Value&()> known;
    std::function<void(const cairn::Value&)> learn;
    std::function<void()> changed;  // pages have changed
    bool core = false;
  };
  explicit Roster(Parts parts) : parts_(std::move(parts)) {}

  void tick();
  // Something here is new: the pulls that hang are answered, a little later and together.
  void news();
  // One pull from another node; answered now or when there is something new.
  void serve(const nlohmann::json& pull, Answer answer);
  void stop();
  [[nodiscard]] bool heardWithin(const NodeId& node, Span span) const;
  [[nodiscard]] Instant lastHeard(const NodeId& node) const;
  [[nodiscard]] bool everPulled() const { return pulled_; }
  [[nodiscard]] std::size_t links() const { return links_.size(); }

 private:
  struct Link {
    bool busy = false;
    bool wanted = true;
    bool back = false;  // the peer is asked to pull from here too
    bool full = true;   // send the whole vector, not its digest
    int failures = 0;
    Instant retryAt;
  };
  struct Hanging {
    Answer answer;
    NodeId from;
    cairn::Vector had;
    std::uint64_t sequence = 0;
    std::uint64_t timer = 0;
  };
  void choose();
  void pull(const NodeId& peer);
  void took(const NodeId& peer, const nlohmann::json& answer);
  void answer(Hanging& hanging);
  [[nodiscard]] bool anythingFor(const Hanging& hanging) const;
  std::vector<NodeId> cores() const;

  Parts parts_;
  std::map<NodeId, Link> links_;
  std::map<NodeId, Instant> pulledFromHere_;
  std::map<NodeId, Instant> heard_;
  std::list<Hanging> hanging_;
  bool newsPlanned_ = false;
  bool pulled_ = false;
  bool stopped_ = false;
};

}  // namespace merlin::hut
