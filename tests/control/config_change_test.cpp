// config_change_test.cpp: every row of the outcome table of `decideChange`.
#include "control/config_change.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace merlingauge::control {
namespace {

using config::ChangeHistory;
using config::ConfigText;
using consensus::Proposer;
using consensus::RegisterValue;
using nlohmann::json;

constexpr std::size_t kMinVoters = 3;

json configuration(int revision) {
  return {{"revision", revision}, {"route_rules", json::array()}, {"services", json::array()}};
}

ConfigChange replaceChange(int base, int revision) {
  const auto document = configuration(revision);
  const auto body = document.dump();
  ConfigChange change;
  change.kind = ConfigChange::Kind::replace;
  change.baseRevision = Revision{base};
  change.digest = changeDigest(change.kind, std::to_string(base), body);
  change.document = std::make_shared<const json>(document);
  change.text = ConfigText::create(body);
  return change;
}

ConfigChange updateChange(int base, const json& document) {
  ConfigChange change;
  change.kind = ConfigChange::Kind::update;
  change.baseRevision = Revision{base};
  change.digest = changeDigest(change.kind, std::to_string(base), document.dump());
  change.document = std::make_shared<const json>(document);
  return change;
}

RegisterValue emptyRegister() {
  RegisterValue value;
  value.voters = {NodeId("10.0.0.1"), NodeId("10.0.0.2"), NodeId("10.0.0.3")};
  return value;
}

ConfigChangeLimits limits() {
  ConfigChangeLimits result;
  result.minVoters = kMinVoters;
  return result;
}

// The register after the change has been committed on top of `current`.
RegisterValue committed(const ConfigChange& change, const RegisterValue& current) {
  RegisterValue next = current;
  const auto decision = toProposerDecision(decideChange(change, limits(), current), next);
  EXPECT_EQ(decision.kind, Proposer::Decision::Kind::write) << decision.detail;
  return next;
}

// Revisions 10 and 20, in that order.
RegisterValue registerAtTwenty() {
  return committed(replaceChange(10, 20), committed(replaceChange(0, 10), emptyRegister()));
}

void expectRejected(const ChangeDecision& decision, ErrorKind error, const std::string& detail) {
  const auto* const rejected = std::get_if<ChangeRejected>(&decision);
  ASSERT_NE(rejected, nullptr);
  EXPECT_EQ(rejected->error, error);
  EXPECT_EQ(rejected->detail, detail);
}

TEST(ConfigChange, OnTheCurrentRevisionIsApplied) {
  const auto change = replaceChange(20, 30);
  const auto decision = decideChange(change, limits(), registerAtTwenty());
  const auto* const applied = std::get_if<ChangeApplied>(&decision);
  ASSERT_NE(applied, nullptr);
  EXPECT_EQ(applied->config, change.text);
  EXPECT_EQ(applied->revision, Revision{30});
  EXPECT_TRUE(applied->history->contains({Revision{30}, change.digest}));
}

TEST(ConfigChange, SentAgainIsAlreadyCommitted) {
  const auto decision = decideChange(replaceChange(0, 10), limits(), registerAtTwenty());
  EXPECT_TRUE(std::holds_alternative<ChangeAlreadyCommitted>(decision));
}

TEST(ConfigChange, RivalOfACommittedOneConflicts) {
  expectRejected(decideChange(replaceChange(0, 11), limits(), registerAtTwenty()),
                 ErrorKind::versionConflict, "version 20 is in place");
}

TEST(ConfigChange, OnARevisionThatNeverWasConflicts) {
  expectRejected(decideChange(replaceChange(15, 30), limits(), registerAtTwenty()),
                 ErrorKind::versionConflict, "version 20 is in place");
}

TEST(ConfigChange, BelowTheFloorOfTheHistoryIsUnknown) {
  auto current = registerAtTwenty();
  current.history = nullptr;
  expectRejected(decideChange(replaceChange(10, 20), limits(), current),
                 ErrorKind::changeHistoryTruncated, "known from version 20 on");
}

TEST(ConfigChange, AboveTheCurrentRevisionMayStillCome) {
  expectRejected(decideChange(replaceChange(30, 40), limits(), registerAtTwenty()),
                 ErrorKind::baseNotYetCommitted, "version 20 is in place");
}

TEST(ConfigChange, NeedsEnoughVoters) {
  auto current = registerAtTwenty();
  current.voters.pop_back();
  expectRejected(decideChange(replaceChange(20, 30), limits(), current), ErrorKind::tooFewVoters,
                 "2 of 3");
}

TEST(ConfigChange, NeedsEnoughPreviousVotersDuringAVoterChange) {
  auto current = registerAtTwenty();
  current.previousVoters = {NodeId("10.0.0.1")};
  expectRejected(decideChange(replaceChange(20, 30), limits(), current), ErrorKind::tooFewVoters,
                 "3 of 3");
}

TEST(ConfigChange, MustRaiseTheRevision) {
  expectRejected(decideChange(replaceChange(20, 20), limits(), registerAtTwenty()),
                 ErrorKind::invalidConfig, "revision: not above the current one");
}

TEST(ConfigChange, MustFitTheDisk) {
  auto small = limits();
  small.maxTextBytes = 10;
  expectRejected(decideChange(replaceChange(20, 30), small, registerAtTwenty()),
                 ErrorKind::invalidConfig, "larger than the 10 bytes that the disks take");
}

TEST(ConfigChange, UpdateNeedsAConfiguration) {
  expectRejected(decideChange(updateChange(0, {{"revision", 10}}), limits(), emptyRegister()),
                 ErrorKind::invalidConfig, "there is no configuration to change");
}

TEST(ConfigChange, UpdateIsAppliedToTheCurrentText) {
  const json update = {{"revision", 30},
                       {"upserts", {{"services", json::array({{{"name", "shop"}}})}}}};
  const auto next = committed(updateChange(20, update), registerAtTwenty());
  const auto document = json::parse(next.config->text());
  EXPECT_EQ(document["revision"], 30);
  EXPECT_EQ(document["services"].size(), 1U);
}

TEST(ConfigChange, RejectionLeavesTheNextValueAlone) {
  const auto current = registerAtTwenty();
  RegisterValue next = current;
  const auto decision =
      toProposerDecision(decideChange(replaceChange(0, 11), limits(), current), next);
  EXPECT_EQ(decision.kind, Proposer::Decision::Kind::reject);
  EXPECT_EQ(decision.error, ErrorKind::versionConflict);
  EXPECT_EQ(next.config, current.config);
  EXPECT_EQ(next.configRevision, current.configRevision);
}

TEST(ConfigChange, DigestTellsKindBaseAndBodyApart) {
  const auto digest = changeDigest(ConfigChange::Kind::replace, "1", "{}");
  EXPECT_EQ(digest, changeDigest(ConfigChange::Kind::replace, "1", "{}"));
  EXPECT_NE(digest, changeDigest(ConfigChange::Kind::update, "1", "{}"));
  EXPECT_NE(digest, changeDigest(ConfigChange::Kind::replace, "2", "{}"));
  EXPECT_NE(digest, changeDigest(ConfigChange::Kind::replace, "1", "{ }"));
}

}  // namespace
}  // namespace merlingauge::control
