// chart: one version of the configuration, checked and laid out for look-ups. Never changed once
// made.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "units.hpp"

namespace merlin::cairn {

struct Route {
  std::string name;
  std::string prefix;
  bool idempotent = false;
  Span timeout{};
  Span target{};
  int priority = 0;
  int maxAttempts = 1;
  struct Share {
    ServiceName service;
    double weight;
  };
  std::vector<Share> split;
  // `draw` in [0, 1).
  [[nodiscard]] const ServiceName& pickService(double draw) const;
};

struct Limits {
  std::size_t headBytes = 16384;
  std::uint64_t bodyBytes = 64ULL << 20;
  Span headerTime = std::chrono::seconds(3);
  Span idleTime = std::chrono::seconds(15);
};

class Chart {
 public:
  using Ptr = std::shared_ptr<const Chart>;
  // Either a chart or the reason why not.
  struct Read {
    Ptr chart;
    std::string problem;
  };
  // `schema` false: the document has passed the schema before.
  static Read read(const nlohmann::json& config, bool schema = true);

  // The longest prefix among the host's routes; null if none.
  [[nodiscard]] const Route* match(std::string_view host, std::string_view uri) const;
  [[nodiscard]] Revision revision() const { return revision_; }
  [[nodiscard]] const Limits& limits() const { return limits_; }
  [[nodiscard]] std::size_t routeCount() const { return routes_.size(); }
  // 0 where the service names no bound.
  [[nodiscard]] int maxConnections(const ServiceName& service) const {
    const auto it = maxConnections_.find(service);
    return it == maxConnections_.end() ? 0 : it->second;
  }

 private:
  Revision revision_;
  Limits limits_;
  std::unordered_map<ServiceName, int> maxConnections_;
  // Routes of a host by their prefix: a path is looked up once for each of its slashes.
  struct Host {
    std::unordered_map<std::string_view, std::size_t> prefixes;
    std::size_t longest = 0;
  };
  std::unordered_map<std::string, Host> hosts_;
  std::deque<Route> routes_;
};

// The configuration that an Update makes of `base`; problem set where its shape is wrong.
struct Updated {
  nlohmann::json config;
  std::string problem;
};
Updated applyUpdate(const nlohmann::json& base, const nlohmann::json& update);

}  // namespace merlin::cairn
