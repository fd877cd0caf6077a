// storage_snapshot: a voter's snapshots, saved while the voter goes on writing, restored, refused,
// and damaged in many ways.
#include <atomic>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "base/decode_error.hpp"
#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "event/event_loop.hpp"
#include "simulation/storage_world.hpp"
#include "storage/durable_store.hpp"
#include "storage/snapshot_codec.hpp"
#include "storage/state_snapshot.hpp"
#include "storage/store_layout.hpp"

namespace merlingauge::test {

namespace {

namespace fs = std::filesystem;
using consensus::Acceptor;
using storage::StateDatabase;
using storage::StoredState;
using Status = storage::SnapshotResult::Status;

// A voter's record as it is saved after `changes` changes.
storage::StateRecord voterRecord(int changes) {
  Acceptor acceptor(NodeId("n1"), Incarnation{7}, true);
  consensus::RegisterRequest request;
  request.kind = consensus::RegisterRequest::Kind::accept;
  request.sender = NodeId("n2");
  request.ballot = {static_cast<std::uint64_t>(changes), NodeId("n2#1")};
  request.value.sequence = static_cast<std::uint64_t>(changes);
  request.value.uniqueId = "s" + std::to_string(changes);
  request.value.configRevision = Revision{changes};
  request.value.config =
      config::ConfigText::create("{\"revision\":" + std::to_string(changes) + ",\"x\":\"" +
                                 std::string(5000 + changes % 97 * 100, 'x') + "\"}");
  request.value.voters = {NodeId("n1"), NodeId("n2"), NodeId("n3")};
  require(acceptor.handle(request).reply.granted, "the record can't be made");
  const auto saved = consensus::encodeState(acceptor.state());
  return {saved.head, saved.configText};
}

std::optional<StoredState> decoded(const std::string& bytes) {
  try {
    return storage::decodeSnapshot(bytes);
  } catch (const DecodeError&) {
    return std::nullopt;
  }
}

std::string decodeFailure(const std::string& bytes) {
  try {
    storage::decodeSnapshot(bytes);
  } catch (const DecodeError& error) {
    return error.what();
  }
  return "";
}

class SnapshotWorld {
 public:
  SnapshotWorld(const Scenario& scenario, std::uint64_t seed)
      : saves_(static_cast<int>(number(scenario, "saves", 10))),
        mutations_(static_cast<int>(number(scenario, "mutations", 1000))),
        clock_(seed),
        directory_(scenario, seed),
        data_(directory_.path() / "data"),
        restored_(directory_.path() / "other"),
        neverUsed_(directory_.path() / "fresh"),
        file_((directory_.path() / "snapshot").string()) {}

  Measurements play() {
    directory_.replaceWith({});
    fs::create_directories(data_);
    require(storage::saveSnapshot(file_, data_.string()).status == Status::inputMissing,
            "nothing was saved there");
    saveBesideWriter();
    checkRestore();
    checkDirectoryInUse();
    checkBadFiles();
    return checkMutations();
  }

 private:
  static StateDatabase databaseIn(const fs::path& data) {
    return {(data / storage::kStoreDirectory).string(), kStoreMapBytes};
  }

  static std::optional<Acceptor> acceptorHeldIn(const fs::path& data) {
    auto store = databaseIn(data);
    const auto loaded = store.load();
    const auto* state = std::get_if<StoredState>(&loaded);
    if (state == nullptr) return std::nullopt;
    return Acceptor(
        NodeId("n1"),
        consensus::decodeState({state->head, config::ConfigText::create(state->configText)}));
  }

  // The text in a snapshot is that of its head, or it would not have been read; and none is older
  // than the one before.
  void saveBesideWriter() {
    auto store = databaseIn(data_);
    require(!store.commit(voterRecord(1)), "a save fails");
    std::atomic<bool> more{true};
    std::thread writer([&] {
      for (int change = 2; more; ++change) static_cast<void>(store.commit(voterRecord(change)));
    });
    int last = 0;
    for (int save = 0; save < saves_; ++save) {
      const auto saved = storage::saveSnapshot(file_, data_.string());
      const auto shown = storage::showSnapshot(file_);
      if (saved.status != Status::ok || shown.status != Status::ok) more = false;
      if (!more) break;
      const int revision = nlohmann::json::parse(shown.message)["revision"].get<int>();
      if (revision < last) more = false;
      last = revision;
    }
    const bool good = more.exchange(false);
    writer.join();
    require(good, "a snapshot beside a writing process isn't whole");
  }

