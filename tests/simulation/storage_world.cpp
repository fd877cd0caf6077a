// The store under losses of power. Real files are written, kept after every save, and put together
// again as a loss may leave them: of what was not synced yet, each page is there, missing or torn.
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "consensus/register.hpp"
#include "event/event_loop.hpp"
#include "simulation/scenario_runner.hpp"
#include "storage/durable_store.hpp"
#include "storage/state_snapshot.hpp"

namespace merlingauge::test {

namespace {

namespace fs = std::filesystem;
using storage::DurableStore;
using Files = std::map<std::string, std::string>;
constexpr std::size_t kPage = 4096;
constexpr std::size_t kMetas = 2 * kPage;
constexpr std::size_t kBytes = 8U << 20;

class DiskWorld {
 public:
  DiskWorld(const Scenario& scenario, std::uint64_t seed)
      : s_(scenario),
        clock_(seed),
        folder_(fs::temp_directory_path() / ("cellar-" + scenario.name + std::to_string(seed))) {}
  ~DiskWorld() { fs::remove_all(folder_); }

  void play(std::map<std::string, double>& out) {
    if (!linesOf(s_, "texts").empty()) {
      storm(out);
      return;
    }
    if (!linesOf(s_, "mutations").empty()) {
      snapshots(out);
      return;
    }
    const int saves = static_cast<int>(number(s_, "saves", 8));
    const int losses = static_cast<int>(number(s_, "losses", 20));
    Files before;
    double found = 0;
    double kept = 0;
    double torn = 0;
    for (int n = 1; n <= saves; ++n) {
      restore(before);
      {
        DurableStore store(bell_, folder_.string(), kBytes);
        if (n > 1) require(store.load().has_value(), "what was saved can't be read");
        require(store.commit(record(n)), "a save fails: " + store.error());
      }
      const Files after = take();
      for (int i = 0; i < losses; ++i) {
        bool whole = false;
        const Files left = lose(before, after, whole);
        restore(left);
        DurableStore store(bell_, folder_.string(), kBytes);
        const auto loaded = store.load();
        // Whatever had been acknowledged is there; the save under way may go either way.
        if (n > 1 || whole) {
          require(loaded.has_value(), "after save " + std::to_string(n) + ": " + store.error());
        }
        if (loaded) {
          const int held = std::stoi(loaded->head);
          require(held == n || (held == n - 1 && !whole), "an older record has come back");
          require(loaded->configText == record(held).configText->text(),
                  "the text is not that of its record");
          require(store.commit(record(100)), "it can't be written again: " + store.error());
          ++found;
          kept += held == n ? 1 : 0;
        }
        ++torn;
      }
      restore(after);
      before = after;
    }
    damage(before);
    out = {{"losses", torn}, {"found", found}, {"newest", kept}};
  }

 private:
  DurableStore::Record record(int n) {
    // The text changes with every third record only.
    const auto k = static_cast<std::size_t>(n / 3);
    return {
        std::to_string(n) + " " + std::string(100 + 13 * static_cast<std::size_t>(n), 'h'),
        config::ConfigText::create(std::string(9000 + 1000 * k, static_cast<char>('a' + k % 26)))};
  }

  // Thousands of changes: texts that grow and shrink, and heads saved between them. The file stays
  // within what the disk was given, and none of the saves is refused.
  void storm(std::map<std::string, double>& out) {
    const int texts = static_cast<int>(number(s_, "texts", 100));
    const double least = number(s_, "least", 1000);
    const double most = number(s_, "most", 400000);
    const auto map = static_cast<std::size_t>(number(s_, "map_mb", 8)) << 20;
    const int heads = static_cast<int>(number(s_, "heads", 2));
    double highest = 0;
    double refused = 0;
    restore({});
    auto store = std::make_unique<DurableStore>(bell_, folder_.string(), map);
    for (int n = 1; n <= texts; ++n) {
      const auto text = config::ConfigText::create(
          std::to_string(n) +
          std::string(static_cast<std::size_t>(clock_.uniform(least, most)), 't'));
      for (int k = 0; k < heads; ++k) {
        const auto head = std::to_string(n) + "/" + std::to_string(k) +
                          std::string(static_cast<std::size_t>(clock_.uniform(200, 9000)), 'h');
        refused += store->commit({head, text}) ? 0 : 1;
      }
      highest = std::max(highest, static_cast<double>(fs::file_size(folder_ / "data.mdb")));
      if (n % 50 != 0 && n != texts) continue;
      // The process ends and comes back: what it saved last is there.
      store = std::make_unique<DurableStore>(bell_, folder_.string(), map);
      const auto loaded = store->load();
      require(loaded && loaded->configText == text->text(), "what was saved last can't be read");
    }
    out = {{"saves", static_cast<double>(texts) * heads},
           {"refused", refused},
           {"highest_mb", highest / (1U << 20U)}};
  }

