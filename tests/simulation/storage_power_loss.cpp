// storage_power_loss: the files of a store are kept before and after every save, and put together
// again as a loss of power may leave them: of what was not yet synced, each page is there, missing
// or torn.
#include <algorithm>

#include "event/event_loop.hpp"
#include "simulation/storage_world.hpp"
#include "storage/commit_record.hpp"
#include "storage/state_database.hpp"
#include "storage/store_layout.hpp"

namespace merlingauge::test {

namespace {

using storage::NothingStored;
using storage::StateDatabase;
using storage::StateRecord;
using storage::StoredState;
constexpr std::size_t kPageBytes = 4096;
constexpr std::size_t kMetaPageBytes = storage::kMetaPages * kPageBytes;

/// What was on its way to the disk when the power went. The syncs enforce this order.
enum class LossPoint : std::uint8_t { dataPages, metaPages, commitRecord, afterCommit };
constexpr std::uint64_t kLossPoints = 4;

/// How one page is left.
enum class PageOutcome : std::uint8_t { missing, written, tornWithNewStart, tornWithNewEnd };
constexpr std::uint64_t kPageOutcomes = 4;

struct FilesAfterLoss {
  StoreFiles files;
  bool committed = false;  // the save under way is whole on the disk
};

std::string bytesOf(const StoreFiles& files, const char* name) {
  const auto found = files.find(name);
  return found == files.end() ? std::string() : found->second;
}

std::string errorIn(const storage::LoadResult& loaded) {
  const auto* error = std::get_if<storage::StorageError>(&loaded);
  return error == nullptr ? "nothing is there" : error->message();
}

class PowerLossWorld {
 public:
  PowerLossWorld(const Scenario& scenario, std::uint64_t seed)
      : saves_(static_cast<int>(number(scenario, "saves", 8))),
        lossesPerSave_(static_cast<int>(number(scenario, "losses_per_save", 20))),
        clock_(seed),
        directory_(scenario, seed) {}

  Measurements play() {
    StoreFiles before;
    for (int save = 1; save <= saves_; ++save) {
      directory_.replaceWith(before);
      saveOnce(save);
      const StoreFiles after = directory_.read();
      for (int loss = 0; loss < lossesPerSave_; ++loss) checkLoss(save, before, after);
      directory_.replaceWith(after);
      before = after;
    }
    checkDamageIsNoticed(before);
    return {{"losses", losses_}, {"found", found_}, {"newest", newest_}};
  }

 private:
  // The text changes with every third record only.
  static StateRecord recordOf(int save) {
    const auto text = static_cast<std::size_t>(save / 3);
    return {
        std::to_string(save) + " " + std::string(100 + 13 * static_cast<std::size_t>(save), 'h'),
        config::ConfigText::create(
            std::string(9000 + 1000 * text, static_cast<char>('a' + text % 26)))};
  }

  [[nodiscard]] StateDatabase database() const {
    return {directory_.path().string(), kStoreMapBytes};
  }

  void saveOnce(int save) {
    auto store = database();
    if (save > 1) {
      require(std::holds_alternative<StoredState>(store.load()), "what was saved can't be read");
    }
    const auto error = store.commit(recordOf(save));
    require(!error, "a save fails: " + (error ? error->message() : ""));
  }

  // Whatever was acknowledged is there; the save under way may go either way.
  void checkLoss(int save, const StoreFiles& before, const StoreFiles& after) {
    const auto left = losePower(before, after);
    directory_.replaceWith(left.files);
    ++losses_;
    auto store = database();
    const auto loaded = store.load();
    const auto* state = std::get_if<StoredState>(&loaded);
    if (save > 1 || left.committed) {
      require(state != nullptr, "after save " + std::to_string(save) + ": " + errorIn(loaded));
    }
    if (state == nullptr) return;
    const int held = std::stoi(state->head);
    require(held == save || (held == save - 1 && !left.committed), "an older record has come back");
    require(state->configText == recordOf(held).configText->text(),
            "the text is not that of its record");
    const auto error = store.commit(recordOf(100));
    require(!error, "it can't be written again: " + (error ? error->message() : ""));
    ++found_;
    newest_ += held == save ? 1 : 0;
  }

