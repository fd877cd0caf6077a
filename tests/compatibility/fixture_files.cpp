// fixture_files.cpp: reading of what version 0.1.0 stored and sent.
#include "compatibility/fixture_files.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

#include "control/config_change.hpp"

namespace merlingauge::test {

namespace fs = std::filesystem;
using config::ChangeHistory;
using config::ConfigText;
using config::ConfigTextCache;
using consensus::ReceiverState;
using nlohmann::json;

std::string readFixture(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("no fixture " + path.string());
  std::stringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

RecordedExchange recordedExchange(const std::string& name) {
  const auto base = kFixtures / "messages";
  return {json::parse(readFixture(base / (name + ".ask.json"))),
          json::parse(readFixture(base / (name + ".answer.json")))};
}

std::vector<std::string> recordedExchangesTo(const std::string& path) {
  std::istringstream index(readFixture(kFixtures / "messages" / "index.txt"));
  std::vector<std::string> out;
  for (std::string line; std::getline(index, line);) {
    std::istringstream fields(line);
    std::string name;
    std::string exchangePath;
    if (fields >> name >> exchangePath && exchangePath == path) out.push_back(name);
  }
  return out;
}

std::string exchangeCaseName(const ::testing::TestParamInfo<std::string>& tested) {
  std::string name = tested.param;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

namespace {

// Every text and history that the recorded messages refer to, by id.
struct RecordedState {
  std::map<std::uint64_t, ConfigText::Ptr> texts;
  std::map<std::uint64_t, ChangeHistory::Ptr> histories;
  void add(const ChangeHistory::Ptr& history) {
    auto part = ChangeHistory::unpack(history->floor(), history->seed(), "");
    histories[part->id()] = part;
    for (const auto& entry : history->entries()) {
      part = part->extendedBy(entry);
      histories[part->id()] = part;
    }
  }
};

void addHistoryOfValue(const json& value, RecordedState& out) {
  if (!value.is_object() || !value.contains("h") || !value.at("h").is_object()) return;
  const auto& history = value.at("h");
  if (!history.contains("a")) return;
  const Revision floor{history.at("f").get<std::int64_t>()};
  const auto packedEntries = history.at("a").get<std::string>();
  if (history.contains("s")) {
    out.add(ChangeHistory::unpack(floor, history.at("s").get<std::uint64_t>(), packedEntries));
    return;
  }
  const auto base = out.histories.find(history.at("o").get<std::uint64_t>());
  if (base == out.histories.end()) return;
  const auto extended =
      base->second->appendPacked(packedEntries, floor, history.at("i").get<std::uint64_t>());
  if (extended) out.add(extended);
}

// Each configuration of the fixture replaced the one before: their changes make a history.
ChangeHistory::Ptr historyOfConfigurations() {
  std::map<std::int64_t, std::string> texts;
  for (const auto& entry : fs::directory_iterator(kFixtures / "configurations")) {
    const auto text = readFixture(entry.path());
    texts[json::parse(text).at("revision").get<std::int64_t>()] = text;
  }
  ChangeHistory::Ptr out = std::make_shared<ChangeHistory>(Revision{0});
  for (const auto& [revision, text] : texts) {
    const auto base = std::to_string(out->lastRevision().value);
    out =
        out->extendedBy({Revision{revision},
                         control::changeDigest(control::ConfigChange::Kind::replace, base, text)});
  }
  return out;
}

const RecordedState& recordedState() {
  static const RecordedState kState = [] {
    RecordedState out;
    const auto addText = [&out](std::string text) {
      const auto configText = ConfigText::create(std::move(text));
      out.texts[configText->id()] = configText;
    };
    for (const auto& entry : fs::directory_iterator(kFixtures / "configurations")) {
      addText(readFixture(entry.path()));
    }
    out.add(historyOfConfigurations());
    const auto names = recordedExchangesTo("/register");
    // A history may be a delta on that of a message further on.
    for (std::size_t round = 0; round < names.size(); ++round) {
      for (const auto& name : names) {
        const auto exchange = recordedExchange(name);
        for (const auto* side : {&exchange.request, &exchange.response}) {
          if (!side->contains("v")) continue;
          const auto& value = side->at("v");
          addHistoryOfValue(value, out);
          if (value.contains("c")) addText(value.at("c").get<std::string>());
        }
      }
    }
    return out;
  }();
  return kState;
}

}  // namespace

ConfigText::Ptr textWithId(std::uint64_t id) {
  const auto& texts = recordedState().texts;
  const auto it = texts.find(id);
  if (it == texts.end()) throw std::runtime_error("no text " + std::to_string(id));
  return it->second;
}

ChangeHistory::Ptr historyWithId(std::uint64_t id) {
  const auto& histories = recordedState().histories;
  const auto it = histories.find(id);
  if (it == histories.end()) throw std::runtime_error("no history " + std::to_string(id));
  return it->second;
}

ReceiverState receiverOfRecorded(const json& value) {
  ReceiverState receiver;
  const bool carriesText = value.contains("c") || value.contains("z") || value.contains("m");
  if (value.contains("d")) {
    receiver.textId = value.at("o").get<std::uint64_t>();
  } else if (value.contains("i") && !carriesText) {
    receiver.textId = value.at("i").get<std::uint64_t>();
  }
  receiver.wantsHistory = value.contains("h");
  receiver.wantsLargeText = !value.contains("m");
  if (!receiver.wantsHistory) return receiver;
  const auto& history = value.at("h");
  if (history.contains("o")) {
    receiver.historyId = history.at("o").get<std::uint64_t>();
  } else if (!history.contains("a")) {
    receiver.historyId = history.at("i").get<std::uint64_t>();
  }
  return receiver;
}

ConfigTextCache cacheForDecoding(const json& value) {
  ConfigTextCache textCache;
  const auto receiver = receiverOfRecorded(value);
  if (receiver.textId != 0) textCache.add(textWithId(receiver.textId));
  if (value.contains("m")) textCache.add(textWithId(value.at("i").get<std::uint64_t>()));
  if (receiver.historyId != 0) textCache.add(historyWithId(receiver.historyId));
  return textCache;
}

json reencoded(const json& recorded) {
  auto textCache = cacheForDecoding(recorded);
  const auto value = consensus::valueFromJson(recorded, &textCache);
  return toJson(value, receiverOfRecorded(recorded), &textCache);
}

json schemaOf(const json& document) {
  if (document.is_object()) {
    json out = json::object();
    for (const auto& [key, value] : document.items()) out[key] = schemaOf(value);
    return out;
  }
  if (document.is_array()) {
    json out = json::array();
    for (const auto& value : document) out.push_back(schemaOf(value));
    return out;
  }
  return document.is_number() ? "number" : document.type_name();
}

}  // namespace merlingauge::test
