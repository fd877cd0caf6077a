// network: messages between machines that are delayed, lost or cut off.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "simulation/register/fleet.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test::register_world {

/// `delay LOW HIGH` in milliseconds; `loss SHARE`; `link FROM TO BEGIN END MS`: what is sent in
/// that time takes so much longer, or with `lost` in place of MS never arrives.
class Network {
 public:
  Network(const Scenario& scenario, Clock& clock, Fleet& fleet);

  /// A frozen recipient handles the message once it runs again.
  void deliver(const NodeId& from, const NodeId& to, std::function<void()> work);
  /// No message reaches or leaves the node for so long.
  void cut(const NodeId& node, double forMs);
  /// No more cuts and losses.
  void heal();

 private:
  struct SlowLink {
    std::string from;
    std::string to;
    double beginMs = 0;
    double endMs = 0;
    double extraMs = 0;
    bool loses = false;
  };

  Clock& clock_;
  Fleet& fleet_;
  double lowestDelayMs_ = 0.5;
  double highestDelayMs_ = 3;
  double loss_ = 0;
  std::vector<SlowLink> slowLinks_;
  std::set<NodeId> cuts_;
  bool healed_ = false;
};

}  // namespace merlingauge::test::register_world
