#include "storage/state_snapshot.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>
#include <thread>
#include <utility>
#include <variant>

#include "base/decode_error.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "storage/directory_lock.hpp"
#include "storage/snapshot_codec.hpp"
#include "storage/state_database.hpp"
#include "storage/storage_file.hpp"
#include "storage/store_layout.hpp"

namespace merlingauge::storage {

namespace fs = std::filesystem;
using Status = SnapshotResult::Status;

namespace {

// A store's map is at most 64 MB, so a state is well below it; a larger file is something else.
constexpr std::uintmax_t kMaxSnapshotBytes = 128U << 20U;
// A copy is good if no commit fell into it. A voter commits some times a second as a rule, but on a
// fast disk a storm of changes may leave few gaps as long as a copy: ten seconds of attempts find
// one.
constexpr int kMaxCopyAttempts = 2000;
constexpr auto kCopyRetryPause = std::chrono::milliseconds(5);
// From this attempt on, an unchanged copy that can't be read is a damaged store. Earlier ones may
// fall between the meta page and the commit record of a process that just opened its files.
constexpr int kAttemptsBeforeDamaged = 3;
// Room for LMDB to open a copy: it needs no more than the file, and never less than its minimum.
constexpr std::size_t kCopyMapSlackBytes = 1U << 20U;
// The map for the one write of a restore: what DurableStore asks for a text, and room for the head.
constexpr std::size_t kMapBytesPerTextByte = 5;
constexpr std::size_t kRestoreMapSlackBytes = 8U << 20U;

std::string contentsOf(const fs::path& path) {
  const std::ifstream file(path, std::ios::binary);
  std::stringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

bool writeAndSync(const std::string& path, const std::string& bytes) {
  StorageFile file(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.isOpen()) return false;
  const bool written = file.writeAt(bytes.data(), bytes.size(), 0) && file.sync();
  return file.close() && written;
}

// The file is there whole or not at all, also after a power loss.
bool replaceFile(const std::string& path, const std::string& bytes) {
  const std::string partial = path + ".part";
  if (!writeAndSync(partial, bytes) || ::rename(partial.c_str(), path.c_str()) != 0) {
    ::unlink(partial.c_str());
    return false;
  }
  const StorageFile directory((fs::path(path).parent_path() / ".").string(),
                              O_RDONLY | O_DIRECTORY);
  // One that may be written to and not read can't be flushed; the file's own bytes are.
  return !directory.isOpen() || directory.sync();
}

// What differs before and after any commit: both meta pages and the commit records.
std::string commitMarksOf(const fs::path& store) {
  std::ifstream data(store / kDataFile, std::ios::binary);
  const auto pageBytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  std::string metaPages(kMetaPages * pageBytes, '\0');
  data.read(metaPages.data(), static_cast<std::streamsize>(metaPages.size()));
  return metaPages + contentsOf(store / kCommitRecordFile);
}

// A directory that is removed with all its files at the end of the scope.
class TemporaryDirectory {
 public:
  explicit TemporaryDirectory(fs::path path) : path_(std::move(path)) {
    remove();
    std::error_code error;
    created_ = fs::create_directory(path_, error);
  }
  ~TemporaryDirectory() { remove(); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  [[nodiscard]] bool created() const { return created_; }
  [[nodiscard]] const fs::path& path() const { return path_; }

 private:
  void remove() {
    std::error_code ignored;
    fs::remove_all(path_, ignored);
  }

  fs::path path_;
  bool created_ = false;
};

void copyStoreFiles(const fs::path& from, const fs::path& to) {
  std::error_code ignored;  // a copy that failed can't be read
  for (const char* name : {kDataFile, kCommitRecordFile}) {
    fs::copy_file(from / name, to / name, fs::copy_options::overwrite_existing, ignored);
  }
}

// The state of a voter in a copy that nobody writes to; none where it can't be read.
std::optional<StoredState> readCopy(const fs::path& copy) {
  std::error_code ignored;
  const auto dataBytes = fs::file_size(copy / kDataFile, ignored);
  StateDatabase database(copy.string(), dataBytes + kCopyMapSlackBytes);
  auto loaded = database.load();
  auto* state = std::get_if<StoredState>(&loaded);
  if (state == nullptr || !acceptorStateIn(*state)) return std::nullopt;
  return std::move(*state);
}

// A page that the newest commit uses isn't written before the next commit is in place. So a copy
// with the same meta pages and commit records before and after it holds that commit, whole.
std::optional<StoredState> readWhileWritten(const fs::path& store, const fs::path& copy) {
  for (int attempt = 0; attempt < kMaxCopyAttempts; ++attempt) {
    if (attempt > 0) std::this_thread::sleep_for(kCopyRetryPause);
    const auto before = commitMarksOf(store);
    copyStoreFiles(store, copy);
    if (commitMarksOf(store) != before) continue;
    if (auto state = readCopy(copy)) return state;
    if (attempt >= kAttemptsBeforeDamaged) break;
  }
  return std::nullopt;
}

std::variant<StoredState, SnapshotResult> readSnapshotFile(const std::string& file) {
  std::error_code error;
  const auto size = fs::file_size(file, error);
  if (error) return SnapshotResult{Status::inputMissing, "can't read " + file};
  if (size > kMaxSnapshotBytes) {
    return SnapshotResult{Status::corrupt, file + ": larger than any snapshot"};
  }
  try {
    return decodeSnapshot(contentsOf(file));
  } catch (const DecodeError& problem) {
    return SnapshotResult{Status::corrupt, file + ": " + problem.reason()};
  }
}

std::uint64_t randomBits() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

// Writes the state as that of a new incarnation, which has to recover before it votes.
SnapshotResult writeFenced(const StoredState& state, const std::string& store) {
  const auto voter = acceptorStateIn(state);
  if (!voter) return {Status::corrupt, "the snapshot holds no state of a voter"};
  const auto fenced = consensus::encodeState(consensus::fenced(*voter, randomBits()));
  const auto mapBytes = kMapBytesPerTextByte * state.configText.size() + kRestoreMapSlackBytes;
  StateDatabase database(store, mapBytes);
  if (const auto error = database.commit({fenced.head, fenced.configText})) {
    return {Status::outputFailed, "can't write " + store + ": " + error->message()};
  }
  return {Status::ok, store + ": restored; the node reads the other voters before it votes"};
}

}  // namespace

SnapshotResult saveSnapshot(const std::string& file, const std::string& dataDirectory) {
  const fs::path store = fs::path(dataDirectory) / kStoreDirectory;
  if (!fs::exists(store / kDataFile)) {
    return {Status::inputMissing, "no state of a voter in " + store.string()};
  }
  std::optional<StoredState> state;
  {
    const TemporaryDirectory copy(file + ".copy");
    if (!copy.created()) return {Status::outputFailed, "can't write " + copy.path().string()};
    state = readWhileWritten(store, copy.path());
  }
  const auto acceptor = state ? acceptorStateIn(*state) : std::nullopt;
  if (!acceptor) return {Status::corrupt, "the state in " + store.string() + " can't be read"};
  if (!replaceFile(file, encodeSnapshot(*state))) {
    return {Status::outputFailed, "can't write " + file};
  }
  return {Status::ok, file + ": version " + std::to_string(acceptor->value.revision().value)};
}

SnapshotResult restoreSnapshot(const std::string& file, const std::string& dataDirectory,
                               bool force) {
  auto read = readSnapshotFile(file);
  if (auto* problem = std::get_if<SnapshotResult>(&read)) return std::move(*problem);
  const fs::path store = fs::path(dataDirectory) / kStoreDirectory;
  std::error_code ignored;  // writing the state reports it
  fs::create_directories(dataDirectory, ignored);
  if (!DirectoryLock::isFree(store.string())) {
    return {Status::directoryInUse, "a process runs on " + store.string() + ": stop it first"};
  }
  if (fs::exists(store) && !fs::is_empty(store, ignored)) {
    if (!force) {
      return {Status::directoryNotEmpty,
              store.string() + " holds state already; --force replaces it"};
    }
    fs::remove_all(store, ignored);
  }
  return writeFenced(std::get<StoredState>(read), store.string());
}

SnapshotResult showSnapshot(const std::string& file) {
  auto read = readSnapshotFile(file);
  if (auto* problem = std::get_if<SnapshotResult>(&read)) return std::move(*problem);
  auto& state = std::get<StoredState>(read);
  if (state.configText.empty()) return {Status::corrupt, file + ": no configuration in it"};
  return {Status::ok, std::move(state.configText)};
}

}  // namespace merlingauge::storage
