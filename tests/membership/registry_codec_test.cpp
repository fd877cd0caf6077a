// registry_codec_test: the bytes of items, and what becomes of malformed ones.
#include "membership/registry_codec.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

#include "base/decode_error.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::membership {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const char* const kInstanceItem =
    R"(["s","i1","echo","10.0.0.9:80","z1",3,1,42,5,3,7,"10.0.0.1","10.0.0.1/8",99,1500])";
const char* const kNodeItem = R"(["n","10.0.0.1","z1",13,4,8,"10.0.0.1/8",100])";

/// The field of the DecodeError that `decode` throws; empty where it throws none.
std::string failingField(const std::function<void()>& decode) {
  try {
    decode();
  } catch (const DecodeError& error) {
    return error.field();
  }
  return {};
}

TEST(RegistryCodec, InstanceItemKeepsItsBytes) {
  const auto item = json::parse(kInstanceItem);
  EXPECT_EQ(kindOf(item), ItemKind::instance);
  const auto update = decodeInstance(item);
  EXPECT_EQ(update.instance.id.str(), "i1");
  EXPECT_EQ(update.instance.service.str(), "echo");
  EXPECT_EQ(update.instance.address, "10.0.0.9:80");
  EXPECT_EQ(update.instance.zone.str(), "z1");
  EXPECT_EQ(update.instance.capacity, 3);
  EXPECT_EQ(update.instance.status, Instance::Status::draining);
  EXPECT_EQ(update.instance.sequence, 42U);
  EXPECT_EQ(update.instance.reporterEdit, 5U);
  EXPECT_TRUE(update.instance.warmingUp);
  EXPECT_TRUE(update.instance.unresponsive);
  EXPECT_EQ(update.instance.failingTenths, 7);
  EXPECT_EQ(update.instance.reporter.str(), "10.0.0.1");
  EXPECT_EQ(update.dot.source.str(), "10.0.0.1/8");
  EXPECT_EQ(update.dot.counter, 99U);
  EXPECT_EQ(update.closedFor, milliseconds(1500));
  std::string text;
  appendWithAge(encodeInstanceWithoutAge(update.instance, update.dot), update.closedFor, text);
  EXPECT_EQ(text, kInstanceItem);
}

TEST(RegistryCodec, NodeItemKeepsItsBytes) {
  const auto item = json::parse(kNodeItem);
  EXPECT_EQ(kindOf(item), ItemKind::node);
  const auto update = decodeNode(item);
  EXPECT_EQ(update.info.id.str(), "10.0.0.1");
  EXPECT_EQ(update.info.zone.str(), "z1");
  EXPECT_TRUE(update.info.isControlNode);
  EXPECT_FALSE(update.info.shuttingDown);
  EXPECT_TRUE(update.info.unresponsive);
  EXPECT_TRUE(update.info.recovered);
  EXPECT_EQ(update.info.infoVersion, 4U);
  EXPECT_EQ(update.info.incarnation.value, 8U);
  EXPECT_EQ(update.dot.source.str(), "10.0.0.1/8");
  EXPECT_EQ(update.dot.counter, 100U);
  EXPECT_EQ(encodeNode(update.info, update.dot), kNodeItem);
}

TEST(RegistryCodec, MissingElementIsNamed) {
  const auto whole = json::parse(kInstanceItem);
  for (std::size_t size = 1; size < whole.size(); ++size) {
    const json item(json::array_t(whole.begin(), whole.begin() + static_cast<long>(size)));
    EXPECT_NE(failingField([&] { decodeInstance(item); }), "") << size;
  }
  EXPECT_EQ(failingField([] { decodeInstance(json::parse(R"(["s","i1"])")); }), "instance.service");
  EXPECT_EQ(failingField([] { decodeNode(json::parse(R"(["n","a","z",0])")); }),
            "node.infoVersion");
}

TEST(RegistryCodec, ElementOfAnotherTypeIsNamed) {
  auto item = json::parse(kInstanceItem);
  item[7] = "forty-two";
  EXPECT_EQ(failingField([&] { decodeInstance(item); }), "instance.sequence");
  item[7] = 42;
  item[6] = 3;
  EXPECT_EQ(failingField([&] { decodeInstance(item); }), "instance.status");
  EXPECT_EQ(failingField([] { kindOf(json::object()); }), "item.kind");
  EXPECT_EQ(failingField([] { kindOf(json::array()); }), "item.kind");
  EXPECT_EQ(failingField([] { entriesFromJson(json{{"10.0.0.1/8", "x"}}); }), "10.0.0.1/8");
}

TEST(RegistryCodec, VersionVectorEntriesKeepTheirBytes) {
  const VersionVectorEntries entries = {{SourceId("a/1"), 7}, {SourceId("b/2"), 9}};
  EXPECT_EQ(toJson(entries).dump(), R"({"a/1":7,"b/2":9})");
  EXPECT_EQ(entriesFromJson(toJson(entries)), entries);
}

class MergeTest : public testing::Test {
 protected:
  InstanceRegistry registry_{
      NodeInfo{NodeId("10.0.0.2"), ZoneName("z1"), false, false, false, 0, Incarnation{}},
      Incarnation{1}};
  TimePoint now_{std::chrono::seconds(100)};
};

TEST_F(MergeTest, ItemsBeforeAMalformedOneAreJoinedAndTheVectorIsNot) {
  const auto items = json::array(
      {json::parse(kInstanceItem), json::parse(R"(["s","i2"])"), json::parse(kNodeItem)});
  const VersionVectorEntries seenByPeer = {{SourceId("10.0.0.1/8"), 100}};
  EXPECT_EQ(failingField([&] { registry_.merge(items, seenByPeer, now_); }), "instance.service");
  EXPECT_TRUE(registry_.findInstance(InstanceId("i1")).has_value());
  EXPECT_FALSE(registry_.findInstance(InstanceId("i2")).has_value());
  EXPECT_FALSE(registry_.nodes().contains(NodeId("10.0.0.1")));
  EXPECT_EQ(registry_.versionVector().counterOf(SourceId("10.0.0.1/8")), 0U);
}

TEST_F(MergeTest, ItemOfAnUnknownKindIsSkipped) {
  const auto items = json::array({json::parse(R"(["later",{"x":1}])"), json::parse(kInstanceItem)});
  EXPECT_TRUE(registry_.merge(items, {}, now_));
  EXPECT_TRUE(registry_.findInstance(InstanceId("i1")).has_value());
}

TEST_F(MergeTest, DigestIsThatOfItsRangesAlsoWithAnEmptyId) {
  auto item = json::parse(kInstanceItem);
  item[1] = "";
  item[9] = 0;
  for (const int sequence : {42, 43, 44}) {
    item[7] = sequence;
    EXPECT_TRUE(registry_.merge(json::array({item}), {}, now_));
  }
  std::uint64_t digest = 0;
  for (const auto range : registry_.rangeDigests()) digest ^= range;
  EXPECT_EQ(registry_.digest(), digest);
}

}  // namespace
}  // namespace merlingauge::membership