  void checkRestore() {
    const auto before = acceptorHeldIn(data_);
    require(storage::saveSnapshot(file_, data_.string()).status == Status::ok,
            "a snapshot isn't saved");
    require(
        storage::restoreSnapshot(file_, data_.string(), false).status == Status::directoryNotEmpty,
        "state that is there is written over");
    require(acceptorHeldIn(data_)->acceptedBallot() == before->acceptedBallot(),
            "a refusal has changed something");
    for (const bool force : {false, true}) {
      require(storage::restoreSnapshot(file_, restored_.string(), force).status == Status::ok,
              "a snapshot isn't restored");
      const auto after = acceptorHeldIn(restored_);
      require(after && after->value().uniqueId == before->value().uniqueId,
              "it holds something else");
      require(!after->recovered() && after->incarnation() != before->incarnation(),
              "it would vote at once");
    }
  }

  void checkDirectoryInUse() {
    event::EventLoop loop;
    storage::DurableStore running(loop, (restored_ / storage::kStoreDirectory).string(),
                                  kStoreMapBytes);
    running.start();
    require(
        storage::restoreSnapshot(file_, restored_.string(), true).status == Status::directoryInUse,
        "it is restored below a running process");
  }

  void checkBadFiles() {
    const auto good = snapshotBytes();
    std::ofstream(file_ + "-bad", std::ios::binary) << good.substr(0, good.size() / 2);
    require(storage::restoreSnapshot(file_ + "-bad", neverUsed_.string(), false).status ==
                    Status::corrupt &&
                !fs::exists(neverUsed_ / storage::kStoreDirectory),
            "half a snapshot leaves something behind");
    require(storage::restoreSnapshot(file_ + "-none", neverUsed_.string(), false).status ==
                Status::inputMissing,
            "a file that isn't there");
    const auto failure = decodeFailure(R"({"format":"merlingauge snapshot","version":2})"
                                       "\n");
    require(failure.find("another version") != std::string::npos, "another version isn't named");
  }

  Measurements checkMutations() {
    const auto good = snapshotBytes();
    const auto state = decoded(good);
    require(state.has_value(), "a good snapshot is refused");
    double refused = 0;
    double read = 0;
    for (int mutation = 0; mutation < mutations_; ++mutation) {
      auto bad = good;
      mutate(bad);
      if (bad != good && !decoded(bad)) ++refused;
      // The same below a checksum that fits: refused, or something that can be restored.
      auto forged = *state;
      mutate(forged.head);
      if (const auto again = decoded(storage::encodeSnapshot(forged))) {
        const auto voter = storage::acceptorStateIn(*again);
        require(voter.has_value(), "what was read can't be restored");
        (void)consensus::encodeState(consensus::fenced(*voter, 3));
        ++read;
      }
    }
    return {{"mutations", static_cast<double>(mutations_)}, {"refused", refused}, {"read", read}};
  }

  [[nodiscard]] std::string snapshotBytes() const {
    const std::ifstream file(file_, std::ios::binary);
    std::stringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
  }

  void mutate(std::string& bytes) {
    const auto at = clock_.random() % bytes.size();
    switch (clock_.random() % 5) {
      case 0:
        bytes[at] = static_cast<char>(clock_.random());
        break;
      case 1:
        bytes.resize(at);
        break;
      case 2:
        bytes.insert(at, std::string(clock_.random() % 40, static_cast<char>(clock_.random())));
        break;
      case 3:
        bytes.erase(at, clock_.random() % 40);
        break;
      default:  // a number where one stood, larger than any
        bytes.replace(at, 1, "99999999999999999999");
    }
  }

  int saves_;
  int mutations_;
  Clock clock_;
  StoreDirectory directory_;
  fs::path data_;
  fs::path restored_;
  fs::path neverUsed_;
  std::string file_;
};

}  // namespace

Measurements playSnapshots(const Scenario& scenario, std::uint64_t seed) {
  return SnapshotWorld(scenario, seed).play();
}

}  // namespace merlingauge::test
