// pull_messages_test: the pull protocol's JSON, read and written, and what malformed messages
// cause.
#include "gossip/pull_messages.hpp"

#include <gtest/gtest.h>

#include "base/decode_error.hpp"

namespace merlingauge::gossip {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string failingField(const json& message) {
  try {
    requestFromJson(message);
  } catch (const DecodeError& error) {
    return error.field();
  }
  return "";
}

TEST(PullMessages, RequestIsWrittenAsItWasRead) {
  const auto message = json::parse(
      R"({"a":1,"b":2,"c":1,"d":7,"f":"10.0.0.1","h":8,"i":[],"m":5,"s":3,"t":9,"v":{"x/1":4},)"
      R"("w":1000,"x":["y/2"]})");
  const auto request = requestFromJson(message);
  const auto& pull = std::get<PullRequest>(request);
  EXPECT_EQ(pull.pullBack, PullBack::lowFrequency);
  EXPECT_EQ(pull.holdTime, milliseconds(1000));
  EXPECT_EQ(toJson(pull), message);
}

TEST(PullMessages, ProbeAndDiscoveryAreToldApartFromPulls) {
  EXPECT_TRUE(std::holds_alternative<ProbeRequest>(
      requestFromJson(toJson(ProbeRequest{NodeId("10.0.0.1")}))));
  EXPECT_TRUE(std::holds_alternative<DiscoveryRequest>(
      requestFromJson(toJson(DiscoveryRequest{NodeId("10.0.0.1")}))));
}

TEST(PullMessages, HoldTimeIsLimited) {
  const auto request =
      requestFromJson(json::parse(R"({"f":"x","s":0,"w":99999999999,"d":0,"h":0})"));
  EXPECT_EQ(std::get<PullRequest>(request).holdTime, PullRequest::kLongestHold);
}

TEST(PullMessages, DecodeErrorNamesTheField) {
  EXPECT_EQ(failingField(json::parse(R"({"f":"x","s":0,"w":"soon","d":0,"h":0})")), "w");
  EXPECT_EQ(failingField(json::parse(R"({"f":"x","s":0,"w":0,"d":0})")), "h");
  EXPECT_EQ(failingField(json::parse(R"([1,2])")), "f");
}

TEST(PullMessages, ResponseIsReadAsItWasWritten) {
  PullResponseWriter writer;
  writer.addItems("[]");
  writer.addVectorChanges({{membership::SourceId("x/1"), 4}});
  writer.addRangeDigests({1, 2});
  writer.addValue("{}");
  writer.addStaleness({std::chrono::microseconds(1500), milliseconds(-2), true});
  const auto text = writer.finish();
  EXPECT_EQ(text,
            R"({"i":[],"v":{"x/1":4},"r":[1,2,0,0,0,0,0,0,0,0,0,0,0,0,0,0],"c":{},"e":2,"y":-2,)"
            R"("u":1})");
  const auto response = responseFromJson(json::parse(text));
  EXPECT_TRUE(response.items && response.value);
  EXPECT_EQ(response.vectorChanges.at(membership::SourceId("x/1")), 4U);
  EXPECT_EQ(response.rangeDigests->at(1), 2U);
  EXPECT_EQ(response.staleness.knownUpToAge, milliseconds(2));  // never younger than it was
  EXPECT_EQ(response.staleness.acceptedAsOfAge, milliseconds(-2));
  EXPECT_TRUE(response.staleness.outOfQuorum);
}

TEST(PullMessages, ResponsesThatCannotBeUnderstoodAreDecodeErrors) {
  EXPECT_THROW(responseFromJson(json::array()), DecodeError);
  EXPECT_THROW(responseFromJson(json::parse(R"({"r":[1]})")), DecodeError);
  EXPECT_THROW(responseFromJson(json::parse(R"({"l":"later"})")), DecodeError);
  EXPECT_THROW(discoveryResponseFromJson(json::parse(R"({"c":[["10.0.0.1"]]})")), DecodeError);
}

}  // namespace
}  // namespace merlingauge::gossip
