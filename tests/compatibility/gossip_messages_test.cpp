// gossip_messages_test.cpp: pulls, discovery requests and probes of gossip as version 0.1.0 sent
// them are understood and answered, and this version sends the same.
#include <algorithm>
#include <set>

#include "compatibility/fixture_files.hpp"
#include "compatibility/simulated_node.hpp"

namespace merlingauge::test {
namespace {

using nlohmann::json;

std::set<json> asSet(const json& list) { return {list.begin(), list.end()}; }

// A control node that appears in no recorded message.
SimulatedNode unknownNode() { return {NodeId("10.9.9.9"), true, Incarnation{1}, {kVoter}}; }

// The hash that a pull with this vector carries as "d".
std::uint64_t hashOfVector(const json& vector) {
  membership::VersionVector versionVector(std::make_shared<membership::SourceTable>());
  for (const auto& [source, count] : membership::entriesFromJson(vector))
    versionVector.set(source, count);
  return versionVector.hash();
}

class GossipMessage : public ::testing::TestWithParam<std::string> {};

TEST_P(GossipMessage, UpdatesAreDecodedAndEncodedUnchanged) {
  const auto exchange = recordedExchange(GetParam());
  for (const auto* side : {&exchange.request, &exchange.response}) {
    if (!side->contains("i")) continue;
    auto node = unknownNode();
    ASSERT_TRUE(node.registry.merge(side->at("i"), {}, SimulatedNode::kNow));
    auto written = asSet(json::parse(node.registry.itemsInRanges(0xffff, SimulatedNode::kNow)));
    std::erase_if(written, [](const json& item) { return item.at(1) == "10.9.9.9"; });
    EXPECT_EQ(written, asSet(side->at("i")));
  }
}

TEST_P(GossipMessage, VersionVectorIsDecodedAndEncodedUnchanged) {
  const auto exchange = recordedExchange(GetParam());
  for (const auto* side : {&exchange.request, &exchange.response}) {
    if (side->contains("v")) {
      EXPECT_EQ(toJson(membership::entriesFromJson(side->at("v"))), side->at("v"));
    }
  }
}

TEST_P(GossipMessage, ValueIsDecodedAndEncodedUnchanged) {
  const auto exchange = recordedExchange(GetParam());
  if (!exchange.response.contains("c") || exchange.request.contains("g")) return;
  EXPECT_EQ(reencoded(exchange.response.at("c")), exchange.response.at("c"));
}

// A node of the old version may send this at any time, without state in common: it must be
// answered.
TEST_P(GossipMessage, RequestIsServedByANodeWithoutState) {
  const auto exchange = recordedExchange(GetParam());
  auto node = unknownNode();
  auto pull = exchange.request;
  pull["w"] = 0;
  const auto response = node.serve(pull);
  ASSERT_TRUE(response.is_object());
  if (response.contains("q")) {
    EXPECT_FALSE(pull.contains("a")) << "the hash over a vector has changed";
    EXPECT_EQ(response, json({{"q", 1}}));
  }
}

INSTANTIATE_TEST_SUITE_P(OfVersion010, GossipMessage,
                         ::testing::ValuesIn(recordedExchangesTo("/news")), exchangeCaseName);

TEST(GossipMessageContent, FirstPullOfAControlNodeIsTheRecordedOne) {
  const auto recorded = recordedExchange("news-first-contact-of-core").request;
  SimulatedNode controlNode(kSecond, true, Incarnation{584671080}, {kVoter, kSecond, kThird});
  controlNode.service->tick();
  ASSERT_FALSE(controlNode.sentMessages.empty());
  EXPECT_EQ(controlNode.sentMessages.front().body, recorded);
}

TEST(GossipMessageContent, ResponseToTheFirstPullOfAControlNodeHasTheRecordedShape) {
  const auto exchange = recordedExchange("news-first-contact-of-core");
  SimulatedNode controlNode(kVoter, true, Incarnation{584670629}, {kVoter, kSecond, kThird});
  controlNode.registry.announceRecovered(true);
  const auto response = controlNode.serve(exchange.request);
  EXPECT_EQ(response.at("i"), exchange.response.at("i"));
  EXPECT_EQ(response.at("v"), exchange.response.at("v"));
  EXPECT_EQ(response.at("y"), exchange.response.at("y"));
  EXPECT_EQ(schemaOf(response), schemaOf(exchange.response));
}

TEST(GossipMessageContent, SidecarDiscoversAndThenPullsAsRecorded) {
  const auto discovery = recordedExchange("news-greeting");
  const auto first = recordedExchange("news-first-contact-of-sidecar").request;
  SimulatedNode sidecar(kSidecar, false, Incarnation{584672244}, {kVoter, kSecond, kThird});
  sidecar.service->tick();
  ASSERT_EQ(sidecar.sentMessages.size(), 1U);
  EXPECT_EQ(sidecar.sentMessages[0].body, json({{"f", kSidecar.str()}, {"g", 1}}));
  EXPECT_EQ(schemaOf(sidecar.sentMessages[0].body), schemaOf(discovery.request));
  sidecar.sentMessages[0].respond(discovery.response);
  ASSERT_EQ(sidecar.sentMessages.size(), 2U);
  auto pull = sidecar.sentMessages[1].body;
  pull.erase("b");  // whether the other is asked to pull back depends on which one it is
  EXPECT_EQ(pull, first);
}

TEST(GossipMessageContent, DiscoveryResponseListsTheControlNodesAsRecorded) {
  const auto exchange = recordedExchange("news-greeting");
  SimulatedNode controlNode(kVoter, true, Incarnation{584670629}, {kVoter});
  const json others = {{"n", kSecond.str(), "z", 9, 2, 7, kSecond.str() + "/7", 2},
                       {"n", kFourth.str(), "z", 9, 2, 7, kFourth.str() + "/7", 2},
                       {"n", kSidecar.str(), "z", 0, 1, 7, kSidecar.str() + "/7", 1}};
  controlNode.registry.merge(others, {}, SimulatedNode::kNow);
  EXPECT_EQ(controlNode.serve(exchange.request), exchange.response);
}

TEST(GossipMessageContent, FirstPullIsAnsweredWithAllUpdatesAndTheValue) {
  const auto exchange = recordedExchange("news-first-contact-of-sidecar");
  auto controlNode = unknownNode();
  controlNode.registry.merge(exchange.response.at("i"),
                             membership::entriesFromJson(exchange.response.at("v")),
                             SimulatedNode::kNow);
  controlNode.committedValue =
      consensus::valueFromJson(exchange.response.at("c"), &controlNode.textCache);
  const auto response = controlNode.serve(exchange.request);
  for (const auto& item : exchange.response.at("i"))
    EXPECT_TRUE(asSet(response.at("i")).contains(item));
  for (const auto& [source, count] : exchange.response.at("v").items()) {
    EXPECT_EQ(response.at("v").at(source), count);
  }
  EXPECT_EQ(response.at("c"), exchange.response.at("c"));
}

TEST(GossipMessageContent, FirstPullBringsTheNodesAndTheConfiguration) {
  const auto exchange = recordedExchange("news-first-contact-of-sidecar");
  SimulatedNode sidecar(kSidecar, false, Incarnation{584672244}, {kVoter, kSecond, kThird});
  sidecar.service->tick();
  sidecar.sentMessages.at(0).respond(recordedExchange("news-greeting").response);
  sidecar.sentMessages.at(1).respond(exchange.response);
  EXPECT_EQ(sidecar.committedValue.revision(), Revision{7});
  EXPECT_EQ(sidecar.committedValue.epoch, 2U);
  ASSERT_TRUE(sidecar.committedValue.config);
  EXPECT_EQ(sidecar.committedValue.config->text(),
            readFixture(kFixtures / "configurations" / "revision-7.json"));
  const auto& nodes = sidecar.registry.nodes();
  ASSERT_TRUE(nodes.contains(kVoter));
  EXPECT_TRUE(nodes.at(kVoter).isControlNode);
  EXPECT_EQ(nodes.at(kFourth).incarnation, Incarnation{584888803});
  EXPECT_TRUE(nodes.at(kFourth).recovered);
  EXPECT_EQ(nodes.at(kFourth).zone, ZoneName("z"));
  // "e": 62 ms before the pull arrived; all stands still here.
  EXPECT_EQ(sidecar.service->stalenessAge(), std::chrono::milliseconds(62));
}

TEST(GossipMessageContent, InstanceUpdateCarriesAllItsFields) {
  auto node = unknownNode();
  node.registry.merge(recordedExchange("news-delta-server").response.at("i"), {},
                      SimulatedNode::kNow);
  const auto server = node.registry.findInstance(InstanceId("i-1"));
  ASSERT_TRUE(server);
  EXPECT_EQ(server->service, ServiceName("echo"));
  EXPECT_EQ(server->address, "127.144.0.12:21805");
  EXPECT_EQ(server->zone, ZoneName("z"));
  EXPECT_EQ(server->capacity, 2);
  EXPECT_EQ(server->status, membership::Instance::Status::available);
  EXPECT_EQ(server->sequence, 1U);
  EXPECT_EQ(server->reporter, kSidecar);
  const auto dot = node.registry.dotOf(InstanceId("i-1"));
  ASSERT_TRUE(dot);
  EXPECT_EQ(dot->source.str(), "127.144.0.12/584672244");
  EXPECT_EQ(dot->counter, 2U);
}

TEST(GossipMessageContent, InstanceIsDrainingAndThenGone) {
  auto node = unknownNode();
  const auto status = [&node](const char* name) {
    node.registry.merge(recordedExchange(name).response.at("i"), {}, SimulatedNode::kNow);
    return node.registry.findInstance(InstanceId("i-1")).value().status;
  };
  EXPECT_EQ(status("news-server-drains"), membership::Instance::Status::draining);
  EXPECT_EQ(status("news-server-has-left"), membership::Instance::Status::gone);
}

TEST(GossipMessageContent, VoterChangeCarriesBothSets) {
  const auto recorded = recordedExchange("news-value-changing-voters").response.at("c");
  auto textCache = cacheForDecoding(recorded);
  const auto value = consensus::valueFromJson(recorded, &textCache);
  EXPECT_EQ(value.epoch, 1U);
  EXPECT_EQ(value.voters, (std::vector<NodeId>{kVoter, kSecond, kFourth}));
  EXPECT_EQ(value.previousVoters, (std::vector<NodeId>{kVoter, kSecond, kThird}));
}

TEST(GossipMessageContent, DeltaPullAfterAGapIsAskedForTheCompleteVector) {
  const auto exchange = recordedExchange("news-needs-whole-vector");
  EXPECT_EQ(unknownNode().serve(exchange.request), exchange.response);
}

TEST(GossipMessageContent, ProbeIsAcknowledged) {
  const auto exchange = recordedExchange("news-probe");
  EXPECT_EQ(unknownNode().serve(exchange.request), exchange.response);
  auto node = unknownNode();
  node.service->probe(kVoter, [](bool) {});
  EXPECT_EQ(schemaOf(node.sentMessages.at(0).body), schemaOf(exchange.request));
}

TEST(GossipMessageContent, NewNodeIsDeferredWithARetryTime) {
  const auto exchange = recordedExchange("news-turn-later");
  auto controlNode = unknownNode();
  json items = json::array();
  membership::VersionVectorEntries entries;
  for (int i = 0; i < 20; ++i) {
    const auto id = "10.0.7." + std::to_string(i);
    items.push_back({"n", id, "z", 0, 1, 7, id + "/7", 1});
    entries[membership::SourceId(id + "/7")] = 1;
  }
  controlNode.registry.merge(items, entries, SimulatedNode::kNow);
  auto earlierPull = exchange.request;
  earlierPull["f"] = "10.0.3.1";
  controlNode.serve(earlierPull);
  EXPECT_EQ(controlNode.serve(exchange.request), exchange.response);
}

TEST(GossipMessageContent, RangeDigestsAreTheRecordedOnes) {
  const auto exchange = recordedExchange("news-range-digests");
  SimulatedNode controlNode(NodeId("10.0.1.2"), true, Incarnation{1001}, {});
  const json other = {{"n", "10.0.1.1", "z", 1, 1, 1000, "10.0.1.1/1000", 1}};
  controlNode.registry.merge(other, {}, SimulatedNode::kNow);
  EXPECT_EQ(json(controlNode.registry.rangeDigests()), exchange.response.at("r"));
}

TEST(GossipMessageContent, DifferingRangesAreRepaired) {
  const auto exchange = recordedExchange("news-mend-ranges");
  SimulatedNode controlNode(NodeId("10.0.1.2"), true, Incarnation{1001}, {});
  // The vector that this node keeps of the puller.
  json firstPull = exchange.request;
  firstPull.erase("m");
  firstPull.erase("i");
  firstPull["a"] = 1;
  firstPull["v"] = {{"10.0.1.1/1000", 2}, {"10.0.1.2/1001", 1}};
  firstPull["w"] = 0;
  ASSERT_FALSE(controlNode.serve(firstPull).contains("q")) << "the hash over a vector has changed";
  const auto response = controlNode.serve(exchange.request);
  EXPECT_EQ(asSet(response.at("i")), asSet(exchange.response.at("i")));
  EXPECT_TRUE(controlNode.registry.findInstance(InstanceId("i1")));
}

TEST(GossipMessageContent, RetiredIncarnationsAreRemovedFromTheVector) {
  const auto exchange = recordedExchange("news-struck-lives");
  auto controlNode = unknownNode();
  json firstPull = exchange.request;
  firstPull.erase("x");
  firstPull["a"] = 1;
  firstPull["w"] = 0;
  firstPull["v"] = {{"10.0.1.1/1000", 3}, {"10.0.1.2/1001", 1}, {"10.0.1.3/1002", 1}};
  firstPull["d"] = hashOfVector(firstPull.at("v"));
  ASSERT_FALSE(controlNode.serve(firstPull).contains("q"));
  auto pull = exchange.request;
  pull["w"] = 0;
  EXPECT_FALSE(controlNode.serve(pull).contains("q"))
      << "the vector without that life is the puller's";
}

// Which nodes are pulled from once the first has answered so.
std::set<NodeId> pulledNodesAfter(const json& response) {
  SimulatedNode sidecar(kSidecar, false, Incarnation{584672244}, {kVoter, kSecond, kThird});
  sidecar.service->tick();
  sidecar.sentMessages.at(0).respond(recordedExchange("news-greeting").response);
  sidecar.sentMessages.at(1).respond(response);
  // Neighbours are contacted one after the other.
  for (int i = 0; i < 4; ++i) sidecar.advance(std::chrono::milliseconds(500));
  std::set<NodeId> out;
  for (const auto& message : sidecar.sentMessages) {
    if (message.body.contains("s")) out.insert(message.recipient);
  }
  return out;
}

TEST(GossipMessageContent, ControlNodeWithoutQuorumContactIsReplacedByAnother) {
  auto response = recordedExchange("news-out-of-touch").response;
  ASSERT_TRUE(response.contains("u"));
  const auto outOfTouch = pulledNodesAfter(response);
  response.erase("u");
  EXPECT_GT(outOfTouch.size(), pulledNodesAfter(response).size());
}

TEST(GossipMessageContent, ControlNodeWithoutQuorumContactReportsIt) {
  const auto recorded = recordedExchange("news-out-of-touch").response;
  auto controlNode = unknownNode();
  controlNode.committedValue.voters = {kVoter, kSecond, kThird};
  controlNode.service->tick();
  controlNode.advance(std::chrono::seconds(4));
  const auto response = controlNode.serve(recordedExchange("news-first-contact-of-core").request);
  ASSERT_TRUE(response.contains("u"));
  EXPECT_EQ(response.at("u"), recorded.at("u"));
}

TEST(GossipMessageContent, PullCarriesTheIdOfTheCachedText) {
  const auto recorded = recordedExchange("news-delta-server").request;
  SimulatedNode controlNode(kFourth, true, Incarnation{584888803}, {kVoter});
  controlNode.committedValue.sequence = 11;
  controlNode.committedValue.config = textWithId(recorded.at("t").get<std::uint64_t>());
  controlNode.committedValue.configRevision = Revision{16};
  controlNode.service->tick();
  ASSERT_FALSE(controlNode.sentMessages.empty());
  EXPECT_EQ(controlNode.sentMessages[0].body.at("t"), recorded.at("t"));
  EXPECT_EQ(controlNode.sentMessages[0].body.at("s"), recorded.at("s"));
}

TEST(GossipMessageContent, TextIsSentAsADeltaOnTheCachedOne) {
  const auto exchange = recordedExchange("news-value-delta");
  auto controlNode = unknownNode();
  controlNode.textCache = cacheForDecoding(exchange.response.at("c"));
  controlNode.committedValue =
      consensus::valueFromJson(exchange.response.at("c"), &controlNode.textCache);
  auto pull = exchange.request;
  pull["a"] = 1;  // else this one would ask for the complete vector first
  pull["d"] = hashOfVector(pull.at("v"));
  pull["w"] = 0;
  EXPECT_EQ(controlNode.serve(pull).at("c"), exchange.response.at("c"));
}

TEST(GossipMessageContent, LongPollTimeoutReturnsTheRangeDigests) {
  const auto exchange = recordedExchange("news-range-digests");
  SimulatedNode controlNode(NodeId("10.0.1.2"), true, Incarnation{1001}, {});
  const json other = {{"n", "10.0.1.1", "z", 1, 1, 1000, "10.0.1.1/1000", 1}};
  controlNode.registry.merge(other, {}, SimulatedNode::kNow);
  json pull = exchange.request;
  pull["a"] = 1;
  pull["v"] = {{"10.0.1.1/1000", 2}, {"10.0.1.2/1001", 1}};
  json response;
  controlNode.service->handlePull(
      pull, [&response](const std::string& text) { response = json::parse(text); });
  ASSERT_TRUE(response.is_null()) << "there is nothing new to tell";
  controlNode.advance(std::chrono::seconds(1));
  ASSERT_TRUE(response.is_object());
  EXPECT_EQ(response.value("r", json()), exchange.response.at("r"));
}

TEST(GossipMessageContent, DifferingRangesAreSentWithTheNextPull) {
  SimulatedNode controlNode(NodeId("10.0.1.1"), true, Incarnation{1000}, {NodeId("10.0.1.2")});
  controlNode.registry.merge(recordedExchange("news-mend-ranges").request.at("i"), {},
                             SimulatedNode::kNow);
  controlNode.service->tick();
  ASSERT_EQ(controlNode.sentMessages.size(), 1U);
  controlNode.sentMessages[0].respond(recordedExchange("news-range-digests").response);
  ASSERT_EQ(controlNode.sentMessages.size(), 2U);
  const auto& pull = controlNode.sentMessages[1].body;
  ASSERT_TRUE(pull.contains("m"));
  ASSERT_TRUE(pull.contains("i"));
  EXPECT_TRUE(std::any_of(pull.at("i").begin(), pull.at("i").end(),
                          [](const auto& item) { return item.at(1) == "i1"; }));
}

TEST(GossipMessageContent, QuorumEvidenceIsExchangedInMilliseconds) {
  const auto exchange = recordedExchange("news-evidence-of-voter");
  SimulatedNode controlNode(kSecond, true, Incarnation{584671080}, {kVoter, kSecond});
  controlNode.committedValue.voters = {kVoter, kSecond};
  controlNode.service->tick();
  ASSERT_FALSE(controlNode.sentMessages.empty());
  ASSERT_EQ(controlNode.sentMessages[0].recipient, kVoter);
  EXPECT_FALSE(controlNode.service->hasQuorumLease());
  controlNode.sentMessages[0].respond(exchange.response);
  EXPECT_TRUE(controlNode.service->hasQuorumLease()) << "\"y\" is a contact with a voter";
}

}  // namespace
}  // namespace merlingauge::test
