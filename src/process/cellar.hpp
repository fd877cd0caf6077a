// cellar: the disk of a core node. LMDB belongs to one thread of its own; the loop hands work over
// and hears back, so a disk that hangs holds up promises, never the loop.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "process/bell.hpp"

struct MDB_env;

namespace merlin::hut {

class Cellar {
 public:
  using Done = std::function<void(bool ok)>;

  Cellar(Bell& bell, std::string folder, std::size_t bytes);
  ~Cellar();
  Cellar(const Cellar&) = delete;
  Cellar& operator=(const Cellar&) = delete;

  // Before `start`: what was saved, if it is there and whole.
  std::optional<std::string> load();
  void start();
  // Writes and syncs the record; later saves that wait together are written as one.
  void save(std::string record, Done done);
  // Runs after everything handed in before, without writing.
  void after(Done done);
  [[nodiscard]] std::size_t backlog();
  [[nodiscard]] const std::string& problem() const { return problem_; }

 private:
  struct Job {
    std::optional<std::string> record;
    std::vector<Done> done;
  };
  void work();
  bool write(const std::string& record);
  bool open();
  void closeEnv();

  Bell& bell_;
  std::string folder_;
  std::size_t bytes_;
  MDB_env* env_ = nullptr;
  unsigned dbi_ = 0;
  std::string problem_;
  std::mutex lock_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace merlin::hut
