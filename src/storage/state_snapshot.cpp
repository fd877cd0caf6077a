#include "storage/state_snapshot.hpp"

#include <Poco/SHA1Engine.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "consensus/register.hpp"

namespace merlingauge::storage {

using nlohmann::json;
namespace fs = std::filesystem;
using End = SnapshotResult::Status;

namespace {
constexpr const char* kFormat = "merlingauge snapshot";
constexpr int kVersion = 1;
constexpr std::size_t kMostLine = 4096;
constexpr std::uintmax_t kMostFile = 128U << 20U;
constexpr int kTries = 100;
constexpr auto kPause = std::chrono::milliseconds(20);

std::string checksum(const std::string& head, const std::string& text) {
  Poco::SHA1Engine engine;
  engine.update(std::to_string(head.size()) + "/" + head + text);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string contents(const fs::path& path) {
  const std::ifstream in(path, std::ios::binary);
  std::stringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

std::optional<consensus::Acceptor> ledgeOf(const DurableStore::StoredState& record) {
  return consensus::Acceptor::restore(NodeId(),
                                      {record.head, config::ConfigText::create(record.configText)});
}

// Whole or not at all, and on the disk.
bool writeFile(const std::string& path, const std::string& bytes) {
  const std::string part = path + ".part";
  const int fd = ::open(part.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  if (fd < 0) return false;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto n = ::write(fd, bytes.data() + at, bytes.size() - at);
    if (n <= 0) break;
    at += static_cast<std::size_t>(n);
  }
  bool good = at == bytes.size() && ::fsync(fd) == 0;
  good = ::close(fd) == 0 && good;
  good = good && ::rename(part.c_str(), path.c_str()) == 0;
  if (!good) ::unlink(part.c_str());
  const int folder = ::open((fs::path(path).parent_path() / ".").c_str(), O_RDONLY | O_DIRECTORY);
  if (folder >= 0) {
    good = ::fsync(folder) == 0 && good;
    ::close(folder);
  }
  return good;
}

std::optional<DurableStore::StoredState> readFile(const std::string& file, SnapshotResult& done) {
  std::error_code error;
  const auto size = fs::file_size(file, error);
  if (error) {
    done = {End::inputMissing, "can't read " + file};
    return std::nullopt;
  }
  std::string problem = "larger than any snapshot";
  std::optional<DurableStore::StoredState> record;
  if (size <= kMostFile) record = decodeSnapshot(contents(file), problem);
  if (!record) done = {End::corrupt, file + ": " + problem};
  return record;
}
}  // namespace

std::string encodeSnapshot(const DurableStore::StoredState& record) {
  const auto acceptor = ledgeOf(record);
  const json line = {{"format", kFormat},
                     {"version", kVersion},
                     {"revision", acceptor ? acceptor->value().revision().value : 0},
                     {"epoch", acceptor ? acceptor->value().epoch : 0},
                     {"head_bytes", record.head.size()},
                     {"text_bytes", record.configText.size()},
                     {"sha1", checksum(record.head, record.configText)}};
  return line.dump() + "\n" + record.head + record.configText;
}

std::optional<DurableStore::StoredState> decodeSnapshot(const std::string& bytes,
                                                        std::string& problem) {
  const auto end = bytes.substr(0, kMostLine).find('\n');
  const auto line = json::parse(bytes.substr(0, std::min(end, kMostLine)), nullptr, false);
  if (end == std::string::npos || !line.is_object() || line.value("format", json()) != kFormat) {
    problem = "not a snapshot";
    return std::nullopt;
  }
  if (line.value("version", json()) != kVersion) {
    problem = "a snapshot of another version: " + line.value("version", json()).dump();
    return std::nullopt;
  }
  const auto headBytes = line.value("head_bytes", json());
  const auto textBytes = line.value("text_bytes", json());
  const std::size_t held = bytes.size() - end - 1;
  if (!headBytes.is_number_unsigned() || !textBytes.is_number_unsigned() ||
      headBytes.get<std::uint64_t>() > held ||
      textBytes.get<std::uint64_t>() != held - headBytes.get<std::uint64_t>()) {
    problem = "cut off, or longer than it says";
    return std::nullopt;
  }
  const auto headSize = headBytes.get<std::size_t>();
  DurableStore::StoredState record{bytes.substr(end + 1, headSize),
                                   bytes.substr(end + 1 + headSize)};
  if (line.value("sha1", json()) != checksum(record.head, record.configText)) {
    problem = "the checksum differs";
    return std::nullopt;
  }
  if (!ledgeOf(record)) {
    problem = "no state of a voter";
    return std::nullopt;
  }
  return record;
}

// A page that the newest commit reaches isn't written before the next one is in place: a copy with
// the same meta pages and seals before and after it is that commit, whole.
SnapshotResult saveSnapshot(const std::string& file, const std::string& data) {
  const fs::path from = fs::path(data) / "register";
  const auto marks = [&] {
    std::ifstream in(from / "data.mdb", std::ios::binary);
    std::string metas(2 * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)), '\0');
    in.read(metas.data(), static_cast<std::streamsize>(metas.size()));
    return metas + contents(from / "seals");
  };
  if (!fs::exists(from / "data.mdb")) {
    return {End::inputMissing, "no state of a voter in " + from.string()};
  }
  const fs::path copy = file + ".copy";
  std::error_code error;
  const auto clear = [&] { fs::remove_all(copy, error); };
  clear();
  if (!fs::create_directory(copy, error))
    return {End::outputFailed, "can't write " + copy.string()};
  std::optional<DurableStore::StoredState> record;
  for (int i = 0; i < kTries && !record; ++i) {
    if (i > 0) std::this_thread::sleep_for(kPause);
    const auto before = marks();
    for (const char* name : {"data.mdb", "seals"}) {
      fs::copy_file(from / name, copy / name, fs::copy_options::overwrite_existing, error);
    }
    if (marks() != before) continue;
    event::EventLoop loop;
    DurableStore store(loop, copy.string(), fs::file_size(copy / "data.mdb", error) + (1U << 20U));
    record = store.load();
    if (record && !ledgeOf(*record)) record.reset();
    // Nobody writes there, and still it can't be read.
    if (!record && i > 2) break;
  }
  clear();
  if (!record) return {End::corrupt, "the state in " + from.string() + " can't be read"};
  const auto acceptor = ledgeOf(*record);
  if (!writeFile(file, encodeSnapshot(*record))) return {End::outputFailed, "can't write " + file};
  return {End::ok, file + ": version " + std::to_string(acceptor->value().revision().value)};
}

SnapshotResult restoreSnapshot(const std::string& file, const std::string& data, bool force) {
  SnapshotResult done;
  auto record = readFile(file, done);
  if (!record) return done;
  const fs::path to = fs::path(data) / "register";
  std::error_code error;
  fs::create_directories(data, error);
  if (!DurableStore::isUnused(to.string())) {
    return {End::directoryInUse, "a process runs on " + to.string() + ": stop it first"};
  }
  if (fs::exists(to) && !fs::is_empty(to, error)) {
    if (!force)
      return {End::directoryNotEmpty, to.string() + " holds state already; --force puts it away"};
    fs::remove_all(to, error);
  }
  std::random_device device;
  const auto luck = (static_cast<std::uint64_t>(device()) << 32U) ^ device();
  const auto saved = consensus::Acceptor::fencedState(
      {record->head, config::ConfigText::create(std::move(record->configText))}, luck);
  event::EventLoop loop;
  DurableStore store(loop, to.string(), 5 * saved->configText->text().size() + (8U << 20U));
  if (!store.commit({saved->head, saved->configText})) {
    return {End::outputFailed, "can't write " + to.string() + ": " + store.error()};
  }
  return {End::ok, to.string() + ": put back; the node reads the other voters before it votes"};
}

SnapshotResult showSnapshot(const std::string& file) {
  SnapshotResult done;
  const auto record = readFile(file, done);
  if (!record) return done;
  if (record->configText.empty()) return {End::corrupt, file + ": no configuration in it"};
  return {End::ok, record->configText};
}

}  // namespace merlingauge::storage
