// loads: what this node makes of how busy each server is: its own requests in flight there, and
// what the node beside the server last said, aged. Also who was just found out of reach.
#pragma once

#include <unordered_map>

#include "units.hpp"

namespace merlin::trail {

class Loads {
 public:
  void began(const InstanceId& id) { ++books_[id].own; }
  void ended(const InstanceId& id);
  // `jobs` running and waiting at the server, the reporter's own included.
  void reported(const InstanceId& id, double jobs, Instant now);
  void failed(const InstanceId& id, Instant now);
  void worked(const InstanceId& id);
  [[nodiscard]] bool reachable(const InstanceId& id, Instant now) const;
  // Failed lately and not seen to work since: not for what can't be sent twice.
  [[nodiscard]] bool doubtful(const InstanceId& id, Instant now) const;
  [[nodiscard]] double jobs(const InstanceId& id, Instant now) const;
  void forget(const InstanceId& id) { books_.erase(id); }
  [[nodiscard]] std::size_t size() const { return books_.size(); }

 private:
  struct Book {
    int own = 0;
    double others = 0;
    Instant at;
    int failures = 0;
    Instant shutUntil;
  };
  std::unordered_map<InstanceId, Book> books_;
};

}  // namespace merlin::trail
