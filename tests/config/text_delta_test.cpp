// Deltas between texts: the exact form that travels between nodes, and malformed ones.
#include "config/text_delta.hpp"

#include <gtest/gtest.h>

#include "config/config_text.hpp"
#include "config/text_packing.hpp"

namespace merlingauge::config {
namespace {

constexpr const char* kBase = R"([{"a":1},{"b":2},{"c":3}])";

TEST(TextDelta, TakesUnchangedItemsFromTheBase) {
  EXPECT_EQ(makeDelta(kBase, R"([{"a":1},{"x":9},{"b":2},{"c":3}])"), R"(=0,9;+8:{"x":9},=9,16;)");
  EXPECT_EQ(makeDelta(kBase, R"([{"a":1},{"c":3}])"), "=0,9;=17,8;");
  EXPECT_EQ(makeDelta(kBase, kBase), "=0,25;");
  EXPECT_EQ(makeDelta(kBase, ""), "");
  EXPECT_EQ(makeDelta("", "abc"), "+3:abc");
}

TEST(TextDelta, GivesTheTextAgain) {
  const std::string text = R"([{"c":3},{"x":9},{"a":1},{"b":2}])";
  EXPECT_EQ(applyDelta(kBase, makeDelta(kBase, text)), text);
  EXPECT_EQ(applyDelta(kBase, ""), "");
}

TEST(TextDelta, MalformedOnesAreRefused) {
  for (const char* delta : {"x", "=", "=0", "=0,", "=0,1", "=0,26;", "=26,0;", "=9,17;", "=-1,1;",
                            "=99999999999999999999,1;", "+", "+1", "+2:a", "+:a", "=0,1;?"}) {
    EXPECT_FALSE(applyDelta(kBase, delta)) << delta;
  }
  EXPECT_EQ(applyDelta(kBase, "=25,0;"), "");
}

TEST(TextDelta, OfMoreThanAnyConfigurationIsRefused) {
  const std::string base(1U << 20, 'x');
  std::string delta;
  for (int repeat = 0; repeat < 65; ++repeat) delta += "=0,1048576;";
  EXPECT_FALSE(applyDelta(base, delta));
}

TEST(TextPacking, GivesTheTextAgain) {
  const std::string text(100000, 'x');
  const auto packed = packText(text);
  EXPECT_LT(packed.size(), text.size() / 50);
  EXPECT_EQ(unpackText(packed), text);
}

// Damaged bytes may give some other text: the id tells.
TEST(TextPacking, DamageIsNoticedByTheId) {
  const auto text = ConfigText::create(std::string(100000, 'x'));
  const auto again = ConfigText::fromPacked(text->packed(), text->id());
  ASSERT_TRUE(again);
  EXPECT_EQ(again->text(), text->text());
  EXPECT_FALSE(ConfigText::fromPacked("no such thing", text->id()));
  EXPECT_FALSE(ConfigText::fromPacked(text->packed().substr(0, 40), text->id()));
  EXPECT_FALSE(ConfigText::fromPacked(text->packed(), text->id() + 2));
}

}  // namespace
}  // namespace merlingauge::config
