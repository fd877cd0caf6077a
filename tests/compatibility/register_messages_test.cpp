// register_messages_test.cpp: requests and responses of the replicated register as version 0.1.0
// sent them are understood, answered alike, and encoded again unchanged.
#include "compatibility/fixture_files.hpp"
#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "consensus/message_codec.hpp"

namespace merlingauge::test {
namespace {

using config::ConfigTextCache;
using consensus::Acceptor;
using consensus::Ballot;
using consensus::ReceiverState;
using consensus::RegisterRequest;
using consensus::RegisterValue;
using nlohmann::json;

class RegisterMessage : public ::testing::TestWithParam<std::string> {};

TEST_P(RegisterMessage, RequestIsDecodedAndEncodedUnchanged) {
  const auto recorded = recordedExchange(GetParam()).request;
  ConfigTextCache textCache;
  if (recorded.contains("v")) textCache = cacheForDecoding(recorded.at("v"));
  const auto request = consensus::requestFromJson(recorded, &textCache);
  ReceiverState receiver;
  if (recorded.contains("v")) receiver = receiverOfRecorded(recorded.at("v"));
  EXPECT_EQ(toJson(request, receiver, &textCache), recorded);
}

TEST_P(RegisterMessage, ResponseIsDecodedAndEncodedUnchanged) {
  const auto recorded = recordedExchange(GetParam()).response;
  ConfigTextCache textCache;
  ReceiverState receiver;
  if (recorded.contains("v")) {
    textCache = cacheForDecoding(recorded.at("v"));
    receiver = receiverOfRecorded(recorded.at("v"));
  }
  const auto reply = consensus::replyFromJson(recorded, &textCache);
  EXPECT_EQ(toJson(reply, receiver, &textCache), recorded);
}

TEST_P(RegisterMessage, AcceptorSendsTheRecordedResponse) {
  const auto recorded = recordedExchange(GetParam());
  ConfigTextCache textCache;
  if (recorded.request.contains("v")) textCache = cacheForDecoding(recorded.request.at("v"));
  const auto request = consensus::requestFromJson(recorded.request, &textCache);
  const auto responseCache = recorded.response.contains("v")
                                 ? cacheForDecoding(recorded.response.at("v"))
                                 : ConfigTextCache();
  const auto reply = consensus::replyFromJson(recorded.response, &responseCache);
  // A voter in the state that the response reports. A value that isn't sent is identified by its
  // parts; where both have the same one, its unique id is that of the request.
  RegisterValue value = reply.value;
  if (!recorded.response.contains("v")) {
    value.uniqueId = request.kind == RegisterRequest::Kind::accept ? request.value.uniqueId
                                                                   : request.knownValueId;
  }
  value.config = reply.textId == 0 ? nullptr : textWithId(reply.textId);
  value.history = reply.historyId == 0 ? nullptr : historyWithId(reply.historyId);
  if (value.history) value.configRevision = value.history->lastRevision();
  const json head = {{"life", reply.incarnation.value},
                     {"awake", !reply.recovering},
                     {"copied", reply.valueRecovered},
                     {"promised", toJson(reply.promisedBallot)},
                     {"accepted", toJson(reply.acceptedBallot)},
                     {"value", toJson(value, ReceiverState{reply.textId, 0})},
                     {"lives", recorded.response.value("l", json::object())}};
  Acceptor acceptor(kVoter, consensus::decodeState({head.dump(), value.config}));
  const auto out = acceptor.handle(request);
  ReceiverState receiver;
  if (recorded.response.contains("v")) {
    receiver = receiverOfRecorded(recorded.response.at("v"));
  }
  EXPECT_EQ(toJson(out.reply, receiver, &responseCache), recorded.response);
}

INSTANTIATE_TEST_SUITE_P(OfVersion010, RegisterMessage,
                         ::testing::ValuesIn(recordedExchangesTo("/register")), exchangeCaseName);

TEST(RegisterMessageContent, PrepareCarriesBallotAndCachedIdsOfTheProposer) {
  const auto request =
      consensus::requestFromJson(recordedExchange("register-prepare-same").request);
  EXPECT_EQ(request.kind, RegisterRequest::Kind::prepare);
  EXPECT_EQ(request.sender, kSecond);
  EXPECT_GT(request.ballot.number, 0U);
  EXPECT_EQ(request.ballot.author.str().substr(0, 12), "127.144.0.2#");
  EXPECT_EQ(request.cachedTextId, 9992145120209839045U);
  EXPECT_EQ(request.cachedHistoryId, 16438642009397107831U);
  EXPECT_FALSE(request.knownValueId.empty());
}

TEST(RegisterMessageContent, PromiseOfTheSameValueDoesNotRepeatIt) {
  const auto exchange = recordedExchange("register-prepare-same");
  const auto reply = consensus::replyFromJson(exchange.response);
  EXPECT_TRUE(reply.granted);
  EXPECT_TRUE(reply.sameValue);
  EXPECT_EQ(reply.promisedBallot, consensus::requestFromJson(exchange.request).ballot);
  EXPECT_GT(reply.acceptedBallot.number, 0U);
  EXPECT_EQ(reply.textId, 9992145120209839045U);
  EXPECT_EQ(reply.historyId, 16438642009397107831U);
}

TEST(RegisterMessageContent, PromiseCarriesTheTextAsADelta) {
  const auto recorded = recordedExchange("register-prepare-value-delta").response;
  const auto& recordedValue = recorded.at("v");
  auto textCache = cacheForDecoding(recordedValue);
  const auto value = consensus::replyFromJson(recorded, &textCache).value;
  ASSERT_TRUE(value.config);
  EXPECT_EQ(value.config->id(), recordedValue.at("i").get<std::uint64_t>());
  EXPECT_EQ(value.config->text(), textWithId(value.config->id())->text());
  EXPECT_EQ(json::parse(value.config->text()).at("revision"), value.configRevision.value);
}

TEST(RegisterMessageContent, TextReferencedByIdIsFetched) {
  const auto referenced = recordedExchange("register-prepare-value-text-only-named").response;
  const auto value = consensus::replyFromJson(referenced).value;
  EXPECT_FALSE(value.config);
  EXPECT_EQ(value.missingTextId, referenced.at("v").at("i").get<std::uint64_t>());
  const auto fetch = consensus::requestFromJson(recordedExchange("register-fetch").request);
  EXPECT_EQ(fetch.kind, RegisterRequest::Kind::fetch);
  EXPECT_EQ(fetch.wantedTextId, 3636043726234239095U);
  const auto fetched = consensus::replyFromJson(recordedExchange("register-fetch").response).value;
  ASSERT_TRUE(fetched.config);
  EXPECT_EQ(fetched.config->id(), fetch.wantedTextId);
  EXPECT_EQ(fetched.configRevision, Revision{17});
  EXPECT_EQ(fetched.epoch, 4U);
  EXPECT_FALSE(fetched.history);
}

TEST(RegisterMessageContent, DeltaOnAMissingTextIsDistinctFromAMalformedMessage) {
  const auto recorded = recordedExchange("register-accept-text-and-history-delta").request;
  const ConfigTextCache empty;
  EXPECT_THROW(static_cast<void>(consensus::requestFromJson(recorded, &empty)),
               consensus::MissingCachedText);
}

TEST(RegisterMessageContent, AcceptCarriesTextAndHistoryAsDeltas) {
  const auto recorded = recordedExchange("register-accept-text-and-history-delta").request;
  auto textCache = cacheForDecoding(recorded.at("v"));
  const auto request = consensus::requestFromJson(recorded, &textCache);
  EXPECT_EQ(request.kind, RegisterRequest::Kind::accept);
  EXPECT_EQ(request.ballot, (Ballot{1, NodeId("127.144.0.2#106931285591965094")}));
  EXPECT_EQ(request.value.sequence, 2U);
  EXPECT_EQ(request.value.epoch, 0U);
  EXPECT_EQ(request.value.uniqueId, "127.144.0.2#106931285591965094/1");
  EXPECT_EQ(request.value.configRevision, Revision{4});
  EXPECT_EQ(request.value.voters, (std::vector<NodeId>{kVoter, kSecond, kThird}));
  ASSERT_TRUE(request.value.config);
  EXPECT_EQ(request.value.config->text(),
            readFixture(kFixtures / "configurations" / "revision-4.json"));
  ASSERT_TRUE(request.value.history);
  EXPECT_EQ(request.value.history->id(), 10821286443465043820U);
  EXPECT_EQ(request.value.history->entries().size(), 2U);
}

TEST(RegisterMessageContent, AcceptCarriesThePackedTextAndTheCompleteHistory) {
  const auto request =
      consensus::requestFromJson(recordedExchange("register-accept-text-packed").request);
  ASSERT_TRUE(request.value.config);
  EXPECT_EQ(request.value.config->text(),
            readFixture(kFixtures / "configurations" / "revision-3.json"));
  const auto complete =
      consensus::requestFromJson(recordedExchange("register-accept-history-whole").request);
  ASSERT_TRUE(complete.value.history);
  EXPECT_EQ(complete.value.history->id(), 16438642009397107831U);
  EXPECT_EQ(complete.value.history->lastRevision(), Revision{3});
}

TEST(RegisterMessageContent, VoterChangeCarriesBothSets) {
  const auto recorded = recordedExchange("register-accept-changing-voters").request;
  auto textCache = cacheForDecoding(recorded.at("v"));
  const auto value = consensus::requestFromJson(recorded, &textCache).value;
  EXPECT_EQ(value.epoch, 1U);
  EXPECT_EQ(value.voters, (std::vector<NodeId>{kVoter, kSecond, kFourth}));
  EXPECT_EQ(value.previousVoters, (std::vector<NodeId>{kVoter, kSecond, kThird}));
}

TEST(RegisterMessageContent, RefusalCarriesNoValue) {
  for (const char* name : {"register-prepare-refused", "register-accept-refused"}) {
    const auto exchange = recordedExchange(name);
    const auto reply = consensus::replyFromJson(exchange.response);
    EXPECT_FALSE(reply.granted) << name;
    EXPECT_FALSE(reply.recovering) << name;
    EXPECT_EQ(reply.acceptedBallot, Ballot{}) << name;
    EXPECT_LT(consensus::ballotFromJson(exchange.request.at("b")), reply.promisedBallot) << name;
  }
}

TEST(RegisterMessageContent, RecoveringVoterIsMarked) {
  for (const char* name : {"register-prepare-asleep", "register-rejoin-asleep"}) {
    const auto reply = consensus::replyFromJson(recordedExchange(name).response);
    EXPECT_FALSE(reply.granted) << name;
    EXPECT_TRUE(reply.recovering) << name;
  }
}

TEST(RegisterMessageContent, RecoveredValueIsMarked) {
  const auto recorded = recordedExchange("register-prepare-copied-value").response;
  ConfigTextCache textCache;
  if (recorded.contains("v")) textCache = cacheForDecoding(recorded.at("v"));
  EXPECT_TRUE(consensus::replyFromJson(recorded, &textCache).valueRecovered);
}

TEST(RegisterMessageContent, RejoinCarriesTheNewIncarnationAndIsAcknowledged) {
  const auto exchange = recordedExchange("register-rejoin");
  const auto request = consensus::requestFromJson(exchange.request);
  EXPECT_EQ(request.kind, RegisterRequest::Kind::rejoin);
  EXPECT_EQ(request.sender, kFourth);
  EXPECT_EQ(request.incarnation, Incarnation{2994482393030U});
  auto textCache = cacheForDecoding(exchange.response.at("v"));
  const auto reply = consensus::replyFromJson(exchange.response, &textCache);
  EXPECT_EQ(reply.requesterIncarnation, request.incarnation);
  EXPECT_EQ(reply.incarnations, (std::map<NodeId, Incarnation>{{kFourth, request.incarnation}}));
  EXPECT_EQ(reply.value.configRevision, Revision{3});
}

TEST(RegisterMessageContent, SupersededIncarnationIsRejectedWithTheNewerOne) {
  const auto exchange = recordedExchange("register-rejoin-life-is-over");
  const auto reply = consensus::replyFromJson(exchange.response);
  EXPECT_FALSE(reply.granted);
  EXPECT_LT(consensus::requestFromJson(exchange.request).incarnation, reply.requesterIncarnation);
  EXPECT_EQ(reply.requesterIncarnation, Incarnation{3298534883340U});
}

}  // namespace
}  // namespace merlingauge::test
