// register_service_test.cpp: a register of one voter on a real disk: first start, changes, restart,
// and a lost disk.
#include "control/register_service.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace merlingauge::control {
namespace {

using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterRequest;
using consensus::RegisterValue;

constexpr std::size_t kStoreBytes = 8U << 20;
constexpr Duration kProposalLimit = std::chrono::seconds(5);
constexpr Duration kTestLimit = std::chrono::seconds(10);
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
const NodeId kSelf("127.0.0.1");

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "register_XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

class RecordingObserver : public RegisterObserver {
 public:
  void onCommitted(const RegisterValue& value) override { sequences.push_back(value.sequence); }
  std::vector<std::uint64_t> sequences;
};

// One life of a node: its loop, its disk and its register service.
struct TestNode {
  explicit TestNode(const std::string& directory, bool bootstrap = true)
      : store(loop, directory + "/register", kStoreBytes),
        service(loop, rpc, &store, stalenessBound, observer, {kSelf, 1, bootstrap, {kSelf}}, 1) {}

  // Runs the loop until `finish` is called by what was started, or the limit has passed.
  void runUntil(const std::function<void(std::function<void()> finish)>& start) {
    bool finished = false;
    start([this, &finished] {
      finished = true;
      loop.stop();
    });
    if (finished) return;
    const auto timer = loop.after(kTestLimit, [this] { loop.stop(); });
    loop.run();
    loop.cancel(timer);
    EXPECT_TRUE(finished);
  }

  Proposer::Result propose(const Proposer::ChangeFunction& change) {
    Proposer::Result outcome;
    runUntil([&](const std::function<void()>& finish) {
      service.propose(change, kProposalLimit, [&outcome, finish](const Proposer::Result& result) {
        outcome = result;
        finish();
      });
    });
    return outcome;
  }

  Proposer::Result write(const std::string& text, int revision) {
    return propose([text, revision](const RegisterValue&, RegisterValue& next) {
      next.config = config::ConfigText::create(text);
      next.configRevision = Revision{revision};
      next.history = nullptr;
      Proposer::Decision decision;
      decision.kind = Proposer::Decision::Kind::write;
      return decision;
    });
  }

  Proposer::Result read() {
    Proposer::Result outcome;
    runUntil([&](const std::function<void()>& finish) {
      service.read(kProposalLimit, [&outcome, finish](const Proposer::Result& result) {
        outcome = result;
        finish();
      });
    });
    return outcome;
  }

  // Ticks the service until `done`.
  void tickUntil(const std::function<bool()>& done) {
    std::function<void()> tick;
    runUntil([&](const std::function<void()>& finish) {
      tick = [this, &tick, &done, finish] {
        service.tick();
        loop.after(kTickInterval, done() ? finish : tick);
      };
      tick();
    });
  }

  std::optional<RegisterReply> request(const RegisterRequest& request) {
    std::optional<RegisterReply> answer;
    runUntil([&](const std::function<void()>& finish) {
      service.handleRequest(request, [&answer, finish](std::optional<RegisterReply> reply) {
        answer = std::move(reply);
        finish();
      });
    });
    return answer;
  }

  event::EventLoop loop;
  rpc::PeerRpc rpc{loop, 1};  // never used: the only voter is this node
  consensus::StalenessBound stalenessBound;
  RecordingObserver observer;
  storage::DurableStore store;
  RegisterService service;
};

TEST(RegisterService, FirstStartMayVoteAtOnce) {
  const TemporaryDirectory directory;
  const TestNode node(directory.path());
  EXPECT_TRUE(node.service.recovered());
  EXPECT_TRUE(node.service.isVoter());
  EXPECT_FALSE(node.service.hasPendingWork());
}

TEST(RegisterService, EmptyDiskLaterMustRecover) {
  const TemporaryDirectory directory;
  TestNode node(directory.path(), false);
  EXPECT_FALSE(node.service.recovered());
  EXPECT_FALSE(node.service.ownAcceptedAsOf().has_value());
  RegisterRequest prepare;
  prepare.sender = NodeId("10.0.0.2");
  prepare.ballot = {1, NodeId("10.0.0.2#1")};
  const auto reply = node.request(prepare);
  ASSERT_TRUE(reply.has_value());
  EXPECT_FALSE(reply->granted);
  EXPECT_TRUE(reply->recovering);
}

TEST(RegisterService, ChangeIsLearnedBeforeItsCallerHears) {
  const TemporaryDirectory directory;
  TestNode node(directory.path());
  const auto result = node.write("one", 1);
  EXPECT_TRUE(result.succeeded);
  EXPECT_EQ(node.service.committedValue().revision(), Revision{1});
  EXPECT_EQ(node.observer.sequences, std::vector<std::uint64_t>{1});
  EXPECT_TRUE(node.service.ownAcceptedAsOf().has_value());
  EXPECT_FALSE(node.service.hasPendingWork());
}

TEST(RegisterService, RestartShowsNothingBeforeAQuorumRead) {
  const TemporaryDirectory directory;
  {
    TestNode node(directory.path());
    node.write("one", 1);
  }
  TestNode node(directory.path(), false);
  EXPECT_TRUE(node.service.recovered());
  EXPECT_EQ(node.service.committedValue().sequence, 0U);
  EXPECT_TRUE(node.service.hasPendingWork());
  const auto result = node.read();
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->config->text(), "one");
  EXPECT_EQ(node.service.committedValue().sequence, 1U);
}

