// durable_store: saves a voter's state from the event loop without ever blocking it.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "event/event_loop.hpp"
#include "storage/directory_lock.hpp"
#include "storage/state_database.hpp"

namespace merlingauge::storage {

/// The disk of a control node. The public functions belong to the event-loop thread; the store owns
/// one storage thread, which alone uses the database once start() has been called. A disk that
/// hangs therefore holds up the replies that rest on it, never the event loop.
class DurableStore {
 public:
  /// Runs on the event-loop thread. Empty: the state is on the disk.
  using WriteCallback = std::function<void(const StorageResult& error)>;

  /// `loop` has to outlive the store. For `directory` and `mapBytes` see StateDatabase.
  DurableStore(event::EventLoop& loop, std::string directory, std::size_t mapBytes);
  /// Waits for the write under way; writes still queued are dropped, their callbacks too.
  ~DurableStore();
  DurableStore(const DurableStore&) = delete;
  DurableStore& operator=(const DurableStore&) = delete;

  /// What was saved. Blocks, and only before start().
  [[nodiscard]] LoadResult load();
  /// Marks the directory as in use and starts the storage thread.
  void start();
  /// Queues the state to be written and flushed. States that wait in the queue together are written
  /// as one, the last of them, since each holds everything before it.
  void save(StateRecord record, WriteCallback done);
  /// Calls back once everything queued before is on the disk, without a write of its own; with the
  /// error of the last of these writes if it failed.
  void afterPendingWrites(WriteCallback done);

  /// The largest configuration text that can be saved again and again, in bytes.
  [[nodiscard]] std::size_t maxTextBytes() const { return mapBytes_ / kMapBytesPerTextByte; }
  /// How many times a state was written and flushed since the start.
  [[nodiscard]] std::uint64_t commitCount() const { return commitCount_; }

 private:
  // One turn of the storage thread.
  struct Job {
    std::optional<StateRecord> record;  // none: only callbacks
    std::vector<WriteCallback> callbacks;
  };

  // The text before stays in the file until the new one is committed, and freed pages are not
  // always in one piece.
  static constexpr std::size_t kMapBytesPerTextByte = 5;

  void runStorageThread();
  // Waits for a job; none once the store is to stop.
  std::optional<Job> nextJob();
  StorageResult run(const Job& job);

  event::EventLoop& loop_;
  std::string directory_;
  std::size_t mapBytes_;
  StateDatabase database_;
  std::optional<DirectoryLock> directoryLock_;
  std::atomic<std::uint64_t> commitCount_{0};
  std::mutex mutex_;  // guards jobs_ and stopping_
  std::condition_variable jobsChanged_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace merlingauge::storage
