// fixture_files.hpp: reading of what version 0.1.0 stored and sent. The files were written by that
// version (tests/compatibility/fixtures/README.md) and are never changed: two versions run side by
// side while a fleet is upgraded, so a test that fails on them says that the versions are
// incompatible.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "config/change_history.hpp"
#include "config/config_text.hpp"
#include "config/config_text_cache.hpp"
#include "consensus/message_codec.hpp"

namespace merlingauge::test {

/// The folder of the files of version 0.1.0.
inline const std::filesystem::path kFixtures = FIXTURES_FOLDER;

/// The voter whose store was recorded, and the other nodes of its fleet.
inline const NodeId kVoter("127.144.0.1");
inline const NodeId kSecond("127.144.0.2");
inline const NodeId kThird("127.144.0.3");
inline const NodeId kFourth("127.144.0.4");
inline const NodeId kSidecar("127.144.0.12");

/// A request between nodes and the response to it, as they were on the wire.
struct RecordedExchange {
  nlohmann::json request;
  nlohmann::json response;
};

/// The bytes of a file; throws std::runtime_error where there is none.
std::string readFixture(const std::filesystem::path& path);

/// The exchange of this name, from fixtures/.../messages.
RecordedExchange recordedExchange(const std::string& name);

/// Names of the exchanges whose request went to this HTTP path.
std::vector<std::string> recordedExchangesTo(const std::string& path);

/// The name of an exchange as the suffix of a parameterized test.
std::string exchangeCaseName(const ::testing::TestParamInfo<std::string>& tested);

/// A configuration text of the fixtures; throws std::runtime_error for an unknown id.
config::ConfigText::Ptr textWithId(std::uint64_t id);

/// A change history of the fixtures; throws std::runtime_error for an unknown id.
config::ChangeHistory::Ptr historyWithId(std::uint64_t id);

/// What the sender of a recorded value assumed its receiver to have cached.
consensus::ReceiverState receiverOfRecorded(const nlohmann::json& value);

/// Exactly what a receiver needs for decoding the value, so that what was sent is really decoded.
/// A text that is only referenced by id is added as well, for the value to be encoded again.
config::ConfigTextCache cacheForDecoding(const nlohmann::json& value);

/// A recorded register value decoded and encoded again for the same receiver.
nlohmann::json reencoded(const nlohmann::json& recorded);

/// The keys and types of a message, without its values.
nlohmann::json schemaOf(const nlohmann::json& document);

}  // namespace merlingauge::test