  FilesAfterLoss losePower(const StoreFiles& before, const StoreFiles& after) {
    const std::string oldData = bytesOf(before, storage::kDataFile);
    const std::string newData = bytesOf(after, storage::kDataFile);
    const std::string oldRecords = bytesOf(before, storage::kCommitRecordFile);
    const std::string newRecords = bytesOf(after, storage::kCommitRecordFile);
    const auto point = static_cast<LossPoint>(clock_.random() % kLossPoints);
    std::string data = point == LossPoint::dataPages ? oldData : newData;
    std::string records = point == LossPoint::afterCommit ? newRecords : oldRecords;
    bool committed = point == LossPoint::afterCommit;
    if (point == LossPoint::dataPages) {
      mixPages(oldData, newData, kMetaPageBytes, newData.size(), data);
    } else if (point == LossPoint::metaPages) {
      mixPages(oldData, newData, 0, kMetaPageBytes, data);
    } else if (point == LossPoint::commitRecord) {
      mixPages(oldRecords, newRecords, 0, 2 * kPageBytes, records);
      committed = records == newRecords;
    }
    FilesAfterLoss left{{{storage::kDataFile, std::move(data)}}, committed};
    if (!records.empty()) left.files[storage::kCommitRecordFile] = std::move(records);
    return left;
  }

  void mixPages(const std::string& oldBytes, const std::string& newBytes, std::size_t from,
                std::size_t end, std::string& left) {
    for (std::size_t page = from; page < end; page += kPageBytes) {
      mixPage(oldBytes, newBytes, page, left);
    }
  }

  // The page at `from` as a loss leaves it: old, new, or new up to or from a torn place.
  void mixPage(const std::string& oldBytes, const std::string& newBytes, std::size_t from,
               std::string& left) {
    const auto byteAt = [](const std::string& file, std::size_t offset) {
      return offset < file.size() ? file[offset] : '\0';
    };
    const auto outcome = static_cast<PageOutcome>(clock_.random() % kPageOutcomes);
    const std::size_t tear = from + clock_.random() % kPageBytes;
    for (std::size_t at = from; at < from + kPageBytes && at < newBytes.size(); ++at) {
      const bool written = outcome == PageOutcome::written ||
                           (outcome == PageOutcome::tornWithNewStart && at < tear) ||
                           (outcome == PageOutcome::tornWithNewEnd && at >= tear);
      if (left.size() <= at) left.resize(at + 1, '\0');
      left[at] = byteAt(written ? newBytes : oldBytes, at);
    }
  }

  // Damage is told from a store that was never written to.
  void checkDamageIsNoticed(const StoreFiles& good) {
    StoreFiles bad = good;
    for (auto& [name, bytes] : bad) std::fill(bytes.begin(), bytes.end(), 'x');
    bad[storage::kCommitRecordFile] = good.at(storage::kCommitRecordFile);
    directory_.replaceWith(bad);
    require(std::holds_alternative<storage::StorageError>(database().load()),
            "damage isn't noticed");
    directory_.replaceWith({});
    require(std::holds_alternative<NothingStored>(database().load()), "empty looks damaged");
  }

  int saves_;
  int lossesPerSave_;
  Clock clock_;
  StoreDirectory directory_;
  double losses_ = 0;
  double found_ = 0;   // losses after which a state was there
  double newest_ = 0;  // losses after which it was that of the save under way
};

}  // namespace

Measurements playPowerLosses(const Scenario& scenario, std::uint64_t seed) {
  return PowerLossWorld(scenario, seed).play();
}

}  // namespace merlingauge::test
