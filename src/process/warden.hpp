// warden: one node. Puts the parts together and runs them from start to stop.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "connection/call.hpp"
#include "connection/guest.hpp"
#include "process/bell.hpp"
#include "process/cellar.hpp"
#include "process/council.hpp"
#include "process/office.hpp"
#include "process/roster.hpp"
#include "process/settings.hpp"
#include "process/wire.hpp"
#include "request/egress.hpp"
#include "request/ingress.hpp"
#include "version/chart.hpp"
#include "version/guestbook.hpp"

namespace merlin::hut {

class Warden {
 public:
  Warden(Bell& bell, Settings settings, std::string settingsPath);
  ~Warden();
  Warden(const Warden&) = delete;
  Warden& operator=(const Warden&) = delete;
  void start();
  void stop();    // SIGTERM
  void reread();  // SIGHUP

 private:
  void openDoors();
  void tick();
  void duties();
  [[nodiscard]] cairn::VoterView voterView();
  [[nodiscard]] bool handedOver();
  void chosen(const cairn::Value& value);
  void whenHeld(const InstanceId& id, std::function<void(bool)> done);
  void checkHeld();
  [[nodiscard]] std::string beatTarget(const InstanceId& id) const;
  [[nodiscard]] NodeId firstCore(const InstanceId& id) const;
  [[nodiscard]] bool liveCore(const NodeId& node) const;
  void watchNodes();
  void fleetChanged();
  void serveNode(const saddle::Visit::Ptr& visit);
  void drainOut();
  void applyLimits();
  [[nodiscard]] bool ready() const;
  [[nodiscard]] bool mayAct() const;
  void checkCurrent();
  nlohmann::json status();
  [[nodiscard]] nlohmann::json controlCounts() const;

  Bell& bell_;
  Settings settings_;
  std::string settingsPath_;
  bool core_;
  std::uint64_t seed_;
  saddle::Ropes meshRopes_;
  saddle::Ropes appRopes_;
  Wire wire_;
  cairn::Guestbook guestbook_;
  cairn::Evidence evidence_;
  std::unique_ptr<Cellar> cellar_;
  std::unique_ptr<Council> council_;
  std::unique_ptr<Roster> roster_;
  std::unique_ptr<Office> office_;
  std::unique_ptr<trail::Egress> egress_;
  std::unique_ptr<trail::Ingress> ingress_;
  std::unique_ptr<saddle::Door> egressDoor_;
  std::unique_ptr<saddle::Door> ingressDoor_;
  std::unique_ptr<saddle::Door> readyDoor_;
  std::unique_ptr<saddle::Door> controlDoor_;
  std::unique_ptr<saddle::Door> nodeDoor_;
  cairn::Chart::Ptr chart_;
  std::optional<Instant> stopping_;
  std::map<NodeId, Instant> coreSeen_;
  Instant tickedAt_;
  Instant listeningSince_;  // before that this process stood still and heard nobody
  struct Wait {
    InstanceId id;
    std::function<void(bool)> done;
    Instant until;
  };
  std::vector<Wait> waits_;
  std::set<NodeId> suspected_;  // found silent from here, and not heard since
  // Nodes that are quiet here: one that denies it by a higher incarnation is left alone for a
  // while.
  struct Quiet {
    std::uint64_t incarnation = 0;
    Instant leaveUntil;
  };
  std::map<NodeId, Quiet> quiet_;
  std::uint64_t fleetOf_ = 0;  // the change of nodes that the egress has been told of
  Instant sweepAt_;
  Instant startedAt_;
  std::optional<Instant> configAt_;  // when this life first had a configuration
  bool wasCurrent_ = false;          // in this life; what is in force here is no old one's
  Instant foreignAt_;                // when a foreign message was last logged
};

}  // namespace merlin::hut
