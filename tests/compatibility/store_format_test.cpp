// store_format_test.cpp: the store that version 0.1.0 wrote is read, and written again unchanged.
#include "compatibility/voter_store.hpp"
#include "control/config_change.hpp"

namespace merlingauge::test {
namespace {

using config::ChangeHistory;
using consensus::Ballot;
using nlohmann::json;
using storage::StateDatabase;
using storage::StoredState;
using StoreFormat = VoterStore;

TEST_F(StoreFormat, OpensAndHoldsOneCompleteRecord) {
  const auto loaded = load();
  EXPECT_EQ(json::parse(loaded.head).at("value").at("n"), 7);
  EXPECT_EQ(loaded.configText, readFixture(kFixtures / "configurations" / "revision-7.json"));
}

TEST_F(StoreFormat, RestoresTheValue) {
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
  EXPECT_EQ(value.config->text(), readFixture(kFixtures / "configurations" / "revision-7.json"));
}

TEST_F(StoreFormat, RestoresTheChangeHistory) {
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

TEST_F(StoreFormat, RecognizesARetriedChangeByItsDigest) {
  const auto acceptor = restore();
  const auto text = readFixture(kFixtures / "configurations" / "revision-7.json");
  const auto again = control::changeDigest(control::ConfigChange::Kind::replace, "4", text);
  EXPECT_EQ(acceptor.value().history->outcomeOf(Revision{4}, again),
            ChangeHistory::Outcome::committed);
}

TEST_F(StoreFormat, RestoresIncarnationAndAcceptedBallot) {
  const auto acceptor = restore();
  EXPECT_EQ(acceptor.incarnation(), Incarnation{1380714384687U});
  EXPECT_TRUE(acceptor.recovered());
  EXPECT_EQ(acceptor.acceptedBallot(), (Ballot{4, NodeId("127.144.0.1#8419326541907407956")}));
}

TEST_F(StoreFormat, KeepsThePromisedBallot) {
  auto acceptor = restore();
  const auto out = acceptor.handle(prepare(3));
  EXPECT_FALSE(out.reply.granted) << "a lower ballot than the one promised must be refused";
  EXPECT_EQ(out.reply.promisedBallot, (Ballot{4, NodeId("127.144.0.1#8419326541907407956")}));
  EXPECT_TRUE(acceptor.handle(prepare(5)).reply.granted);
}

TEST_F(StoreFormat, RestoresTheIncarnationsOfOtherVoters) {
  auto acceptor = restore();
  const auto reply = acceptor.handle(prepare(5)).reply;
  EXPECT_EQ(reply.incarnations,
            (std::map<NodeId, Incarnation>{{kFourth, Incarnation{2994482393030U}}}));
  EXPECT_FALSE(reply.valueRecovered);
}

TEST_F(StoreFormat, IsEncodedAgainByteForByte) {
  const auto loaded = load();
  const auto saved = consensus::encodeState(restore().state());
  EXPECT_EQ(saved.head, loaded.head);
  ASSERT_TRUE(saved.configText);
  EXPECT_EQ(saved.configText->text(), loaded.configText);
}

TEST_F(StoreFormat, IsCommittedToAndLoadedAgain) {
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

}  // namespace
}  // namespace merlingauge::test
