#include "consensus/register_value.hpp"

#include <algorithm>

namespace merlingauge::consensus {

namespace {
// 2 Mbit/s, the slowest link that a control node is meant to have.
constexpr std::int64_t kMicrosecondsPerByte = 4;
}  // namespace

bool RegisterValue::isVoter(const NodeId& node) const {
  return std::find(voters.begin(), voters.end(), node) != voters.end();
}

Duration extraRoundTime(std::size_t bytes) {
  return Duration(static_cast<std::int64_t>(bytes) * kMicrosecondsPerByte);
}

Duration extraRoundTime(const RegisterValue& value) {
  return extraRoundTime(value.config ? value.config->text().size() : 0);
}

void cacheTexts(config::ConfigTextCache& textCache, const RegisterValue& value) {
  textCache.add(value.config);
  textCache.add(value.history);
}

}  // namespace merlingauge::consensus
