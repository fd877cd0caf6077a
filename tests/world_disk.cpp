// The store under losses of power. Real files are written, kept after every save, and put together
// again as a loss may leave them: of what was not synced yet, each page is there, missing or torn.
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

#include "process/bell.hpp"
#include "process/cellar.hpp"
#include "runner.hpp"

namespace merlin::test {

namespace {

namespace fs = std::filesystem;
using hut::Cellar;
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
    const int saves = static_cast<int>(number(s_, "saves", 8));
    const int losses = static_cast<int>(number(s_, "losses", 20));
    Files before;
    double found = 0;
    double kept = 0;
    double torn = 0;
    for (int n = 1; n <= saves; ++n) {
      restore(before);
      {
        Cellar cellar(bell_, folder_.string(), kBytes);
        if (n > 1) require(cellar.load().has_value(), "what was saved can't be read");
        require(cellar.write(record(n)), "a save fails: " + cellar.problem());
      }
      const Files after = take();
      for (int i = 0; i < losses; ++i) {
        bool whole = false;
        const Files left = lose(before, after, whole);
        restore(left);
        Cellar cellar(bell_, folder_.string(), kBytes);
        const auto loaded = cellar.load();
        // Whatever had been acknowledged is there; the save under way may go either way.
        if (n > 1 || whole) {
          require(loaded.has_value(), "after save " + std::to_string(n) + ": " + cellar.problem());
        }
        if (loaded) {
          const int held = std::stoi(loaded->head);
          require(held == n || (held == n - 1 && !whole), "an older record has come back");
          require(loaded->text == record(held).text->text(), "the text is not that of its record");
          require(cellar.write(record(100)), "it can't be written again: " + cellar.problem());
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
  Cellar::Record record(int n) {
    // The text changes with every third record only.
    const auto k = static_cast<std::size_t>(n / 3);
    return {std::to_string(n) + " " + std::string(100 + 13 * static_cast<std::size_t>(n), 'h'),
            cairn::Signboard::of(std::string(9000 + 1000 * k, static_cast<char>('a' + k % 26)))};
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
    auto cellar = std::make_unique<Cellar>(bell_, folder_.string(), map);
    for (int n = 1; n <= texts; ++n) {
      const auto text = cairn::Signboard::of(
          std::to_string(n) +
          std::string(static_cast<std::size_t>(clock_.uniform(least, most)), 't'));
      for (int k = 0; k < heads; ++k) {
        const auto head = std::to_string(n) + "/" + std::to_string(k) +
                          std::string(static_cast<std::size_t>(clock_.uniform(200, 9000)), 'h');
        refused += cellar->write({head, text}) ? 0 : 1;
      }
      highest = std::max(highest, static_cast<double>(fs::file_size(folder_ / "data.mdb")));
      if (n % 50 != 0 && n != texts) continue;
      // The process ends and comes back: what it saved last is there.
      cellar = std::make_unique<Cellar>(bell_, folder_.string(), map);
      const auto loaded = cellar->load();
      require(loaded && loaded->text == text->text(), "what was saved last can't be read");
    }
    out = {{"saves", static_cast<double>(texts) * heads},
           {"refused", refused},
           {"highest_mb", highest / (1U << 20U)}};
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
    Cellar spoiled(bell_, folder_.string(), kBytes);
    require(!spoiled.load() && spoiled.found() == Cellar::Found::damage, "damage isn't noticed");
    restore({});
    Cellar empty(bell_, folder_.string(), kBytes);
    require(!empty.load() && empty.found() == Cellar::Found::nothing, "empty looks damaged");
  }

  const Scenario& s_;
  Clock clock_;
  hut::Bell bell_;
  fs::path folder_;
};

}  // namespace

void playDisk(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  DiskWorld(scenario, seed).play(out);
}

}  // namespace merlin::test