  // A voter's record as it is saved after `n` changes.
  static DurableStore::Record voter(int n) {
    consensus::Acceptor acceptor(NodeId("n1"), Incarnation{7}, true);
    consensus::RegisterRequest ask;
    ask.kind = consensus::RegisterRequest::Kind::accept;
    ask.sender = NodeId("n2");
    ask.ballot = {static_cast<std::uint64_t>(n), NodeId("n2#1")};
    ask.value.sequence = static_cast<std::uint64_t>(n);
    ask.value.uniqueId = "s" + std::to_string(n);
    ask.value.configRevision = Revision{n};
    ask.value.config =
        config::ConfigText::create("{\"revision\":" + std::to_string(n) + ",\"x\":\"" +
                                   std::string(5000 + n % 97 * 100, 'x') + "\"}");
    ask.value.voters = {NodeId("n1"), NodeId("n2"), NodeId("n3")};
    require(acceptor.handle(ask).reply.granted, "the record can't be made");
    const auto saved = acceptor.persistedState();
    return {saved.head, saved.configText};
  }

  std::optional<consensus::Acceptor> heldIn(const fs::path& data) {
    DurableStore store(bell_, (data / "register").string(), kBytes);
    const auto loaded = store.load();
    if (!loaded) return std::nullopt;
    return consensus::Acceptor::restore(
        NodeId("n1"), {loaded->head, config::ConfigText::create(loaded->configText)});
  }

  // Saved while the voter goes on writing, put back, refused, and spoilt in many ways.
  void snapshots(std::map<std::string, double>& out) {
    using End = storage::SnapshotResult::Status;
    restore({});
    const auto data = folder_ / "data";
    const auto other = folder_ / "other";
    const auto file = (folder_ / "snapshot").string();
    fs::create_directories(data);
    require(storage::saveSnapshot(file, data.string()).status == End::inputMissing,
            "nothing was saved there");
    const int saves = static_cast<int>(number(s_, "saves", 10));
    {
      DurableStore store(bell_, (data / "register").string(), kBytes);
      require(store.commit(voter(1)), "a save fails");
      std::atomic<bool> more{true};
      std::thread writer([&] {
        for (int n = 2; more; ++n) store.commit(voter(n));
      });
      int last = 0;
      for (int i = 0; i < saves; ++i) {
        const auto done = storage::saveSnapshot(file, data.string());
        const auto shown = storage::showSnapshot(file);
        if (done.status != End::ok || shown.status != End::ok) more = false;
        if (!more) break;
        // The text is that of its head, or it would not have been read; and time goes forward.
        const int n = nlohmann::json::parse(shown.message)["revision"].get<int>();
        if (n < last) more = false;
        last = n;
      }
      const bool whole = more.exchange(false);
      writer.join();
      require(whole, "a snapshot beside a writing process isn't whole");
    }
    const auto before = heldIn(data);
    require(storage::saveSnapshot(file, data.string()).status == End::ok, "a snapshot isn't saved");
    require(storage::restoreSnapshot(file, data.string(), false).status == End::directoryNotEmpty,
            "state that is there is written over");
    require(heldIn(data)->acceptedBallot() == before->acceptedBallot(),
            "a refusal has changed something");
    for (const bool force : {false, true}) {
      require(storage::restoreSnapshot(file, other.string(), force).status == End::ok,
              "a snapshot isn't put back");
      const auto back = heldIn(other);
      require(back && back->value().uniqueId == before->value().uniqueId,
              "it holds something else");
      require(!back->recovered() && back->incarnation() != before->incarnation(),
              "it would vote at once");
    }
    {
      DurableStore store(bell_, (other / "register").string(), kBytes);
      store.start();
      require(storage::restoreSnapshot(file, other.string(), true).status == End::directoryInUse,
              "it is put back below a running process");
    }
    spoil(file, out);
  }

