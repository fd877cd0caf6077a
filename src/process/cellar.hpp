// cellar: the disk of a core node. LMDB belongs to one thread of its own; the loop hands work over
// and hears back, so a disk that hangs holds up promises, never the loop.
//
// LMDB chooses between two meta pages by their number alone, and writes the newer one last: a torn
// one could be taken for good. So every commit is sealed in a file beside it before it counts, and
// before LMDB opens, a meta page that no seal knows is replaced by the one that it was to follow.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "process/bell.hpp"
#include "version/signboard.hpp"

struct MDB_env;

namespace merlin::hut {

class Cellar {
 public:
  using Done = std::function<void(bool ok)>;
  struct Record {
    std::string head;
    cairn::Signboard::Ptr text;  // large and seldom changed: written only when it has
  };
  struct Loaded {
    std::string head;
    std::string text;
  };
  enum class Found : std::uint8_t { nothing, record, damage };

  Cellar(Bell& bell, std::string folder, std::size_t bytes);
  ~Cellar();
  Cellar(const Cellar&) = delete;
  Cellar& operator=(const Cellar&) = delete;

  // False while a process holds the folder.
  static bool free(const std::string& folder);
  // Before `start`: what was saved, if it is there and whole. What is damaged is put aside.
  std::optional<Loaded> load();
  [[nodiscard]] Found found() const { return found_; }
  void start();
  // Writes and syncs the record; later saves that wait together are written as one.
  void save(Record record, Done done);
  // Runs after everything handed in before, without writing.
  void after(Done done);
  [[nodiscard]] std::size_t backlog();
  // The largest text that can be saved again and again: the one before stays until a new one is
  // whole, and freed pages are not always in one piece.
  [[nodiscard]] std::size_t mostText() const { return bytes_ / 5; }
  // How often something was written and synced since the start.
  [[nodiscard]] std::uint64_t saves() const { return saves_; }
  [[nodiscard]] const std::string& problem() const { return problem_; }
  // The write itself, on the calling thread; for `work` and for tests.
  bool write(const Record& record);

 private:
  struct Job {
    std::optional<Record> record;
    std::vector<Done> done;
  };
  void work();
  bool open();
  void closeEnv();
  bool failed(const std::string& what);
  Found mendMeta();
  bool seal();
  void putAside();
  [[nodiscard]] std::string file(const char* name) const { return folder_ + "/" + name; }

  Bell& bell_;
  std::string folder_;
  int held_ = -1;  // the folder, marked as in use
  std::size_t bytes_;
  MDB_env* env_ = nullptr;
  unsigned dbi_ = 0;
  std::uint64_t textHeld_ = 0;  // the text that is on the disk
  std::uint64_t seals_ = 0;     // how many have been written
  std::atomic<std::uint64_t> saves_{0};
  Found found_ = Found::nothing;
  std::string problem_;
  std::mutex lock_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace merlin::hut
