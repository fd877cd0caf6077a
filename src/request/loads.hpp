// loads: what this node makes of each server: its own requests in flight there, what was last told
// of the others, aged; who was just found out of reach; and whose answers fail too often.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "units.hpp"

namespace merlin::trail {

class Loads {
 public:
  struct Book {
    int own = 0;
    double mean = 0;  // of the own requests there, over the last seconds
    Instant meanAt;
    double others = 0;
    Instant at;
    int failures = 0;
    Instant shutUntil;
    // Answers: the share that failed, weighted to the newest.
    double failing = 0;
    int ejections = 0;
    Instant ejectedUntil;
    Instant used;
  };

  // Stays where it is until `generation` changes.
  Book& book(const InstanceId& id) { return books_[id]; }
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

  void began(const InstanceId& id, Instant now);
  void ended(const InstanceId& id, Instant now);
  // `jobs` running and waiting at the server, the reporter's own included.
  void reported(const InstanceId& id, double jobs, Instant now);
  void failed(const InstanceId& id, Instant now);
  void worked(const InstanceId& id);
  // How a server's own answer turned out.
  void answered(const InstanceId& id, bool well, Instant now);
  // Forgets those not used for long.
  void sweep(Instant now);

  [[nodiscard]] static bool reachable(const Book& book, Instant now) {
    return book.shutUntil <= now;
  }
  // Failed lately and not seen to work since: not for what can't be sent twice.
  [[nodiscard]] static bool doubtful(const Book& book, Instant now);
  // Its answers fail: left alone until a trial shows otherwise.
  [[nodiscard]] static bool ejected(const Book& book, Instant now);
  [[nodiscard]] static double jobs(const Book& book, Instant now);
  // The own requests there, averaged over time: others that draw as this node does have as many.
  [[nodiscard]] static double mean(const Book& book, Instant now);

 private:
  void count(Book& book, int by, Instant now);
  std::unordered_map<InstanceId, Book> books_;
  std::uint64_t generation_ = 0;
};

}  // namespace merlin::trail