TEST(RegisterService, RestartRepairsByItself) {
  const TemporaryDirectory directory;
  {
    TestNode node(directory.path());
    node.write("one", 1);
  }
  TestNode node(directory.path(), false);
  node.tickUntil([&node] { return !node.observer.sequences.empty(); });
  EXPECT_EQ(node.service.committedValue().revision(), Revision{1});
  EXPECT_EQ(node.observer.sequences, std::vector<std::uint64_t>{1});
}

TEST(RegisterService, AbandonedVoterChangeIsFinished) {
  const TemporaryDirectory directory;
  TestNode node(directory.path());
  const auto firstValue = node.propose([](const RegisterValue& current, RegisterValue& next) {
    next.epoch = current.epoch + 1;
    next.previousVoters = current.voters;
    Proposer::Decision decision;
    decision.kind = Proposer::Decision::Kind::write;
    return decision;
  });
  ASSERT_TRUE(firstValue.succeeded);
  EXPECT_TRUE(node.service.hasPendingWork());
  node.tickUntil([&node] { return !node.service.hasPendingWork(); });
  EXPECT_EQ(node.service.committedValue().epoch, 2U);
  EXPECT_EQ(node.service.committedValue().voters, std::vector<NodeId>{kSelf});
  EXPECT_TRUE(node.service.committedValue().previousVoters.empty());
}

TEST(RegisterService, TextLargerThanTheDiskTakesIsNotAccepted) {
  const TemporaryDirectory directory;
  TestNode node(directory.path());
  RegisterRequest accept;
  accept.kind = RegisterRequest::Kind::accept;
  accept.sender = NodeId("10.0.0.2");
  accept.ballot = {1, NodeId("10.0.0.2#1")};
  accept.value.sequence = 1;
  accept.value.config = config::ConfigText::create(std::string(node.store.maxTextBytes() + 1, 'x'));
  EXPECT_FALSE(node.request(accept).has_value());
  EXPECT_FALSE(node.service.hasPendingWork());
  EXPECT_FALSE(node.service.storageFailing());
}

TEST(RegisterService, ANodeWithoutADiskAnswersNoRequest) {
  event::EventLoop loop;
  rpc::PeerRpc rpc(loop, 1);
  consensus::StalenessBound stalenessBound;
  RecordingObserver observer;
  RegisterService service(loop, rpc, nullptr, stalenessBound, observer, {kSelf, 1, false, {}}, 1);
  bool answered = false;
  service.handleRequest({}, [&answered](const std::optional<RegisterReply>& reply) {
    answered = true;
    EXPECT_FALSE(reply.has_value());
  });
  EXPECT_TRUE(answered);
  EXPECT_FALSE(service.isVoter());
  service.tick();
}

TEST(RegisterService, LearnKeepsTheNewestAndCompletesItsHistory) {
  event::EventLoop loop;
  rpc::PeerRpc rpc(loop, 1);
  consensus::StalenessBound stalenessBound;
  RecordingObserver observer;
  RegisterService service(loop, rpc, nullptr, stalenessBound, observer, {kSelf, 1, false, {}}, 1);
  RegisterValue value;
  value.sequence = 2;
  value.uniqueId = "two";
  service.learn(value);
  value.history = std::make_shared<config::ChangeHistory>(Revision{0});
  service.learn(value);
  EXPECT_EQ(service.committedValue().history, value.history);
  value.sequence = 1;
  value.uniqueId = "one";
  service.learn(value);
  EXPECT_EQ(service.committedValue().sequence, 2U);
  EXPECT_EQ(observer.sequences, std::vector<std::uint64_t>{2});
}

}  // namespace
}  // namespace merlingauge::control
