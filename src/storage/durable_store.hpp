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

#include "config/config_text.hpp"
#include "event/event_loop.hpp"

struct MDB_env;

namespace merlingauge::storage {

class DurableStore {
 public:
  using WriteCallback = std::function<void(bool ok)>;
  struct Record {
    std::string head;
    config::ConfigText::Ptr configText;  // large and seldom changed: written only when it has
  };
  struct StoredState {
    std::string head;
    std::string configText;
  };
  enum class LoadStatus : std::uint8_t { empty, loaded, corrupt };

  DurableStore(event::EventLoop& loop, std::string folder, std::size_t bytes);
  ~DurableStore();
  DurableStore(const DurableStore&) = delete;
  DurableStore& operator=(const DurableStore&) = delete;

  // False while a process holds the folder.
  static bool isUnused(const std::string& folder);
  // Before `start`: what was saved, if it is there and whole. What is damaged is put aside.
  std::optional<StoredState> load();
  [[nodiscard]] LoadStatus loadStatus() const { return loadStatus_; }
  void start();
  // Writes and syncs the record; later saves that wait together are written as one.
  void save(Record record, WriteCallback done);
  // Runs after everything handed in before, without writing.
  void afterPendingWrites(WriteCallback done);
  [[nodiscard]] std::size_t pendingWrites();
  // The largest text that can be saved again and again: the one before stays until a new one is
  // whole, and freed pages are not always in one piece.
  [[nodiscard]] std::size_t maxTextBytes() const { return mapBytes_ / 5; }
  // How often something was written and synced since the start.
  [[nodiscard]] std::uint64_t commitCount() const { return commitCount_; }
  [[nodiscard]] const std::string& error() const { return error_; }
  // The write itself, on the calling thread; for `work` and for tests.
  bool commit(const Record& record);

 private:
  struct Job {
    std::optional<Record> record;
    std::vector<WriteCallback> done;
  };
  void work();
  bool open();
  void closeEnv();
  bool failed(const std::string& what);
  LoadStatus repairMetaPages();
  bool writeCommitRecord();
  void quarantine();
  [[nodiscard]] std::string file(const char* name) const { return directory_ + "/" + name; }

  event::EventLoop& loop_;
  std::string directory_;
  int directoryLock_ = -1;  // the folder, marked as in use
  std::size_t mapBytes_;
  MDB_env* env_ = nullptr;
  unsigned dbi_ = 0;
  std::uint64_t storedTextId_ = 0;   // the text that is on the disk
  std::uint64_t commitRecords_ = 0;  // how many have been written
  std::atomic<std::uint64_t> commitCount_{0};
  LoadStatus loadStatus_ = LoadStatus::empty;
  std::string error_;
  std::mutex lock_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace merlingauge::storage
