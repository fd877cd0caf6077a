// loads: what this node makes of each server: its own requests in flight there, what was last told
// of the others, aged; who was just found out of reach; and whose answers fail too often.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::proxy {

class LoadTracker {
 public:
  struct EndpointLoad {
    int ownRequests = 0;
    double averageOwn = 0;  // of the own requests there, over the last seconds
    TimePoint averagedAt;
    double otherRequests = 0;
    TimePoint reportedAt;
    int failures = 0;
    TimePoint unreachableUntil;
    // Answers: the share that failed, weighted to the newest.
    double failureRate = 0;
    int ejections = 0;
    TimePoint ejectedUntil;
    TimePoint usedAt;
  };

  // Stays where it is until `generation` changes.
  EndpointLoad& load(const InstanceId& id) { return loads_[id]; }
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

  void onRequestStarted(const InstanceId& id, TimePoint now);
  void onRequestEnded(const InstanceId& id, TimePoint now);
  // `jobs` running and waiting at the server, the reporter's own included.
  void onLoadReported(const InstanceId& id, double jobs, TimePoint now);
  void onUnreachable(const InstanceId& id, TimePoint now);
  void onReachable(const InstanceId& id);
  // How a server's own answer turned out.
  void onResponse(const InstanceId& id, bool well, TimePoint now);
  // Forgets those not used for long.
  void expireUnused(TimePoint now);

  [[nodiscard]] static bool isReachable(const EndpointLoad& book, TimePoint now) {
    return book.unreachableUntil <= now;
  }
  // Failed lately and not seen to work since: not for what can't be sent twice.
  [[nodiscard]] static bool isDoubtful(const EndpointLoad& book, TimePoint now);
  // Its answers fail: left alone until a trial shows otherwise.
  [[nodiscard]] static bool isEjected(const EndpointLoad& book, TimePoint now);
  [[nodiscard]] static double estimatedLoad(const EndpointLoad& book, TimePoint now);
  // The own requests there, averaged over time: others that draw as this node does have as many.
  [[nodiscard]] static double averageOwnLoad(const EndpointLoad& book, TimePoint now);

 private:
  void count(EndpointLoad& book, int by, TimePoint now);
  std::unordered_map<InstanceId, EndpointLoad> loads_;
  std::uint64_t generation_ = 0;
};

}  // namespace merlingauge::proxy
