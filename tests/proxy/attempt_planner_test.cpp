// attempt_planner_test.cpp: where one request goes after each outcome of an attempt.
#include "proxy/attempt_planner.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace merlingauge::test {
namespace {

using proxy::AttemptOutcome;
using proxy::AttemptPlanner;
using proxy::Candidate;
using proxy::PlannedAction;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr TimePoint kDeadline = kStart + std::chrono::seconds(2);

class FixedCandidates : public proxy::CandidateSource {
 public:
  explicit FixedCandidates(int count) {
    for (int i = 0; i < count; ++i) ids_.emplace_back("i" + std::to_string(i));
    for (const auto& id : ids_) list_.push_back({&id, nullptr, 0, 0, 4, true});
  }
  const std::vector<Candidate>& candidates(const ServiceName&, bool nonIdempotent,
                                           TimePoint) override {
    askedNonIdempotent = nonIdempotent;
    return list_;
  }
  bool askedNonIdempotent = false;

 private:
  std::vector<InstanceId> ids_;
  std::vector<Candidate> list_;
};

class AttemptPlannerTest : public testing::Test {
 protected:
  AttemptPlanner& plan(bool idempotent, int maxAttempts, int instances = 3) {
    candidates_ = std::make_unique<FixedCandidates>(instances);
    proxy::RequestPolicy policy;
    policy.service = ServiceName("echo");
    policy.idempotent = idempotent;
    policy.maxAttempts = maxAttempts;
    policy.deadline = kDeadline;
    planner_ = std::make_unique<AttemptPlanner>(policy, *candidates_, picker_, budget_);
    return *planner_;
  }
  static void expectError(const PlannedAction& action, ErrorKind error) {
    EXPECT_EQ(action.kind, PlannedAction::Kind::respond);
    EXPECT_EQ(action.error, error);
  }

  std::unique_ptr<FixedCandidates> candidates_;
  proxy::DAdaptivePicker picker_{1};
  proxy::RetryBudget budget_{{0.2, 60, std::chrono::seconds(10)}};
  std::unique_ptr<AttemptPlanner> planner_;
};

TEST_F(AttemptPlannerTest, NonIdempotentThatMayBeExecutedGoesToNobodyElse) {
  auto& planner = plan(false, 3);
  const auto first = planner.start(kStart);
  ASSERT_EQ(first.kind, PlannedAction::Kind::send);
  EXPECT_TRUE(candidates_->askedNonIdempotent);
  expectError(planner.onAttemptEnded(*first.candidate.id, AttemptOutcome::maybeExecuted, kStart),
              ErrorKind::possiblyExecuted);
}

TEST_F(AttemptPlannerTest, NonIdempotentGoesOnAfterAProofThatItWasNotExecuted) {
  for (const auto outcome : {AttemptOutcome::overloaded, AttemptOutcome::unavailable,
                             AttemptOutcome::unreachable, AttemptOutcome::notExecuted}) {
    auto& planner = plan(false, 3);
    const auto first = planner.start(kStart);
    const auto second = planner.onAttemptEnded(*first.candidate.id, outcome, kStart);
    ASSERT_EQ(second.kind, PlannedAction::Kind::send);
    EXPECT_NE(*second.candidate.id, *first.candidate.id);
  }
}

TEST_F(AttemptPlannerTest, NoPromiseOnceAnAttemptMayBeExecuted) {
  auto& planner = plan(true, 2);
  const auto first = planner.start(kStart);
  const auto second =
      planner.onAttemptEnded(*first.candidate.id, AttemptOutcome::maybeExecuted, kStart);
  ASSERT_EQ(second.kind, PlannedAction::Kind::send);
  EXPECT_EQ(planner.errorAtDeadline(false), ErrorKind::deadlineExceeded);
  expectError(planner.onAttemptEnded(*second.candidate.id, AttemptOutcome::notExecuted, kStart),
              ErrorKind::possiblyExecuted);
}

TEST_F(AttemptPlannerTest, ErrorAtDeadlinePromisesOnlyWhereNothingWasSent) {
  auto& planner = plan(true, 2);
  planner.start(kStart);
  EXPECT_EQ(planner.errorAtDeadline(false), ErrorKind::attemptsTimedOut);
  EXPECT_EQ(planner.errorAtDeadline(true), ErrorKind::deadlineExceeded);
}

TEST_F(AttemptPlannerTest, SilenceSendsIdempotentToOneMoreAndWaitsForBoth) {
  auto& planner = plan(true, 2);
  const auto first = planner.start(kStart);
  const auto hedge = planner.onAttemptSilent(*first.candidate.id, kStart);
  ASSERT_EQ(hedge.kind, PlannedAction::Kind::send);
  EXPECT_NE(*hedge.candidate.id, *first.candidate.id);
  EXPECT_EQ(planner.onAttemptSilent(*hedge.candidate.id, kStart).kind, PlannedAction::Kind::wait);
  // The other one is still owed.
  EXPECT_EQ(planner.onAttemptEnded(*hedge.candidate.id, AttemptOutcome::maybeExecuted, kStart).kind,
            PlannedAction::Kind::wait);
}

TEST_F(AttemptPlannerTest, SilenceSendsNonIdempotentNowhere) {
  auto& planner = plan(false, 3);
  const auto first = planner.start(kStart);
  EXPECT_EQ(planner.onAttemptSilent(*first.candidate.id, kStart).kind, PlannedAction::Kind::wait);
}

TEST_F(AttemptPlannerTest, BodyThatIsGoneIsNotSentAgain) {
  auto& planner = plan(true, 3);
  const auto first = planner.start(kStart);
  planner.onBodyDiscarded();
  EXPECT_EQ(planner.onAttemptSilent(*first.candidate.id, kStart).kind, PlannedAction::Kind::wait);
  expectError(planner.onAttemptEnded(*first.candidate.id, AttemptOutcome::unavailable, kStart),
              ErrorKind::noEndpoint);
}

TEST_F(AttemptPlannerTest, AsksTwoForAFreeSlotBeforeOneMayQueueIt) {
  auto& planner = plan(false, 3);
  auto action = planner.start(kStart);
  EXPECT_FALSE(action.mayQueue);
  action = planner.onAttemptEnded(*action.candidate.id, AttemptOutcome::overloaded, kStart);
  EXPECT_FALSE(action.mayQueue);
  action = planner.onAttemptEnded(*action.candidate.id, AttemptOutcome::overloaded, kStart);
  EXPECT_TRUE(action.mayQueue);
  for (int rejected = 0; rejected < 2; ++rejected) {
    action = planner.onAttemptEnded(*action.candidate.id, AttemptOutcome::overloaded, kStart);
    EXPECT_EQ(action.kind, PlannedAction::Kind::send);
  }
  expectError(planner.onAttemptEnded(*action.candidate.id, AttemptOutcome::overloaded, kStart),
              ErrorKind::overloaded);
}

TEST_F(AttemptPlannerTest, NothingToChooseFrom) {
  expectError(plan(true, 2, 0).start(kStart), ErrorKind::noEndpoint);
  expectError(plan(true, 2).start(kDeadline), ErrorKind::attemptsTimedOut);
}

}  // namespace
}  // namespace merlingauge::test
