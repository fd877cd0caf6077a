#include "config/config_text.hpp"

#include <utility>

#include "base/hash.hpp"
#include "config/text_delta.hpp"
#include "config/text_packing.hpp"

namespace merlingauge::config {

namespace {
// Part of the id, which nodes compare with each other: it never changes.
constexpr std::uint64_t kIdSeed = 1;
}  // namespace

ConfigText::ConfigText(std::string text)
    : text_(std::move(text)), id_(stableHash(text_, kIdSeed) | 1U) {}

ConfigText::Ptr ConfigText::create(std::string text) {
  return Ptr(new ConfigText(std::move(text)));
}

ConfigText::Ptr ConfigText::fromPacked(const std::string& packed, std::uint64_t id) {
  auto text = unpackText(packed);
  if (!text) return nullptr;
  auto configText = create(*std::move(text));
  if (configText->id() != id) return nullptr;
  configText->packed_ = packed;
  return configText;
}

ConfigText::Ptr ConfigText::fromDelta(const ConfigText& base, std::string_view delta,
                                      std::uint64_t id) {
  auto text = applyDelta(base.text_, delta);
  if (!text) return nullptr;
  auto configText = create(*std::move(text));
  return configText->id() == id ? configText : nullptr;
}

const std::string& ConfigText::packed() const {
  if (packed_.empty()) packed_ = packText(text_);
  return packed_;
}

const std::string& ConfigText::deltaFrom(const ConfigText& base) const {
  if (deltaBaseId_ != base.id()) {
    delta_ = makeDelta(base.text_, text_);
    deltaBaseId_ = base.id();
  }
  return delta_;
}

}  // namespace merlingauge::config