  void spoil(const std::string& file, std::map<std::string, double>& out) {
    std::ifstream in(file, std::ios::binary);
    const std::string good((std::istreambuf_iterator<char>(in)), {});
    std::string problem;
    const auto record = storage::decodeSnapshot(good, problem);
    require(record.has_value(), "a good snapshot is refused");
    const int mutations = static_cast<int>(number(s_, "mutations", 1000));
    double refused = 0;
    double read = 0;
    for (int i = 0; i < mutations; ++i) {
      auto bad = good;
      mutate(bad);
      if (bad != good && !storage::decodeSnapshot(bad, problem)) ++refused;
      // The same below a checksum that fits: refused, or something that can be put back.
      auto forged = *record;
      mutate(forged.head);
      if (const auto again = storage::decodeSnapshot(storage::encodeSnapshot(forged), problem)) {
        const auto saved = consensus::Acceptor::fencedState(
            {again->head, config::ConfigText::create(again->configText)}, 3);
        require(saved.has_value(), "what was read can't be put back");
        ++read;
      }
    }
    std::ofstream(file + "-bad", std::ios::binary) << good.substr(0, good.size() / 2);
    using End = storage::SnapshotResult::Status;
    require(storage::restoreSnapshot(file + "-bad", (folder_ / "fresh").string(), false).status ==
                    End::corrupt &&
                !fs::exists(folder_ / "fresh" / "register"),
            "half a snapshot leaves something behind");
    require(storage::restoreSnapshot(file + "-none", (folder_ / "fresh").string(), false).status ==
                End::inputMissing,
            "a file that isn't there");
    require(storage::decodeSnapshot(R"({"format":"merlingauge snapshot","version":2})"
                                    "\n",
                                    problem) == std::nullopt &&
                problem.find("another version") != std::string::npos,
            "another version isn't named");
    out = {{"mutations", static_cast<double>(mutations)}, {"refused", refused}, {"read", read}};
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

  Files take() const {
    Files out;
    for (const auto& entry : fs::directory_iterator(folder_)) {
      std::ifstream in(entry.path(), std::ios::binary);
      std::stringstream text;
      text << in.rdbuf();
      out[entry.path().filename().string()] = text.str();
    }
    return out;
  }

  void restore(const Files& files) const {
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    for (const auto& [name, bytes] : files) {
      std::ofstream(folder_ / name, std::ios::binary) << bytes;
    }
  }

  // Bytes [from, to) of a file as a loss leaves them: old, new, or new up to or from a torn place.
  void mix(const std::string& was, const std::string& is, std::size_t from, std::size_t to,
           std::string& left) {
    const auto byte = [&](const std::string& file, std::size_t at) {
      return at < file.size() ? file[at] : '\0';
    };
    const auto how = clock_.random() % 4;
    const std::size_t tear = from + clock_.random() % (to - from);
    for (std::size_t at = from; at < to && at < is.size(); ++at) {
      const bool fresh = how == 1 || (how == 2 && at < tear) || (how == 3 && at >= tear);
      if (left.size() <= at) left.resize(at + 1, '\0');
      left[at] = byte(fresh ? is : was, at);
    }
  }

  // The order is what the syncs enforce: pages, then the meta page, then the seal.
  Files lose(const Files& before, const Files& after, bool& whole) {
    const auto of = [](const Files& files, const char* name) {
      const auto it = files.find(name);
      return it == files.end() ? std::string() : it->second;
    };
    const std::string dataWas = of(before, "data.mdb");
    const std::string dataIs = of(after, "data.mdb");
    const std::string sealsWas = of(before, "seals");
    const std::string sealsIs = of(after, "seals");
    const auto stage = clock_.random() % 4;
    whole = stage == 3;
    Files left;
    auto& data = left["data.mdb"];
    auto& seals = left["seals"];
    seals = whole ? sealsIs : sealsWas;
    if (stage == 0) {
      data = dataWas;
      for (std::size_t at = kMetas; at < dataIs.size(); at += kPage) {
        mix(dataWas, dataIs, at, at + kPage, data);
      }
    } else {
      data = dataIs;
      if (stage == 1) {
        for (std::size_t at = 0; at < kMetas; at += kPage)
          mix(dataWas, dataIs, at, at + kPage, data);
      } else if (stage == 2) {
        mix(sealsWas, sealsIs, 0, kPage, seals);
        mix(sealsWas, sealsIs, kPage, 2 * kPage, seals);
        whole = seals == sealsIs;
      }
    }
    if (seals.empty()) left.erase("seals");
    return left;
  }

  // Damage is told from empty.
  void damage(const Files& good) {
    Files bad = good;
    for (auto& [name, bytes] : bad) std::fill(bytes.begin(), bytes.end(), 'x');
    bad["seals"] = good.at("seals");
    restore(bad);
    DurableStore spoiled(bell_, folder_.string(), kBytes);
    require(!spoiled.load() && spoiled.loadStatus() == DurableStore::LoadStatus::corrupt,
            "damage isn't noticed");
    restore({});
    DurableStore empty(bell_, folder_.string(), kBytes);
    require(!empty.load() && empty.loadStatus() == DurableStore::LoadStatus::empty,
            "empty looks damaged");
  }

  const Scenario& s_;
  Clock clock_;
  event::EventLoop bell_;
  fs::path folder_;
};

}  // namespace

void playDisk(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  DiskWorld(scenario, seed).play(out);
}

}  // namespace merlingauge::test
