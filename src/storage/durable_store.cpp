#include "storage/durable_store.hpp"

#include <utility>

namespace merlingauge::storage {

DurableStore::DurableStore(event::EventLoop& loop, std::string directory, std::size_t mapBytes)
    : loop_(loop),
      directory_(std::move(directory)),
      mapBytes_(mapBytes),
      database_(directory_, mapBytes) {}

DurableStore::~DurableStore() {
  if (!thread_.joinable()) return;
  {
    const std::lock_guard<std::mutex> guard(mutex_);
    stopping_ = true;
  }
  jobsChanged_.notify_one();
  thread_.join();
}

LoadResult DurableStore::load() { return database_.load(); }

void DurableStore::start() {
  database_.createDirectory();
  directoryLock_.emplace(directory_);
  thread_ = std::thread([this] { runStorageThread(); });
}

void DurableStore::save(StateRecord record, WriteCallback done) {
  {
    const std::lock_guard<std::mutex> guard(mutex_);
    if (jobs_.empty() || !jobs_.back().record) jobs_.emplace_back();
    jobs_.back().record = std::move(record);
    jobs_.back().callbacks.push_back(std::move(done));
  }
  jobsChanged_.notify_one();
}

void DurableStore::afterPendingWrites(WriteCallback done) {
  {
    const std::lock_guard<std::mutex> guard(mutex_);
    if (jobs_.empty()) jobs_.emplace_back();
    jobs_.back().callbacks.push_back(std::move(done));
  }
  jobsChanged_.notify_one();
}

void DurableStore::runStorageThread() {
  while (auto job = nextJob()) {
    const auto error = run(*job);
    loop_.post([callbacks = std::move(job->callbacks), error] {
      for (const auto& callback : callbacks) callback(error);
    });
  }
}

std::optional<DurableStore::Job> DurableStore::nextJob() {
  std::unique_lock<std::mutex> guard(mutex_);
  jobsChanged_.wait(guard, [this] { return stopping_ || !jobs_.empty(); });
  if (stopping_) return std::nullopt;
  Job job = std::move(jobs_.front());
  jobs_.pop_front();
  return job;
}

StorageResult DurableStore::run(const Job& job) {
  if (!job.record) return std::nullopt;
  auto error = database_.commit(*job.record);
  if (!error) ++commitCount_;
  return error;
}

}  // namespace merlingauge::storage
