#include "storage/durable_store.hpp"

#include <fcntl.h>
#include <lmdb.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "base/hash.hpp"

namespace merlingauge::storage {

namespace {
constexpr const char* kHead = "ledge";
constexpr const char* kText = "text";
constexpr const char* kData = "data.mdb";
constexpr const char* kSeals = "seals";
constexpr std::size_t kSumBytes = sizeof(std::uint64_t);
constexpr mdb_mode_t kMode = 0600;
constexpr std::size_t kMetaPages = 2;

// A file that closes itself.
class File {
 public:
  File(const std::string& path, int flags) : fd_(::open(path.c_str(), flags, kMode)) {}
  ~File() {
    if (fd_ >= 0) ::close(fd_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  [[nodiscard]] bool good() const { return fd_ >= 0; }
  bool read(void* to, std::size_t size, std::size_t at) const {
    return ::pread(fd_, to, size, static_cast<off_t>(at)) == static_cast<ssize_t>(size);
  }
  bool write(const void* from, std::size_t size, std::size_t at) const {
    return ::pwrite(fd_, from, size, static_cast<off_t>(at)) == static_cast<ssize_t>(size);
  }
  [[nodiscard]] bool sync() const { return ::fsync(fd_) == 0; }

 private:
  int fd_;
};

// One seal: it says which two meta pages belong to a commit that is whole on the disk.
struct Seal {
  std::uint64_t number = 0;
  std::uint64_t pageBytes = 0;
  std::array<std::uint64_t, kMetaPages> metas{};
  std::uint64_t newest = 0;  // which of them this commit wrote
  std::uint64_t sum = 0;
  [[nodiscard]] std::uint64_t ownSum() const {
    std::string text;
    for (const auto n : {number, pageBytes, metas[0], metas[1], newest}) {
      text += std::to_string(n) + "/";
    }
    return stableHash(text, 3);
  }
};
// Far enough apart that no torn write of one touches the other.
constexpr std::size_t kSealApart = 4096;

std::optional<std::array<std::string, kMetaPages>> readMetas(const std::string& path,
                                                             std::size_t pageBytes) {
  const File file(path, O_RDONLY);
  if (!file.good()) return std::nullopt;
  std::array<std::string, kMetaPages> out;
  for (std::size_t i = 0; i < kMetaPages; ++i) {
    out.at(i).resize(pageBytes);
    if (!file.read(out.at(i).data(), pageBytes, i * pageBytes)) return std::nullopt;
  }
  return out;
}

std::vector<Seal> readSeals(const std::string& path) {
  std::vector<Seal> out;
  const File file(path, O_RDONLY);
  if (!file.good()) return out;
  for (std::size_t i = 0; i < 2; ++i) {
    Seal seal;
    if (file.read(&seal, sizeof seal, i * kSealApart) && seal.number > 0 &&
        seal.sum == seal.ownSum()) {
      out.push_back(seal);
    }
  }
  std::sort(out.begin(), out.end(),
            [](const Seal& a, const Seal& b) { return a.number > b.number; });
  return out;
}

bool exists(const std::string& path) {
  struct stat info {};
  return ::stat(path.c_str(), &info) == 0 && info.st_size > 0;
}

bool syncFolder(const std::string& path) {
  const File folder(path, O_RDONLY | O_DIRECTORY);
  return folder.good() && folder.sync();
}

std::string sealed(const std::string& record) {
  const std::uint64_t sum = stableHash(record);
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
  if (stableHash(record) != sum) return std::nullopt;
  return record;
}

MDB_val keyOf(const char* name) { return {std::strlen(name), const_cast<char*>(name)}; }

int put(MDB_txn* txn, unsigned dbi, const char* name, const std::string& text) {
  std::string bytes = sealed(text);
  MDB_val key = keyOf(name);
  MDB_val value{bytes.size(), bytes.data()};
  return mdb_put(txn, dbi, &key, &value, 0);
}
}  // namespace

DurableStore::DurableStore(event::EventLoop& loop, std::string folder, std::size_t bytes)
    : loop_(loop), directory_(std::move(folder)), mapBytes_(bytes) {}

DurableStore::~DurableStore() {
  if (thread_.joinable()) {
    {
      const std::lock_guard<std::mutex> hold(lock_);
      stop_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  closeEnv();
  if (directoryLock_ >= 0) ::close(directoryLock_);
}

// Shared, so that a process that ends late never keeps its successor from starting.
bool DurableStore::isUnused(const std::string& folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return true;
  const bool mine = ::flock(fd, LOCK_EX | LOCK_NB) == 0;
  ::close(fd);
  return mine;
}

bool DurableStore::failed(const std::string& what) {
  error_ = what;
  closeEnv();
  return false;
}

// Puts the meta pages back to what the newest seal that fits them says.
DurableStore::LoadStatus DurableStore::repairMetaPages() {
  const auto seals = readSeals(file(kSeals));
  if (!seals.empty()) commitRecords_ = std::max(commitRecords_, seals.front().number);
  if (!exists(file(kData))) return seals.empty() ? LoadStatus::empty : LoadStatus::corrupt;
  // Nothing was ever said that rests on a commit without a seal.
  if (seals.empty()) return LoadStatus::empty;
  for (const auto& seal : seals) {
    const auto metas = readMetas(file(kData), seal.pageBytes);
    if (!metas || seal.newest >= kMetaPages) continue;
    const auto good = static_cast<std::size_t>(seal.newest);
    if (stableHash(metas->at(good)) != seal.metas.at(good)) continue;
    const std::size_t other = 1 - good;
    if (stableHash(metas->at(other)) == seal.metas.at(other)) return LoadStatus::loaded;
    const File data(file(kData), O_RDWR);
    if (!data.good() ||
        !data.write(metas->at(good).data(), seal.pageBytes, other * seal.pageBytes) ||
        !data.sync()) {
      error_ = "a meta page can't be mended";
      return LoadStatus::corrupt;
    }
    return LoadStatus::loaded;
  }
  return LoadStatus::corrupt;
}

void DurableStore::quarantine() {
  closeEnv();
  for (const char* name : {kData, kSeals}) ::unlink(file(name).c_str());
  syncFolder(directory_);
  storedTextId_ = 0;
}

bool DurableStore::open() {
  if (env_ != nullptr) return true;
  const bool fresh = ::mkdir(directory_.c_str(), 0700) == 0;
  if (fresh) syncFolder(directory_.substr(0, directory_.rfind('/')));
  const auto found = repairMetaPages();
  if (found == LoadStatus::corrupt)
    return failed(error_.empty() ? "the files are damaged" : error_);
  if (found == LoadStatus::empty && exists(file(kData))) quarantine();
  storedTextId_ = 0;
  int rc = mdb_env_create(&env_);
  if (rc != 0) return failed(mdb_strerror(rc));
  mdb_env_set_mapsize(env_, mapBytes_);
  // One process, one writing thread: LMDB's own lock file is not needed.
  rc = mdb_env_open(env_, directory_.c_str(), MDB_NOLOCK | MDB_NOTLS | MDB_NORDAHEAD, kMode);
  if (rc != 0) return failed(mdb_strerror(rc));
  MDB_txn* txn = nullptr;
  rc = mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn);
  if (rc != 0) return failed(mdb_strerror(rc));
  rc = mdb_dbi_open(txn, nullptr, 0, &dbi_);
  if (rc == 0) {
    rc = mdb_txn_commit(txn);
  } else {
    mdb_txn_abort(txn);
  }
  return rc == 0 || failed(mdb_strerror(rc));
}

void DurableStore::closeEnv() {
  if (env_ != nullptr) mdb_env_close(env_);
  env_ = nullptr;
}

std::optional<DurableStore::StoredState> DurableStore::load() {
  loadStatus_ = exists(file(kData)) ? repairMetaPages() : LoadStatus::empty;
  if (loadStatus_ != LoadStatus::loaded) {
    if (loadStatus_ == LoadStatus::corrupt) {
      error_ = "the files are damaged";
      quarantine();
    }
    return std::nullopt;
  }
  loadStatus_ = LoadStatus::corrupt;  // unless all of it can be read
  if (!open()) return std::nullopt;
  MDB_txn* txn = nullptr;
  if (mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn) != 0) return std::nullopt;
  const auto get = [&](const char* name) -> std::optional<std::string> {
    MDB_val key = keyOf(name);
    MDB_val value{};
    if (mdb_get(txn, dbi_, &key, &value) != 0) return std::nullopt;
    return unsealed(value);
  };
  const auto head = get(kHead);
  const auto text = get(kText);
  mdb_txn_abort(txn);
  if (!head || !text) {
    error_ = "the record is damaged";
    quarantine();
    return std::nullopt;
  }
  loadStatus_ = LoadStatus::loaded;
  return StoredState{*head, *text};
}

bool DurableStore::writeCommitRecord() {
  MDB_stat info{};
  if (mdb_env_stat(env_, &info) != 0) return false;
  Seal seal;
  seal.number = commitRecords_ + 1;
  seal.pageBytes = info.ms_psize;
  const auto metas = readMetas(file(kData), info.ms_psize);
  if (!metas) return false;
  for (std::size_t i = 0; i < kMetaPages; ++i) seal.metas.at(i) = stableHash(metas->at(i));
  MDB_envinfo env{};
  if (mdb_env_info(env_, &env) != 0) return false;
  seal.newest = env.me_last_txnid & 1U;
  seal.sum = seal.ownSum();
  const bool fresh = !exists(file(kSeals));
  const File file_(file(kSeals), O_RDWR | O_CREAT);
  // By turns: the one before stays as it is until this one is whole.
  if (!file_.good() || !file_.write(&seal, sizeof seal, (seal.number % 2) * kSealApart) ||
      !file_.sync()) {
    return false;
  }
  // Both files may be new in it.
  if (fresh && !syncFolder(directory_)) return false;
  commitRecords_ = seal.number;
  return true;
}

bool DurableStore::commit(const Record& record) {
  if (!open()) return false;
  const std::uint64_t id = record.configText ? record.configText->id() : 1;
  MDB_txn* txn = nullptr;
  int rc = mdb_txn_begin(env_, nullptr, 0, &txn);
  if (rc == 0) {
    rc = put(txn, dbi_, kHead, record.head);
    if (rc == 0 && storedTextId_ != id) {
      rc = put(txn, dbi_, kText, record.configText ? record.configText->text() : "");
    }
    if (rc == 0) {
      rc = mdb_txn_commit(txn);
    } else {
      mdb_txn_abort(txn);
    }
  }
  // The meta page is written last: it must be on the disk too.
  if (rc == 0) rc = mdb_env_sync(env_, 1);
  if (rc == 0 && !writeCommitRecord()) rc = EIO;
  // After a failed write nothing of it counts: the files are opened anew, as the seals say.
  if (rc != 0) return failed(mdb_strerror(rc));
  storedTextId_ = id;
  ++commitCount_;
  return true;
}

void DurableStore::start() {
  ::mkdir(directory_.c_str(), 0700);
  directoryLock_ = ::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directoryLock_ >= 0 && ::flock(directoryLock_, LOCK_SH | LOCK_NB) != 0)
    error_ = "the folder is in use";
  thread_ = std::thread([this] { work(); });
}

void DurableStore::save(Record record, WriteCallback done) {
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

void DurableStore::afterPendingWrites(WriteCallback done) {
  {
    const std::lock_guard<std::mutex> hold(lock_);
    if (jobs_.empty()) jobs_.push_back({std::nullopt, {}});
    jobs_.back().done.push_back(std::move(done));
  }
  wake_.notify_one();
}

std::size_t DurableStore::pendingWrites() {
  const std::lock_guard<std::mutex> hold(lock_);
  std::size_t sum = 0;
  for (const auto& job : jobs_) sum += job.done.size();
  return sum;
}

void DurableStore::work() {
  for (;;) {
    Job job;
    {
      std::unique_lock<std::mutex> hold(lock_);
      wake_.wait(hold, [this] { return stop_ || !jobs_.empty(); });
      if (stop_) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    const bool ok = !job.record || commit(*job.record);
    loop_.post([done = std::move(job.done), ok] {
      for (const auto& tell : done) tell(ok);
    });
  }
}

}  // namespace merlingauge::storage
