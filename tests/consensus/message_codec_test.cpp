// message_codec_test.cpp: what the decoders of peer messages and of the stored state reject, and
// how they say so.
#include "consensus/message_codec.hpp"

#include <gtest/gtest.h>

#include <string>

#include "base/decode_error.hpp"
#include "consensus/acceptor_state_codec.hpp"

namespace merlingauge::consensus {
namespace {

using nlohmann::json;

constexpr std::size_t kLargeTextBytes = 10000;

// The field and the reason of the DecodeError that `decode` throws.
template <class Decode>
std::string errorOf(Decode decode) {
  try {
    decode();
  } catch (const DecodeError& error) {
    return error.what();
  }
  return "no error";
}

RegisterValue largeValue() {
  RegisterValue value;
  value.sequence = 4;
  value.uniqueId = "n1#5/3";
  value.voters = {NodeId("n1"), NodeId("n2"), NodeId("n3")};
  value.config = config::ConfigText::create(std::string(kLargeTextBytes, 'x'));
  value.configRevision = Revision{9};
  value.history = std::make_shared<config::ChangeHistory>(Revision{9});
  return value;
}

json prepareMessage() { return {{"k", 0}, {"f", "n2"}, {"b", {7, "n2#1"}}}; }

json replyMessage() {
  return {
      {"o", true}, {"n", 1}, {"p", {7, "n2#1"}}, {"a", {6, "n1#5"}}, {"v", toJson(largeValue())}};
}

TEST(RequestDecoding, NamesTheMissingField) {
  for (const char* key : {"k", "f", "b"}) {
    auto message = prepareMessage();
    message.erase(key);
    EXPECT_EQ(errorOf([&] { (void)requestFromJson(message); }), std::string(key) + ": missing");
  }
}

TEST(RequestDecoding, RejectsWhatIsNoObject) {
  EXPECT_EQ(errorOf([] { (void)requestFromJson(json::array()); }), "k: not inside an object");
}

TEST(RequestDecoding, RejectsUnknownKinds) {
  for (const int kind : {-1, 4}) {
    auto message = prepareMessage();
    message["k"] = kind;
    EXPECT_EQ(errorOf([&] { (void)requestFromJson(message); }), "k: unknown kind of request");
  }
}

TEST(RequestDecoding, RejectsBallotsThatLeaveNoNumber) {
  auto message = prepareMessage();
  message["b"] = {(std::uint64_t{1} << 62U) + 1, "n2#1"};
  EXPECT_EQ(errorOf([&] { (void)requestFromJson(message); }), "item 0: ballot number too large");
}

TEST(RequestDecoding, RejectsBallotsWithoutAnAuthor) {
  auto message = prepareMessage();
  message["b"] = json::array({7});
  EXPECT_EQ(errorOf([&] { (void)requestFromJson(message); }), "item 1: missing");
}

TEST(ReplyDecoding, NamesTheMissingField) {
  for (const char* key : {"o", "n", "p", "v"}) {
    auto message = replyMessage();
    message.erase(key);
    EXPECT_EQ(errorOf([&] { (void)replyFromJson(message); }), std::string(key) + ": missing");
  }
}

TEST(ReplyDecoding, RejectsIncarnationsThatAreNoObject) {
  auto message = replyMessage();
  message["l"] = {1, 2};
  EXPECT_EQ(errorOf([&] { (void)replyFromJson(message); }), "l: unexpected type array");
}

TEST(ReplyDecoding, ReadsTheLastOfAListOfIncarnations) {
  auto message = replyMessage();
  message["l"] = {{"n1", {3, 5}}, {"n2", 7}};
  const IncarnationMap expected = {{NodeId("n1"), Incarnation{5}}, {NodeId("n2"), Incarnation{7}}};
  EXPECT_EQ(replyFromJson(message).incarnations, expected);
  message["l"] = {{"n1", json::array()}};
  EXPECT_EQ(errorOf([&] { (void)replyFromJson(message); }), "l: unexpected type array");
}

TEST(ValueDecoding, RejectsVotersThatAreNoList) {
  auto value = toJson(largeValue());
  value["v"] = "n1";
  EXPECT_EQ(errorOf([&] { (void)valueFromJson(value); }), "v: unexpected type string");
}

TEST(ValueDecoding, RejectsATextOfAnotherId) {
  auto value = toJson(largeValue());
  value["i"] = 1;
  EXPECT_EQ(errorOf([&] { (void)valueFromJson(value); }),
            "i: not the id of the text that was sent");
}

TEST(ValueDecoding, RejectsAHistoryOfAnotherRevision) {
  auto value = toJson(largeValue());
  value["n"] = 10;
  EXPECT_EQ(errorOf([&] { (void)valueFromJson(value); }),
            "h: of another revision than the configuration");
}

TEST(ValueDecoding, RejectsAHistoryBelowZero) {
  auto value = toJson(largeValue());
  value["h"]["f"] = -1;
  EXPECT_EQ(errorOf([&] { (void)valueFromJson(value); }), "f: below 0");
}

TEST(ValueDecoding, RejectsHistoryEntriesThatAreNone) {
  auto value = toJson(largeValue());
  value["h"]["a"] = "!";
  const auto error = errorOf([&] { (void)valueFromJson(value); });
  EXPECT_EQ(error.substr(0, 3), "a: ") << error;
}

TEST(ValueDecoding, RejectsLegacyHistoriesThatDoNotRise) {
  auto value = toJson(largeValue());
  value.erase("h");
  value["r"] = {{9, "00000000000000ff"}, {9, "00000000000000ff"}};
  EXPECT_EQ(errorOf([&] { (void)valueFromJson(value); }), "r: revisions that do not rise");
}

TEST(ValueDecoding, TellsAMissingTextFromAMalformedOne) {
  const auto value = largeValue();
  const auto named = toJson(value, ReceiverState{value.textId(), 0});
  EXPECT_THROW((void)valueFromJson(named), MissingCachedText);
  config::ConfigTextCache textCache;
  cacheTexts(textCache, value);
  EXPECT_EQ(valueFromJson(named, &textCache).config->text(), value.config->text());
}

TEST(ValueDecoding, TellsAMissingHistoryFromAMalformedOne) {
  const auto value = largeValue();
  const auto named = toJson(value, ReceiverState{0, value.historyId()});
  EXPECT_THROW((void)valueFromJson(named), MissingCachedText);
}

TEST(ValueDecoding, KeepsTheIdOfATextThatWasLeftOut) {
  const auto value = largeValue();
  ReceiverState receiver;
  receiver.wantsLargeText = false;
  const auto decoded = valueFromJson(toJson(value, receiver));
  EXPECT_FALSE(decoded.config);
  EXPECT_EQ(decoded.missingTextId, value.textId());
}

TEST(ReceiverStateOf, DiffersByKindOfRequest) {
  RegisterRequest request;
  request.cachedTextId = 3;
  request.cachedHistoryId = 4;
  const auto prepare = receiverStateOf(request);
  EXPECT_EQ(prepare.textId, 3U);
  EXPECT_EQ(prepare.historyId, 4U);
  EXPECT_TRUE(prepare.wantsHistory);
  EXPECT_FALSE(prepare.wantsLargeText);
  request.kind = RegisterRequest::Kind::rejoin;
  const auto rejoin = receiverStateOf(request);
  EXPECT_EQ(rejoin.textId, 3U);
  EXPECT_EQ(rejoin.historyId, 0U);
  EXPECT_TRUE(rejoin.wantsLargeText);
  request.kind = RegisterRequest::Kind::fetch;
  const auto fetch = receiverStateOf(request);
  EXPECT_EQ(fetch.textId, 0U);
  EXPECT_FALSE(fetch.wantsHistory);
  EXPECT_TRUE(fetch.wantsLargeText);
}

AcceptorState storedState() {
  AcceptorState state;
  state.incarnation = firstIncarnation(7);
  state.recovered = true;
  state.promisedBallot = {8, NodeId("n2#1")};
  state.acceptedBallot = {7, NodeId("n1#5")};
  state.value = largeValue();
  return state;
}

TEST(StateDecoding, RejectsWhatIsNoJson) {
  EXPECT_EQ(errorOf([] { (void)decodeState({"{\"life\":", nullptr}); }), "head: no JSON");
}

TEST(StateDecoding, NamesTheMissingField) {
  const auto stored = encodeState(storedState());
  for (const char* key : {"life", "awake", "promised", "accepted", "value", "lives"}) {
    auto head = json::parse(stored.head);
    head.erase(key);
    EXPECT_EQ(errorOf([&] {
                (void)decodeState({head.dump(), stored.configText});
              }),
              std::string(key) + ": missing");
  }
}

TEST(StateDecoding, AsksForTheTextThatTheHeadNames) {
  const auto stored = encodeState(storedState());
  const auto another = config::ConfigText::create("another");
  EXPECT_THROW((void)decodeState({stored.head, another}), MissingCachedText);
}

TEST(FencedState, TakesANewIncarnationAndKeepsTheValue) {
  const auto state = storedState();
  const auto after = fenced(state, 3);
  EXPECT_LT(state.incarnation, after.incarnation);
  EXPECT_FALSE(after.recovered);
  EXPECT_TRUE(after.valueRecovered);
  EXPECT_EQ(after.value.uniqueId, state.value.uniqueId);
  EXPECT_EQ(after.promisedBallot, state.promisedBallot);
}

}  // namespace
}  // namespace merlingauge::consensus
