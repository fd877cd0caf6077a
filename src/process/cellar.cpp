#include "process/cellar.hpp"

#include <lmdb.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace merlin::hut {

namespace {
constexpr const char* kKey = "ledge";
constexpr std::size_t kSumBytes = sizeof(std::uint64_t);
constexpr mdb_mode_t kMode = 0600;

std::string sealed(const std::string& record) {
  const std::uint64_t sum = mixHash(record);
  std::string out(kSumBytes, '\0');
  std::memcpy(out.data(), &sum, kSumBytes);
  return out + record;
}

std::optional<std::string> unsealed(const MDB_val& value) {
  if (value.mv_size < kSumBytes) return std::nullopt;
  std::uint64_t sum = 0;
  std::memcpy(&sum, value.mv_data, kSumBytes);
  std::string record(static_cast<const char*>(value.mv_data) + kSumBytes,
                     value.mv_size - kSumBytes);
  if (mixHash(record) != sum) return std::nullopt;
  return record;
}
}  // namespace

Cellar::Cellar(Bell& bell, std::string folder, std::size_t bytes)
    : bell_(bell), folder_(std::move(folder)), bytes_(bytes) {}

Cellar::~Cellar() {
  if (thread_.joinable()) {
    {
      const std::lock_guard<std::mutex> hold(lock_);
      stop_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  closeEnv();
}

bool Cellar::open() {
  if (env_ != nullptr) return true;
  ::mkdir(folder_.c_str(), 0700);
  const auto failed = [&](int rc) {
    problem_ = mdb_strerror(rc);
    closeEnv();
    return false;
  };
  int rc = mdb_env_create(&env_);
  if (rc != 0) return failed(rc);
  mdb_env_set_mapsize(env_, bytes_);
  // One process, one writing thread: LMDB's own lock file is not needed.
  rc = mdb_env_open(env_, folder_.c_str(), MDB_NOLOCK | MDB_NOTLS | MDB_NORDAHEAD, kMode);
  if (rc != 0) return failed(rc);
  MDB_txn* txn = nullptr;
  rc = mdb_txn_begin(env_, nullptr, 0, &txn);
  if (rc != 0) return failed(rc);
  rc = mdb_dbi_open(txn, nullptr, 0, &dbi_);
  if (rc == 0) {
    rc = mdb_txn_commit(txn);
  } else {
    mdb_txn_abort(txn);
  }
  return rc == 0 || failed(rc);
}

void Cellar::closeEnv() {
  if (env_ != nullptr) mdb_env_close(env_);
  env_ = nullptr;
}

std::optional<std::string> Cellar::load() {
  if (!open()) return std::nullopt;
  MDB_txn* txn = nullptr;
  if (mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn) != 0) return std::nullopt;
  MDB_val key{std::strlen(kKey), const_cast<char*>(kKey)};
  MDB_val value{};
  std::optional<std::string> out;
  if (mdb_get(txn, dbi_, &key, &value) == 0) {
    out = unsealed(value);
    if (!out) problem_ = "the record is damaged";
  }
  mdb_txn_abort(txn);
  return out;
}

bool Cellar::write(const std::string& record) {
  if (!open()) return false;
  MDB_txn* txn = nullptr;
  int rc = mdb_txn_begin(env_, nullptr, 0, &txn);
  if (rc == 0) {
    std::string bytes = sealed(record);
    MDB_val key{std::strlen(kKey), const_cast<char*>(kKey)};
    MDB_val value{bytes.size(), bytes.data()};
    rc = mdb_put(txn, dbi_, &key, &value, 0);
    if (rc == 0) {
      rc = mdb_txn_commit(txn);
    } else {
      mdb_txn_abort(txn);
    }
  }
  if (rc == 0) return true;
  // After a failed write the environment may refuse everything: open it anew next time.
  problem_ = mdb_strerror(rc);
  closeEnv();
  return false;
}

void Cellar::start() {
  thread_ = std::thread([this] { work(); });
}

void Cellar::save(std::string record, Done done) {
  {
    const std::lock_guard<std::mutex> hold(lock_);
    if (!jobs_.empty() && jobs_.back().record) {
      jobs_.back().record = std::move(record);
      jobs_.back().done.push_back(std::move(done));
    } else {
      jobs_.push_back({std::move(record), {}});
      jobs_.back().done.push_back(std::move(done));
    }
  }
  wake_.notify_one();
}

void Cellar::after(Done done) {
  {
    const std::lock_guard<std::mutex> hold(lock_);
    if (jobs_.empty()) jobs_.push_back({std::nullopt, {}});
    jobs_.back().done.push_back(std::move(done));
  }
  wake_.notify_one();
}

std::size_t Cellar::backlog() {
  const std::lock_guard<std::mutex> hold(lock_);
  std::size_t sum = 0;
  for (const auto& job : jobs_) sum += job.done.size();
  return sum;
}

void Cellar::work() {
  for (;;) {
    Job job;
    {
      std::unique_lock<std::mutex> hold(lock_);
      wake_.wait(hold, [this] { return stop_ || !jobs_.empty(); });
      if (stop_) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    const bool ok = !job.record || write(*job.record);
    bell_.post([done = std::move(job.done), ok] {
      for (const auto& tell : done) tell(ok);
    });
  }
}

}  // namespace merlin::hut
