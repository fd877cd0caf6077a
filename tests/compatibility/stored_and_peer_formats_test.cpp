// What version 0.1.0 stored and said must be read by this version, and what this version writes
// must be what 0.1.0 reads: two versions run side by side while a fleet is renewed. The fixtures
// were written by that version (tests/fixtures/README.md) and are never changed; a test that fails
// here says that the two versions don't understand each other.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "consensus/message_codec.hpp"
#include "control/config_change.hpp"
#include "gossip/gossip_service.hpp"
#include "proxy/mesh_transport.hpp"
#include "proxy/peer_headers.hpp"
#include "storage/snapshot_codec.hpp"
#include "storage/state_database.hpp"
#include "storage/state_snapshot.hpp"

namespace merlingauge::test {
namespace {

namespace fs = std::filesystem;
using config::ChangeHistory;
using config::ConfigText;
using config::ConfigTextCache;
using consensus::Acceptor;
using consensus::Ballot;
using consensus::ReceiverState;
using consensus::RegisterReply;
using consensus::RegisterRequest;
using consensus::RegisterValue;
using consensus::StalenessBound;
using gossip::GossipService;
using membership::InstanceRegistry;
using nlohmann::json;
using storage::StateDatabase;
using storage::StoredState;

const fs::path kFixtures = FIXTURES_FOLDER;
constexpr std::size_t kDiskBytes = 8U << 20U;

// The voter whose store it is, and the other nodes.
const NodeId kVoter("127.144.0.1");
const NodeId kSecond("127.144.0.2");
const NodeId kThird("127.144.0.3");
const NodeId kFourth("127.144.0.4");
const NodeId kSidecar("127.144.0.12");

std::string contents(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("no fixture " + path.string());
  std::stringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

// ---- Messages

struct Message {
  std::string name;
  std::string path;
  json ask;
  json answer;
};

Message message(const std::string& name) {
  const auto base = kFixtures / "messages";
  return {name, "", json::parse(contents(base / (name + ".ask.json"))),
          json::parse(contents(base / (name + ".answer.json")))};
}

std::vector<std::string> messagesTo(const std::string& path) {
  std::istringstream index(contents(kFixtures / "messages" / "index.txt"));
  std::vector<std::string> out;
  for (std::string line; std::getline(index, line);) {
    std::istringstream words(line);
    std::string name;
    std::string at;
    if (words >> name >> at && at == path) out.push_back(name);
  }
  return out;
}

std::string caseName(const ::testing::TestParamInfo<std::string>& tested) {
  std::string name = tested.param;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

// Every text and history that the recorded messages rest on, by id.
struct Background {
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

void collectHistories(const json& value, Background& out) {
  if (!value.is_object() || !value.contains("h") || !value.at("h").is_object()) return;
  const auto& h = value.at("h");
  if (!h.contains("a")) return;
  const Revision floor{h.at("f").get<std::int64_t>()};
  const auto letters = h.at("a").get<std::string>();
  if (h.contains("s")) {
    out.add(ChangeHistory::unpack(floor, h.at("s").get<std::uint64_t>(), letters));
    return;
  }
  const auto base = out.histories.find(h.at("o").get<std::uint64_t>());
  if (base == out.histories.end()) return;
  const auto made = base->second->appendPacked(letters, floor, h.at("i").get<std::uint64_t>());
  if (made) out.add(made);
}

// The configurations of the fixture were put one on the other: their orders make a history.
ChangeHistory::Ptr chainOfOrders() {
  std::map<std::int64_t, std::string> texts;
  for (const auto& entry : fs::directory_iterator(kFixtures / "configurations")) {
    const auto text = contents(entry.path());
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

const Background& background() {
  static const Background made = [] {
    Background out;
    const auto addText = [&out](std::string text) {
      const auto configText = ConfigText::create(std::move(text));
      out.texts[configText->id()] = configText;
    };
    for (const auto& entry : fs::directory_iterator(kFixtures / "configurations")) {
      addText(contents(entry.path()));
    }
    out.add(chainOfOrders());
    const auto names = messagesTo("/register");
    // One history may build on that of a message further on.
    for (std::size_t pass = 0; pass < names.size(); ++pass) {
      for (const auto& name : names) {
        const auto m = message(name);
        for (const auto* side : {&m.ask, &m.answer}) {
          if (!side->contains("v")) continue;
          const auto& value = side->at("v");
          collectHistories(value, out);
          if (value.contains("c")) addText(value.at("c").get<std::string>());
        }
      }
    }
    return out;
  }();
  return made;
}

ConfigText::Ptr textOf(std::uint64_t id) {
  const auto& texts = background().texts;
  const auto it = texts.find(id);
  if (it == texts.end()) throw std::runtime_error("no text " + std::to_string(id));
  return it->second;
}

ChangeHistory::Ptr historyOf(std::uint64_t id) {
  const auto& histories = background().histories;
  const auto it = histories.find(id);
  if (it == histories.end()) throw std::runtime_error("no history " + std::to_string(id));
  return it->second;
}

bool travels(const json& value, const char* form) { return value.contains(form); }

// What the writer of a recorded value took its reader to have.
ReceiverState readerOfRecorded(const json& value) {
  ReceiverState reader;
  const bool whole = travels(value, "c") || travels(value, "z") || travels(value, "m");
  if (travels(value, "d")) {
    reader.textId = value.at("o").get<std::uint64_t>();
  } else if (travels(value, "i") && !whole) {
    reader.textId = value.at("i").get<std::uint64_t>();
  }
  reader.wantsHistory = travels(value, "h");
  reader.wantsLargeText = !travels(value, "m");
  if (!reader.wantsHistory) return reader;
  const auto& h = value.at("h");
  if (travels(h, "o")) {
    reader.historyId = h.at("o").get<std::uint64_t>();
  } else if (!travels(h, "a")) {
    reader.historyId = h.at("i").get<std::uint64_t>();
  }
  return reader;
}

// Holds just what a reader needs, so that what was sent is really read. A text that is only named
// is put there as well, for the value to be written again.
ConfigTextCache shelfFor(const json& value) {
  ConfigTextCache textCache;
  const auto reader = readerOfRecorded(value);
  if (reader.textId != 0) textCache.add(textOf(reader.textId));
  if (travels(value, "m")) textCache.add(textOf(value.at("i").get<std::uint64_t>()));
  if (reader.historyId != 0) textCache.add(historyOf(reader.historyId));
  return textCache;
}

json writtenAgain(const json& recorded) {
  auto textCache = shelfFor(recorded);
  const auto value = consensus::valueFromJson(recorded, &textCache);
  return toJson(value, readerOfRecorded(recorded), &textCache);
}

// The names and kinds of what a message holds, without its values.
json shapeOf(const json& j) {
  if (j.is_object()) {
    json out = json::object();
    for (const auto& [key, value] : j.items()) out[key] = shapeOf(value);
    return out;
  }
  if (j.is_array()) {
    json out = json::array();
    for (const auto& value : j) out.push_back(shapeOf(value));
    return out;
  }
  return j.is_number() ? "number" : j.type_name();
}

// ---- The store

class Store : public ::testing::Test {
 protected:
  void SetUp() override {
    folder_ = fs::temp_directory_path() /
              ("fixtures-" + std::to_string(::getpid()) + "-" +
               ::testing::UnitTest::GetInstance()->current_test_info()->name());
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    // A store is written to where it is opened.
    fs::copy(kFixtures / "store" / "register", registerFolder());
  }
  void TearDown() override { fs::remove_all(folder_); }
  [[nodiscard]] fs::path registerFolder() const { return folder_ / "register"; }
  [[nodiscard]] const fs::path& folder() const { return folder_; }

  StoredState load() {
    StateDatabase store(registerFolder().string(), kDiskBytes);
    const auto loaded = store.load();
    const auto* state = std::get_if<StoredState>(&loaded);
    const auto* error = std::get_if<storage::StorageError>(&loaded);
    EXPECT_TRUE(state) << (error == nullptr ? "nothing stored" : error->message());
    return state == nullptr ? StoredState{} : *state;
  }
  Acceptor restore() {
    const auto loaded = load();
    return Acceptor(kVoter,
                    consensus::decodeState({loaded.head, ConfigText::create(loaded.configText)}));
  }
  static RegisterRequest prepare(std::uint64_t number) {
    RegisterRequest ask;
    ask.sender = kSecond;
    ask.ballot = Ballot{number, kSecond};
    return ask;
  }

 private:
  fs::path folder_;
};

TEST_F(Store, OpensAndHoldsOneWholeRecord) {
  const auto loaded = load();
  EXPECT_EQ(json::parse(loaded.head).at("value").at("n"), 7);
  EXPECT_EQ(loaded.configText, contents(kFixtures / "configurations" / "revision-7.json"));
}

TEST_F(Store, GivesTheValueBack) {
  const auto acceptor = restore();
  const auto& value = acceptor.value();
  EXPECT_EQ(value.revision(), Revision{7});
  EXPECT_EQ(value.sequence, 5U);
  EXPECT_EQ(value.epoch, 2U);
  EXPECT_EQ(value.uniqueId, "127.144.0.1#8419326541907407956/4");
  EXPECT_EQ(value.voters, (std::vector<NodeId>{kVoter, kSecond, kFourth}));
  EXPECT_TRUE(value.previousVoters.empty());
  ASSERT_TRUE(value.config);
  EXPECT_EQ(value.config->id(), 16557776019508447049U);
  EXPECT_EQ(value.config->text(), contents(kFixtures / "configurations" / "revision-7.json"));
}

TEST_F(Store, GivesTheHistoryOfOrdersBack) {
  const auto acceptor = restore();
  const auto& history = acceptor.value().history;
  ASSERT_TRUE(history);
  EXPECT_EQ(history->floor(), Revision{0});
  EXPECT_EQ(history->seed(), 3602561189712154305U);
  EXPECT_EQ(history->id(), 18232152274711982358U);
  ASSERT_EQ(history->entries().size(), 3U);
  EXPECT_EQ(history->entries()[0].revision, Revision{3});
  EXPECT_EQ(history->entries()[1].revision, Revision{4});
  EXPECT_EQ(history->entries()[2].revision, Revision{7});
  EXPECT_EQ(history->outcomeOf(Revision{4}, history->entries()[2].digest),
            ChangeHistory::Outcome::committed);
  EXPECT_EQ(history->outcomeOf(Revision{3}, history->entries()[2].digest),
            ChangeHistory::Outcome::superseded);
}

TEST_F(Store, KnowsAnOrderThatIsSentAgainByItsDigest) {
  const auto acceptor = restore();
  const auto text = contents(kFixtures / "configurations" / "revision-7.json");
  const auto again = control::changeDigest(control::ConfigChange::Kind::replace, "4", text);
  EXPECT_EQ(acceptor.value().history->outcomeOf(Revision{4}, again),
            ChangeHistory::Outcome::committed);
}

TEST_F(Store, GivesLifeAndAcceptedBallotBack) {
  const auto acceptor = restore();
  EXPECT_EQ(acceptor.incarnation(), Incarnation{1380714384687U});
  EXPECT_TRUE(acceptor.recovered());
  EXPECT_EQ(acceptor.acceptedBallot(), (Ballot{4, NodeId("127.144.0.1#8419326541907407956")}));
}

TEST_F(Store, KeepsThePromise) {
  auto acceptor = restore();
  const auto out = acceptor.handle(prepare(3));
  EXPECT_FALSE(out.reply.granted) << "a lower ballot than the one promised must be refused";
  EXPECT_EQ(out.reply.promisedBallot, (Ballot{4, NodeId("127.144.0.1#8419326541907407956")}));
  EXPECT_TRUE(acceptor.handle(prepare(5)).reply.granted);
}

TEST_F(Store, RemembersTheLivesOfOthers) {
  auto acceptor = restore();
  const auto reply = acceptor.handle(prepare(5)).reply;
  EXPECT_EQ(reply.incarnations,
            (std::map<NodeId, Incarnation>{{kFourth, Incarnation{2994482393030U}}}));
  EXPECT_FALSE(reply.valueRecovered);
}

TEST_F(Store, IsWrittenAgainByteForByte) {
  const auto loaded = load();
  const auto saved = consensus::encodeState(restore().state());
  EXPECT_EQ(saved.head, loaded.head);
  ASSERT_TRUE(saved.configText);
  EXPECT_EQ(saved.configText->text(), loaded.configText);
}

TEST_F(Store, IsWrittenToAndReadAgain) {
  auto acceptor = restore();
  acceptor.handle(prepare(9));
  const auto saved = consensus::encodeState(acceptor.state());
  {
    StateDatabase store(registerFolder().string(), kDiskBytes);
    ASSERT_TRUE(std::holds_alternative<StoredState>(store.load()));
    const auto error = store.commit({saved.head, saved.configText});
    ASSERT_FALSE(error) << error->message();
  }
  EXPECT_EQ(load().head, saved.head);
  EXPECT_EQ(restore().handle(prepare(8)).reply.promisedBallot, (Ballot{9, kSecond}));
}

// ---- The snapshot

using Snapshot = Store;

TEST_F(Snapshot, HoldsWhatTheStoreHeld) {
  const auto record = storage::decodeSnapshot(contents(kFixtures / "voter.snapshot"));
  const auto stored = load();
  EXPECT_EQ(record.head, stored.head);
  EXPECT_EQ(record.configText, stored.configText);
}

TEST_F(Snapshot, IsWrittenAgainByteForByte) {
  const auto bytes = contents(kFixtures / "voter.snapshot");
  EXPECT_EQ(storage::encodeSnapshot(storage::decodeSnapshot(bytes)), bytes);
}

TEST_F(Snapshot, IsSavedFromTheStoreByteForByte) {
  const auto file = (folder() / "saved.snapshot").string();
  const auto done = storage::saveSnapshot(file, folder().string());
  ASSERT_EQ(done.status, storage::SnapshotResult::Status::ok) << done.message;
  EXPECT_EQ(contents(file), contents(kFixtures / "voter.snapshot"));
}

TEST_F(Snapshot, IsPutBackAsAVoterThatReadsTheOthersFirst) {
  const auto file = (kFixtures / "voter.snapshot").string();
  const auto done = storage::restoreSnapshot(file, folder().string(), true);
  ASSERT_EQ(done.status, storage::SnapshotResult::Status::ok) << done.message;
  const auto acceptor = restore();
  EXPECT_FALSE(acceptor.recovered());
  EXPECT_GT(acceptor.incarnation(), Incarnation{1380714384687U});
  EXPECT_EQ(acceptor.value().revision(), Revision{7});
  EXPECT_EQ(acceptor.value().voters, (std::vector<NodeId>{kVoter, kSecond, kFourth}));
}

TEST_F(Snapshot, ShowsTheConfiguration) {
  const auto done = storage::showSnapshot((kFixtures / "voter.snapshot").string());
  EXPECT_EQ(done.status, storage::SnapshotResult::Status::ok);
  EXPECT_EQ(done.message, contents(kFixtures / "configurations" / "revision-7.json"));
}

// ---- Messages of the register: all of them, there and back

class RegisterMessage : public ::testing::TestWithParam<std::string> {};

TEST_P(RegisterMessage, AskIsReadAndWrittenAsItWas) {
  const auto recorded = message(GetParam()).ask;
  ConfigTextCache textCache;
  if (recorded.contains("v")) textCache = shelfFor(recorded.at("v"));
  const auto ask = consensus::requestFromJson(recorded, &textCache);
  ReceiverState reader;
  if (recorded.contains("v")) reader = readerOfRecorded(recorded.at("v"));
  EXPECT_EQ(toJson(ask, reader, &textCache), recorded);
}

TEST_P(RegisterMessage, AnswerIsReadAndWrittenAsItWas) {
  const auto recorded = message(GetParam()).answer;
  ConfigTextCache textCache;
  ReceiverState reader;
  if (recorded.contains("v")) {
    textCache = shelfFor(recorded.at("v"));
    reader = readerOfRecorded(recorded.at("v"));
  }
  const auto reply = consensus::replyFromJson(recorded, &textCache);
  EXPECT_EQ(toJson(reply, reader, &textCache), recorded);
}

TEST_P(RegisterMessage, AskIsAnsweredInTheRecordedWay) {
  const auto recorded = message(GetParam());
  ConfigTextCache textCache;
  if (recorded.ask.contains("v")) textCache = shelfFor(recorded.ask.at("v"));
  const auto ask = consensus::requestFromJson(recorded.ask, &textCache);
  const auto told =
      recorded.answer.contains("v") ? shelfFor(recorded.answer.at("v")) : ConfigTextCache();
  const auto answered = consensus::replyFromJson(recorded.answer, &told);
  // A voter in the state that the answer tells of. A value that isn't sent is named by what it
  // consists of; where it is the same, the asker's own stamp says which one it is.
  RegisterValue held = answered.value;
  if (!recorded.answer.contains("v")) {
    held.uniqueId =
        ask.kind == RegisterRequest::Kind::accept ? ask.value.uniqueId : ask.knownValueId;
  }
  held.config = answered.textId == 0 ? nullptr : textOf(answered.textId);
  held.history = answered.historyId == 0 ? nullptr : historyOf(answered.historyId);
  if (held.history) held.configRevision = held.history->lastRevision();
  const json head = {{"life", answered.incarnation.value},
                     {"awake", !answered.recovering},
                     {"copied", answered.valueRecovered},
                     {"promised", toJson(answered.promisedBallot)},
                     {"accepted", toJson(answered.acceptedBallot)},
                     {"value", toJson(held, ReceiverState{answered.textId, 0})},
                     {"lives", recorded.answer.value("l", json::object())}};
  Acceptor acceptor(kVoter, consensus::decodeState({head.dump(), held.config}));
  const auto out = acceptor.handle(ask);
  ReceiverState reader;
  if (recorded.answer.contains("v")) {
    reader = readerOfRecorded(recorded.answer.at("v"));
  }
  EXPECT_EQ(toJson(out.reply, reader, &told), recorded.answer);
}

INSTANTIATE_TEST_SUITE_P(OfVersion010, RegisterMessage,
                         ::testing::ValuesIn(messagesTo("/register")), caseName);

// ---- Messages of the register: what they say

TEST(RegisterWords, PrepareNamesBallotAndWhatTheAskerHolds) {
  const auto ask = consensus::requestFromJson(message("register-prepare-same").ask);
  EXPECT_EQ(ask.kind, RegisterRequest::Kind::prepare);
  EXPECT_EQ(ask.sender, kSecond);
  EXPECT_GT(ask.ballot.number, 0U);
  EXPECT_EQ(ask.ballot.author.str().substr(0, 12), "127.144.0.2#");
  EXPECT_EQ(ask.cachedTextId, 9992145120209839045U);
  EXPECT_EQ(ask.cachedHistoryId, 16438642009397107831U);
  EXPECT_FALSE(ask.knownValueId.empty());
}

TEST(RegisterWords, PromiseOfTheSameValueDoesNotRepeatIt) {
  const auto m = message("register-prepare-same");
  const auto reply = consensus::replyFromJson(m.answer);
  EXPECT_TRUE(reply.granted);
  EXPECT_TRUE(reply.sameValue);
  EXPECT_EQ(reply.promisedBallot, consensus::requestFromJson(m.ask).ballot);
  EXPECT_GT(reply.acceptedBallot.number, 0U);
  EXPECT_EQ(reply.textId, 9992145120209839045U);
  EXPECT_EQ(reply.historyId, 16438642009397107831U);
}

TEST(RegisterWords, PromiseBringsTheTextAsADelta) {
  const auto recorded = message("register-prepare-value-delta").answer;
  const auto& v = recorded.at("v");
  auto textCache = shelfFor(v);
  const auto value = consensus::replyFromJson(recorded, &textCache).value;
  ASSERT_TRUE(value.config);
  EXPECT_EQ(value.config->id(), v.at("i").get<std::uint64_t>());
  EXPECT_EQ(value.config->text(), textOf(value.config->id())->text());
  EXPECT_EQ(json::parse(value.config->text()).at("revision"), value.configRevision.value);
}

TEST(RegisterWords, TextThatIsOnlyNamedIsFetched) {
  const auto named = message("register-prepare-value-text-only-named").answer;
  const auto value = consensus::replyFromJson(named).value;
  EXPECT_FALSE(value.config);
  EXPECT_EQ(value.missingTextId, named.at("v").at("i").get<std::uint64_t>());
  const auto fetch = consensus::requestFromJson(message("register-fetch").ask);
  EXPECT_EQ(fetch.kind, RegisterRequest::Kind::fetch);
  EXPECT_EQ(fetch.wantedTextId, 3636043726234239095U);
  const auto brought = consensus::replyFromJson(message("register-fetch").answer).value;
  ASSERT_TRUE(brought.config);
  EXPECT_EQ(brought.config->id(), fetch.wantedTextId);
  EXPECT_EQ(brought.configRevision, Revision{17});
  EXPECT_EQ(brought.epoch, 4U);
  EXPECT_FALSE(brought.history);
}

TEST(RegisterWords, DeltaOnATextThatIsNotHereIsToldApartFromAForeignMessage) {
  const auto recorded = message("register-accept-text-and-history-delta").ask;
  const ConfigTextCache empty;
  EXPECT_THROW(consensus::requestFromJson(recorded, &empty), consensus::MissingCachedText);
}

TEST(RegisterWords, AcceptBringsTextAndHistoryAsDeltas) {
  const auto recorded = message("register-accept-text-and-history-delta").ask;
  auto textCache = shelfFor(recorded.at("v"));
  const auto ask = consensus::requestFromJson(recorded, &textCache);
  EXPECT_EQ(ask.kind, RegisterRequest::Kind::accept);
  EXPECT_EQ(ask.ballot, (Ballot{1, NodeId("127.144.0.2#106931285591965094")}));
  EXPECT_EQ(ask.value.sequence, 2U);
  EXPECT_EQ(ask.value.epoch, 0U);
  EXPECT_EQ(ask.value.uniqueId, "127.144.0.2#106931285591965094/1");
  EXPECT_EQ(ask.value.configRevision, Revision{4});
  EXPECT_EQ(ask.value.voters, (std::vector<NodeId>{kVoter, kSecond, kThird}));
  ASSERT_TRUE(ask.value.config);
  EXPECT_EQ(ask.value.config->text(), contents(kFixtures / "configurations" / "revision-4.json"));
  ASSERT_TRUE(ask.value.history);
  EXPECT_EQ(ask.value.history->id(), 10821286443465043820U);
  EXPECT_EQ(ask.value.history->entries().size(), 2U);
}

TEST(RegisterWords, AcceptBringsThePackedTextAndTheWholeHistory) {
  const auto ask = consensus::requestFromJson(message("register-accept-text-packed").ask);
  ASSERT_TRUE(ask.value.config);
  EXPECT_EQ(ask.value.config->text(), contents(kFixtures / "configurations" / "revision-3.json"));
  const auto whole = consensus::requestFromJson(message("register-accept-history-whole").ask);
  ASSERT_TRUE(whole.value.history);
  EXPECT_EQ(whole.value.history->id(), 16438642009397107831U);
  EXPECT_EQ(whole.value.history->lastRevision(), Revision{3});
}

TEST(RegisterWords, ChangeOfVotersNamesBothSets) {
  const auto recorded = message("register-accept-changing-voters").ask;
  auto textCache = shelfFor(recorded.at("v"));
  const auto value = consensus::requestFromJson(recorded, &textCache).value;
  EXPECT_EQ(value.epoch, 1U);
  EXPECT_EQ(value.voters, (std::vector<NodeId>{kVoter, kSecond, kFourth}));
  EXPECT_EQ(value.previousVoters, (std::vector<NodeId>{kVoter, kSecond, kThird}));
}

TEST(RegisterWords, RefusalCarriesNoValue) {
  for (const char* name : {"register-prepare-refused", "register-accept-refused"}) {
    const auto m = message(name);
    const auto reply = consensus::replyFromJson(m.answer);
    EXPECT_FALSE(reply.granted) << name;
    EXPECT_FALSE(reply.recovering) << name;
    EXPECT_EQ(reply.acceptedBallot, Ballot{}) << name;
    EXPECT_LT(consensus::ballotFromJson(m.ask.at("b")), reply.promisedBallot) << name;
  }
}

TEST(RegisterWords, VoterThatIsAsleepSaysSo) {
  for (const char* name : {"register-prepare-asleep", "register-rejoin-asleep"}) {
    const auto reply = consensus::replyFromJson(message(name).answer);
    EXPECT_FALSE(reply.granted) << name;
    EXPECT_TRUE(reply.recovering) << name;
  }
}

TEST(RegisterWords, CopiedValueIsMarked) {
  const auto recorded = message("register-prepare-copied-value").answer;
  ConfigTextCache textCache;
  if (recorded.contains("v")) textCache = shelfFor(recorded.at("v"));
  EXPECT_TRUE(consensus::replyFromJson(recorded, &textCache).valueRecovered);
}

TEST(RegisterWords, RejoinNamesTheNewLifeAndIsToldWhatIsKnownOfIt) {
  const auto m = message("register-rejoin");
  const auto ask = consensus::requestFromJson(m.ask);
  EXPECT_EQ(ask.kind, RegisterRequest::Kind::rejoin);
  EXPECT_EQ(ask.sender, kFourth);
  EXPECT_EQ(ask.incarnation, Incarnation{2994482393030U});
  auto textCache = shelfFor(m.answer.at("v"));
  const auto reply = consensus::replyFromJson(m.answer, &textCache);
  EXPECT_EQ(reply.requesterIncarnation, ask.incarnation);
  EXPECT_EQ(reply.incarnations, (std::map<NodeId, Incarnation>{{kFourth, ask.incarnation}}));
  EXPECT_EQ(reply.value.configRevision, Revision{3});
}

TEST(RegisterWords, LifeThatIsOverIsToldOfTheNewerOne) {
  const auto m = message("register-rejoin-life-is-over");
  const auto reply = consensus::replyFromJson(m.answer);
  EXPECT_FALSE(reply.granted);
  EXPECT_LT(consensus::requestFromJson(m.ask).incarnation, reply.requesterIncarnation);
  EXPECT_EQ(reply.requesterIncarnation, Incarnation{3298534883340U});
}

// ---- News

// One node with a clock that moves only when told to, and what it says to others.
class Post {
 public:
  struct Said {
    NodeId to;
    json body;
    std::function<void(std::optional<json>)> answer;
  };

  Post(const NodeId& id, bool core, Incarnation incarnation, std::vector<NodeId> seeds)
      : book(membership::NodeInfo{id, ZoneName("z"), core, false, false, 0, Incarnation{}},
             incarnation) {
    gossip::GossipOptions options;
    options.self = id;
    options.zone = ZoneName("z");
    options.seeds = std::move(seeds);
    options.isControlNode = core;
    options.fullSyncInterval = std::chrono::milliseconds(300);
    roster = std::make_unique<GossipService>(
        gossip::GossipDependencies{environment_, book, replica_, evidence}, std::move(options),
        observer_);
  }
  json serve(const json& pull) {
    json out;
    roster->handlePull(pull, [&out](const std::string& text) { out = json::parse(text); });
    return out;
  }

  // Lets time pass and runs what was put off until then.
  void pass(Duration span) {
    now_ += span;
    for (auto it = timers_.begin(); it != timers_.end(); it = timers_.begin()) {
      const auto due = std::find_if(it, timers_.end(),
                                    [&](const auto& timer) { return timer.second.at <= now_; });
      if (due == timers_.end()) break;
      const auto work = timers_.extract(due).mapped().work;
      work();
    }
    roster->tick();
  }

  static constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

 private:
  struct Timer {
    TimePoint at;
    std::function<void()> work;
  };

  class Environment final : public gossip::Environment {
   public:
    explicit Environment(Post& post) : post_(post) {}
    [[nodiscard]] TimePoint now() const override { return post_.now_; }
    [[nodiscard]] TimePoint readClock() const override { return post_.now_; }
    TimerId runAfter(Duration wait, std::function<void()> work) override {
      post_.timers_[++lastTimer_] = {post_.now_ + wait, std::move(work)};
      return lastTimer_;
    }
    void cancel(TimerId timer) override { post_.timers_.erase(timer); }
    void sendPull(const NodeId& to, const json& message, Duration,
                  ResponseCallback onResponse) override {
      post_.said.push_back({to, message, std::move(onResponse)});
    }

   private:
    Post& post_;
    TimerId lastTimer_ = 0;
  };

  class Replica final : public consensus::RegisterReplica {
   public:
    explicit Replica(Post& post) : post_(post) {}
    [[nodiscard]] const RegisterValue& committedValue() const override { return post_.known; }
    [[nodiscard]] const std::string& committedValueJson(std::uint64_t has) override {
      text_ = toJson(post_.known, {has, 0, false}, &post_.shelf).dump();
      return text_;
    }
    [[nodiscard]] RegisterValue decodeValue(const json& encoded) const override {
      return consensus::valueFromJson(encoded, &post_.shelf);
    }
    void learn(const RegisterValue& value) override { post_.known = value; }
    [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override { return post_.now_; }

   private:
    Post& post_;
    std::string text_;
  };

  Environment environment_{*this};
  Replica replica_{*this};
  gossip::GossipObserver observer_;
  TimePoint now_ = kNow;
  std::map<std::uint64_t, Timer> timers_;

 public:
  InstanceRegistry book;
  RegisterValue known;
  ConfigTextCache shelf;
  StalenessBound evidence;
  std::vector<Said> said;
  std::unique_ptr<GossipService> roster;
};

std::set<json> asSet(const json& list) { return {list.begin(), list.end()}; }

// Some node that no recorded message knows.
Post stranger() { return {NodeId("10.9.9.9"), true, Incarnation{1}, {kVoter}}; }

// What a puller with that vector calls "d".
std::uint64_t hashOver(const json& vector) {
  membership::VersionVector tally(std::make_shared<membership::SourceTable>());
  for (const auto& [source, count] : membership::entriesFromJson(vector)) tally.set(source, count);
  return tally.hash();
}

class NewsMessage : public ::testing::TestWithParam<std::string> {};

TEST_P(NewsMessage, WordsAreReadAndWrittenAsTheyWere) {
  const auto m = message(GetParam());
  for (const auto* side : {&m.ask, &m.answer}) {
    if (!side->contains("i")) continue;
    auto post = stranger();
    ASSERT_TRUE(post.book.merge(side->at("i"), {}, Post::kNow));
    auto written = asSet(json::parse(post.book.itemsInRanges(0xffff, Post::kNow)));
    std::erase_if(written, [](const json& item) { return item.at(1) == "10.9.9.9"; });
    EXPECT_EQ(written, asSet(side->at("i")));
  }
}

TEST_P(NewsMessage, VectorIsReadAndWrittenAsItWas) {
  const auto m = message(GetParam());
  for (const auto* side : {&m.ask, &m.answer}) {
    if (side->contains("v")) {
      EXPECT_EQ(toJson(membership::entriesFromJson(side->at("v"))), side->at("v"));
    }
  }
}

TEST_P(NewsMessage, ValueIsReadAndWrittenAsItWas) {
  const auto m = message(GetParam());
  if (!m.answer.contains("c") || m.ask.contains("g")) return;
  EXPECT_EQ(writtenAgain(m.answer.at("c")), m.answer.at("c"));
}

// An old node that knows nothing of this one's doings says this at any time: it must be answered.
TEST_P(NewsMessage, AskIsAnsweredByANodeThatKnowsNothing) {
  const auto m = message(GetParam());
  auto post = stranger();
  auto pull = m.ask;
  pull["w"] = 0;
  const auto answer = post.serve(pull);
  ASSERT_TRUE(answer.is_object());
  if (answer.contains("q")) {
    EXPECT_FALSE(pull.contains("a")) << "the hash over a vector has changed";
    EXPECT_EQ(answer, json({{"q", 1}}));
  }
}

INSTANTIATE_TEST_SUITE_P(OfVersion010, NewsMessage, ::testing::ValuesIn(messagesTo("/news")),
                         caseName);

TEST(NewsWords, FirstPullOfACoreIsTheRecordedOne) {
  const auto recorded = message("news-first-contact-of-core").ask;
  Post core(kSecond, true, Incarnation{584671080}, {kVoter, kSecond, kThird});
  core.roster->tick();
  ASSERT_FALSE(core.said.empty());
  EXPECT_EQ(core.said.front().body, recorded);
}

TEST(NewsWords, AnswerToTheFirstPullOfACoreHasTheRecordedShape) {
  const auto m = message("news-first-contact-of-core");
  Post core(kVoter, true, Incarnation{584670629}, {kVoter, kSecond, kThird});
  core.book.announceRecovered(true);
  const auto answer = core.serve(m.ask);
  EXPECT_EQ(answer.at("i"), m.answer.at("i"));
  EXPECT_EQ(answer.at("v"), m.answer.at("v"));
  EXPECT_EQ(answer.at("y"), m.answer.at("y"));
  EXPECT_EQ(shapeOf(answer), shapeOf(m.answer));
}

TEST(NewsWords, SidecarGreetsAndThenPullsAsRecorded) {
  const auto greeting = message("news-greeting");
  const auto first = message("news-first-contact-of-sidecar").ask;
  Post sidecar(kSidecar, false, Incarnation{584672244}, {kVoter, kSecond, kThird});
  sidecar.roster->tick();
  ASSERT_EQ(sidecar.said.size(), 1U);
  EXPECT_EQ(sidecar.said[0].body, json({{"f", kSidecar.str()}, {"g", 1}}));
  EXPECT_EQ(shapeOf(sidecar.said[0].body), shapeOf(greeting.ask));
  sidecar.said[0].answer(greeting.answer);
  ASSERT_EQ(sidecar.said.size(), 2U);
  auto pull = sidecar.said[1].body;
  pull.erase("b");  // whether the other is asked to pull back depends on which one it is
  EXPECT_EQ(pull, first);
}

TEST(NewsWords, GreetingIsAnsweredWithTheCoresAsRecorded) {
  const auto m = message("news-greeting");
  Post core(kVoter, true, Incarnation{584670629}, {kVoter});
  const json others = {{"n", kSecond.str(), "z", 9, 2, 7, kSecond.str() + "/7", 2},
                       {"n", kFourth.str(), "z", 9, 2, 7, kFourth.str() + "/7", 2},
                       {"n", kSidecar.str(), "z", 0, 1, 7, kSidecar.str() + "/7", 1}};
  core.book.merge(others, {}, Post::kNow);
  EXPECT_EQ(core.serve(m.ask), m.answer);
}

TEST(NewsWords, FirstContactIsAnsweredWithAllWordsAndTheValue) {
  const auto m = message("news-first-contact-of-sidecar");
  auto core = stranger();
  core.book.merge(m.answer.at("i"), membership::entriesFromJson(m.answer.at("v")), Post::kNow);
  core.known = consensus::valueFromJson(m.answer.at("c"), &core.shelf);
  const auto answer = core.serve(m.ask);
  for (const auto& item : m.answer.at("i")) EXPECT_TRUE(asSet(answer.at("i")).contains(item));
  for (const auto& [source, count] : m.answer.at("v").items()) {
    EXPECT_EQ(answer.at("v").at(source), count);
  }
  EXPECT_EQ(answer.at("c"), m.answer.at("c"));
}

TEST(NewsWords, FirstContactTellsTheNodesAndTheConfiguration) {
  const auto m = message("news-first-contact-of-sidecar");
  Post sidecar(kSidecar, false, Incarnation{584672244}, {kVoter, kSecond, kThird});
  sidecar.roster->tick();
  sidecar.said.at(0).answer(message("news-greeting").answer);
  sidecar.said.at(1).answer(m.answer);
  EXPECT_EQ(sidecar.known.revision(), Revision{7});
  EXPECT_EQ(sidecar.known.epoch, 2U);
  ASSERT_TRUE(sidecar.known.config);
  EXPECT_EQ(sidecar.known.config->text(),
            contents(kFixtures / "configurations" / "revision-7.json"));
  const auto& nodes = sidecar.book.nodes();
  ASSERT_TRUE(nodes.contains(kVoter));
  EXPECT_TRUE(nodes.at(kVoter).isControlNode);
  EXPECT_EQ(nodes.at(kFourth).incarnation, Incarnation{584888803});
  EXPECT_TRUE(nodes.at(kFourth).recovered);
  EXPECT_EQ(nodes.at(kFourth).zone, ZoneName("z"));
  // "e": 62 ms before the pull arrived; all stands still here.
  EXPECT_EQ(sidecar.roster->stalenessAge(), std::chrono::milliseconds(62));
}

TEST(NewsWords, ServerIsToldWithAllItsFields) {
  auto post = stranger();
  post.book.merge(message("news-delta-server").answer.at("i"), {}, Post::kNow);
  const auto server = post.book.findInstance(InstanceId("i-1"));
  ASSERT_TRUE(server);
  EXPECT_EQ(server->service, ServiceName("echo"));
  EXPECT_EQ(server->address, "127.144.0.12:21805");
  EXPECT_EQ(server->zone, ZoneName("z"));
  EXPECT_EQ(server->capacity, 2);
  EXPECT_EQ(server->status, membership::Instance::Status::available);
  EXPECT_EQ(server->sequence, 1U);
  EXPECT_EQ(server->reporter, kSidecar);
  const auto dot = post.book.dotOf(InstanceId("i-1"));
  ASSERT_TRUE(dot);
  EXPECT_EQ(dot->source.str(), "127.144.0.12/584672244");
  EXPECT_EQ(dot->counter, 2U);
}

TEST(NewsWords, ServerDrainsAndThenHasLeft) {
  auto post = stranger();
  const auto status = [&post](const char* name) {
    post.book.merge(message(name).answer.at("i"), {}, Post::kNow);
    return post.book.findInstance(InstanceId("i-1")).value().status;
  };
  EXPECT_EQ(status("news-server-drains"), membership::Instance::Status::draining);
  EXPECT_EQ(status("news-server-has-left"), membership::Instance::Status::gone);
}

TEST(NewsWords, ChangeOfVotersIsToldWithBothSets) {
  const auto recorded = message("news-value-changing-voters").answer.at("c");
  auto textCache = shelfFor(recorded);
  const auto value = consensus::valueFromJson(recorded, &textCache);
  EXPECT_EQ(value.epoch, 1U);
  EXPECT_EQ(value.voters, (std::vector<NodeId>{kVoter, kSecond, kFourth}));
  EXPECT_EQ(value.previousVoters, (std::vector<NodeId>{kVoter, kSecond, kThird}));
}

TEST(NewsWords, OldPullAfterAGapIsAskedForTheWholeVector) {
  const auto m = message("news-needs-whole-vector");
  EXPECT_EQ(stranger().serve(m.ask), m.answer);
}

TEST(NewsWords, ProbeIsAnswered) {
  const auto m = message("news-probe");
  EXPECT_EQ(stranger().serve(m.ask), m.answer);
  auto post = stranger();
  post.roster->probe(kVoter, [](bool) {});
  EXPECT_EQ(shapeOf(post.said.at(0).body), shapeOf(m.ask));
}

TEST(NewsWords, NewcomerIsToldWhenItsTurnIs) {
  const auto m = message("news-turn-later");
  auto core = stranger();
  json many = json::array();
  membership::VersionVectorEntries come;
  for (int i = 0; i < 20; ++i) {
    const auto id = "10.0.7." + std::to_string(i);
    many.push_back({"n", id, "z", 0, 1, 7, id + "/7", 1});
    come[membership::SourceId(id + "/7")] = 1;
  }
  core.book.merge(many, come, Post::kNow);
  auto before = m.ask;
  before["f"] = "10.0.3.1";
  core.serve(before);
  EXPECT_EQ(core.serve(m.ask), m.answer);
}

TEST(NewsWords, RangeDigestsAreTheRecordedOnes) {
  const auto m = message("news-range-digests");
  Post core(NodeId("10.0.1.2"), true, Incarnation{1001}, {});
  const json other = {{"n", "10.0.1.1", "z", 1, 1, 1000, "10.0.1.1/1000", 1}};
  core.book.merge(other, {}, Post::kNow);
  EXPECT_EQ(json(core.book.rangeDigests()), m.answer.at("r"));
}

TEST(NewsWords, RangesThatDifferAreMended) {
  const auto m = message("news-mend-ranges");
  Post core(NodeId("10.0.1.2"), true, Incarnation{1001}, {});
  // What this one remembers of the puller.
  json whole = m.ask;
  whole.erase("m");
  whole.erase("i");
  whole["a"] = 1;
  whole["v"] = {{"10.0.1.1/1000", 2}, {"10.0.1.2/1001", 1}};
  whole["w"] = 0;
  ASSERT_FALSE(core.serve(whole).contains("q")) << "the hash over a vector has changed";
  const auto answer = core.serve(m.ask);
  EXPECT_EQ(asSet(answer.at("i")), asSet(m.answer.at("i")));
  EXPECT_TRUE(core.book.findInstance(InstanceId("i1")));
}

TEST(NewsWords, StruckLivesAreForgotten) {
  const auto m = message("news-struck-lives");
  auto core = stranger();
  json whole = m.ask;
  whole.erase("x");
  whole["a"] = 1;
  whole["w"] = 0;
  whole["v"] = {{"10.0.1.1/1000", 3}, {"10.0.1.2/1001", 1}, {"10.0.1.3/1002", 1}};
  whole["d"] = hashOver(whole.at("v"));
  ASSERT_FALSE(core.serve(whole).contains("q"));
  auto pull = m.ask;
  pull["w"] = 0;
  EXPECT_FALSE(core.serve(pull).contains("q")) << "the vector without that life is the puller's";
}

// Which nodes are pulled from once the first has answered so.
std::set<NodeId> pulledFromAfter(const json& answer) {
  Post sidecar(kSidecar, false, Incarnation{584672244}, {kVoter, kSecond, kThird});
  sidecar.roster->tick();
  sidecar.said.at(0).answer(message("news-greeting").answer);
  sidecar.said.at(1).answer(answer);
  // Neighbours are met one after the other.
  for (int i = 0; i < 4; ++i) sidecar.pass(std::chrono::milliseconds(500));
  std::set<NodeId> out;
  for (const auto& said : sidecar.said) {
    if (said.body.contains("s")) out.insert(said.to);
  }
  return out;
}

TEST(NewsWords, CoreThatIsOutOfTouchIsLeftForAnother) {
  auto answer = message("news-out-of-touch").answer;
  ASSERT_TRUE(answer.contains("u"));
  const auto outOfTouch = pulledFromAfter(answer);
  answer.erase("u");
  EXPECT_GT(outOfTouch.size(), pulledFromAfter(answer).size());
}

TEST(NewsWords, CoreThatIsOutOfTouchSaysSo) {
  const auto recorded = message("news-out-of-touch").answer;
  auto core = stranger();
  core.known.voters = {kVoter, kSecond, kThird};
  core.roster->tick();
  core.pass(std::chrono::seconds(4));
  const auto answer = core.serve(message("news-first-contact-of-core").ask);
  ASSERT_TRUE(answer.contains("u"));
  EXPECT_EQ(answer.at("u"), recorded.at("u"));
}

TEST(NewsWords, PullNamesTheTextAtHand) {
  const auto recorded = message("news-delta-server").ask;
  Post core(kFourth, true, Incarnation{584888803}, {kVoter});
  core.known.sequence = 11;
  core.known.config = textOf(recorded.at("t").get<std::uint64_t>());
  core.known.configRevision = Revision{16};
  core.roster->tick();
  ASSERT_FALSE(core.said.empty());
  EXPECT_EQ(core.said[0].body.at("t"), recorded.at("t"));
  EXPECT_EQ(core.said[0].body.at("s"), recorded.at("s"));
}

TEST(NewsWords, TextIsToldAsADeltaOnTheOneAtHand) {
  const auto m = message("news-value-delta");
  auto core = stranger();
  core.shelf = shelfFor(m.answer.at("c"));
  core.known = consensus::valueFromJson(m.answer.at("c"), &core.shelf);
  auto pull = m.ask;
  pull["a"] = 1;  // else this one would ask for the whole vector first
  pull["d"] = hashOver(pull.at("v"));
  pull["w"] = 0;
  EXPECT_EQ(core.serve(pull).at("c"), m.answer.at("c"));
}

TEST(NewsWords, PullThatWaitsInVainIsToldTheRanges) {
  const auto m = message("news-range-digests");
  Post core(NodeId("10.0.1.2"), true, Incarnation{1001}, {});
  const json other = {{"n", "10.0.1.1", "z", 1, 1, 1000, "10.0.1.1/1000", 1}};
  core.book.merge(other, {}, Post::kNow);
  json pull = m.ask;
  pull["a"] = 1;
  pull["v"] = {{"10.0.1.1/1000", 2}, {"10.0.1.2/1001", 1}};
  json answer;
  core.roster->handlePull(pull, [&answer](const std::string& text) { answer = json::parse(text); });
  ASSERT_TRUE(answer.is_null()) << "there is nothing new to tell";
  core.pass(std::chrono::seconds(1));
  ASSERT_TRUE(answer.is_object());
  EXPECT_EQ(answer.value("r", json()), m.answer.at("r"));
}

TEST(NewsWords, RangesThatDifferAreSentWithTheNextPull) {
  Post core(NodeId("10.0.1.1"), true, Incarnation{1000}, {NodeId("10.0.1.2")});
  core.book.merge(message("news-mend-ranges").ask.at("i"), {}, Post::kNow);
  core.roster->tick();
  ASSERT_EQ(core.said.size(), 1U);
  core.said[0].answer(message("news-range-digests").answer);
  ASSERT_EQ(core.said.size(), 2U);
  const auto& pull = core.said[1].body;
  ASSERT_TRUE(pull.contains("m"));
  ASSERT_TRUE(pull.contains("i"));
  EXPECT_TRUE(std::any_of(pull.at("i").begin(), pull.at("i").end(),
                          [](const auto& item) { return item.at(1) == "i1"; }));
}

TEST(NewsWords, EvidenceIsToldAndTakenInMilliseconds) {
  const auto m = message("news-evidence-of-voter");
  Post core(kSecond, true, Incarnation{584671080}, {kVoter, kSecond});
  core.known.voters = {kVoter, kSecond};
  core.roster->tick();
  ASSERT_FALSE(core.said.empty());
  ASSERT_EQ(core.said[0].to, kVoter);
  EXPECT_FALSE(core.roster->hasQuorumLease());
  core.said[0].answer(m.answer);
  EXPECT_TRUE(core.roster->hasQuorumLease()) << "\"y\" is a contact with a voter";
}

// ---- Headers between egress and ingress

struct Hop {
  bool byNode = true;  // else the fixture writer asked
  std::map<std::string, std::string> request;
  int sign = 0;
  int status = 0;
  std::map<std::string, std::string> answer;
};

std::vector<Hop> hops() {
  std::vector<Hop> out;
  std::istringstream text(contents(kFixtures / "hop-headers.txt"));
  std::map<std::string, std::string>* into = nullptr;
  for (std::string line; std::getline(text, line);) {
    if (line.rfind("request", 0) == 0) {
      out.emplace_back();
      out.back().byNode = line == "request";
      into = &out.back().request;
    } else if (line.rfind("sign ", 0) == 0) {
      out.back().sign = std::stoi(line.substr(5));
    } else if (line.rfind("answer ", 0) == 0) {
      out.back().status = std::stoi(line.substr(7));
      into = &out.back().answer;
    } else if (const auto colon = line.find(": "); colon != std::string::npos) {
      (*into)[line.substr(0, colon)] = line.substr(colon + 2);
    }
  }
  return out;
}

std::map<std::string, std::string> ours(const std::map<std::string, std::string>& headers) {
  std::map<std::string, std::string> out;
  for (const auto& [name, value] : headers) {
    if (proxy::peer_headers::isPeerHeader(name)) out[name] = value;
  }
  return out;
}

const Hop& hopWhere(const std::function<bool(const Hop&)>& fits) {
  static const auto all = hops();
  const auto it = std::find_if(all.begin(), all.end(), fits);
  if (it == all.end()) throw std::runtime_error("no such hop in the fixture");
  return *it;
}

const Hop& refusedAs(const std::string& why) {
  return hopWhere([&](const Hop& hop) {
    const auto it = hop.answer.find("Hut-Refused");
    return it != hop.answer.end() && it->second == why;
  });
}

proxy::ResponseInfo readingOf(const Hop& hop) {
  Poco::Net::HTTPResponse response(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(hop.status));
  for (const auto& [name, value] : hop.answer) response.set(name, value);
  return proxy::MeshTransport(21803).readResponse(response);
}

TEST(HopHeaders, NamesAreTheRecordedOnes) {
  std::set<std::string> requests;
  std::set<std::string> answers;
  for (const auto& hop : hops()) {
    for (const auto& [name, value] : ours(hop.request)) requests.insert(name);
    for (const auto& [name, value] : ours(hop.answer)) answers.insert(name);
  }
  EXPECT_EQ(requests,
            (std::set<std::string>{proxy::peer_headers::kPriority, proxy::peer_headers::kMayQueue,
                                   proxy::peer_headers::kTimeToTarget,
                                   proxy::peer_headers::kNonIdempotent}));
  EXPECT_EQ(answers, (std::set<std::string>{proxy::peer_headers::kRejected,
                                            proxy::peer_headers::kUnknownOutcome,
                                            proxy::peer_headers::kLoad}));
}

TEST(HopHeaders, RequestIsDressedAsRecorded) {
  int compared = 0;
  for (const auto& hop : hops()) {
    if (!hop.byNode) continue;
    const auto recorded = ours(hop.request);
    proxy::AttemptContext context;
    context.instance = InstanceId("i-1");
    context.priority = std::stoi(recorded.at("Hut-Rank"));
    context.mayQueue = recorded.contains("Hut-Wait");
    context.nonIdempotent = recorded.contains("Hut-Once");
    context.timeToTarget = fromMillis(std::stod(recorded.at("Hut-Target")));
    Poco::Net::HTTPRequest request;
    proxy::MeshTransport(21803).addHeaders(context, request);
    EXPECT_EQ((std::map<std::string, std::string>{request.begin(), request.end()}), recorded);
    ++compared;
  }
  EXPECT_GE(compared, 4);
}

TEST(HopHeaders, RequestThatMustNotRunTwiceSaysSo) {
  const auto& once =
      hopWhere([](const Hop& hop) { return hop.request.contains("Hut-Once") && hop.byNode; });
  EXPECT_EQ(once.request.at("Hut-Once"), "1");
  EXPECT_EQ(once.request.at("Hut-Rank"), "1");
  EXPECT_EQ(once.request.at("Hut-Target"), "2000");
  EXPECT_EQ(once.request.at("Expected-Instance"), "i-1");
  EXPECT_EQ(once.request.at("Caller-Service"), "front");
  EXPECT_EQ(once.request.at("Deadline-Ms"), "2000");
}

TEST(HopHeaders, AnswerTellsTheLoad) {
  const auto& served = hopWhere([](const Hop& hop) { return hop.status == 200; });
  EXPECT_EQ(served.answer.at(proxy::peer_headers::kLoad), "0,2");
  const auto reading = readingOf(served);
  EXPECT_FALSE(reading.rejection);
  EXPECT_EQ(reading.reportedLoad, 0.0);
}

TEST(HopHeaders, RefusalsAreToldApart) {
  EXPECT_EQ(readingOf(refusedAs("full")).rejection, proxy::AttemptOutcome::overloaded);
  EXPECT_EQ(readingOf(refusedAs("full")).reportedLoad, 2.0);
  EXPECT_EQ(readingOf(refusedAs("not-there")).rejection, proxy::AttemptOutcome::unavailable);
  EXPECT_EQ(readingOf(refusedAs("turned-away")).rejection, proxy::AttemptOutcome::notExecuted);
  EXPECT_EQ(std::string(proxy::peer_headers::kOverloaded), "full");
  EXPECT_EQ(std::string(proxy::peer_headers::kUnavailable), "not-there");
  EXPECT_EQ(std::string(proxy::peer_headers::kNotExecuted), "turned-away");
}

TEST(HopHeaders, AnswerThatIsUnclearIsNoRefusal) {
  const auto& unclear = hopWhere([](const Hop& hop) { return hop.answer.contains("Hut-Unclear"); });
  EXPECT_EQ(unclear.status, 502);
  EXPECT_EQ(unclear.answer.at(proxy::peer_headers::kUnknownOutcome), "1");
  EXPECT_EQ(readingOf(unclear).rejection, proxy::AttemptOutcome::maybeExecuted);
}

TEST(HopHeaders, SignOfWorkComesBeforeTheAnswer) {
  const auto& served = hopWhere([](const Hop& hop) { return hop.status == 200; });
  EXPECT_EQ(served.sign, 102);
  EXPECT_TRUE(proxy::MeshTransport(21803).sendsInterimResponse());
}

TEST(HopHeaders, CallersCanNotSetThem) {
  for (const auto& hop : hops()) {
    for (const auto* headers : {&hop.request, &hop.answer}) {
      for (const auto& [name, value] : *headers) {
        if (name.rfind("Hut-", 0) != 0) continue;
        EXPECT_TRUE(proxy::peer_headers::isDroppedAtEgress(name)) << name;
      }
    }
  }
}

}  // namespace
}  // namespace merlingauge::test
