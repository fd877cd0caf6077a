// value_tags: each change appends its tag to the text, so a text lists the changes before it.
#pragma once

#include <string>

#include "config/config_text.hpp"
#include "consensus/messages.hpp"

namespace merlingauge::test::explorer {

inline std::string tagsOf(const consensus::RegisterValue& value) {
  return value.config ? value.config->text() : "";
}

inline bool hasTag(const consensus::RegisterValue& value, const std::string& tag) {
  return tagsOf(value).find(tag + " ") != std::string::npos;
}

inline void appendTag(consensus::RegisterValue& value, const std::string& tag) {
  value.config = config::ConfigText::create(tagsOf(value) + tag + " ");
}

/// The tags of the two steps of a change of voters (joint consensus).
constexpr const char* kJointVotersTag = "both";
constexpr const char* kNewVotersTag = "new";

}  // namespace merlingauge::test::explorer
