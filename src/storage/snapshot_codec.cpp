#include "storage/snapshot_codec.hpp"

#include <Poco/SHA1Engine.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/decode_error.hpp"
#include "consensus/acceptor_state_codec.hpp"

namespace merlingauge::storage {

using nlohmann::json;

namespace {

constexpr const char* kFormat = "merlingauge snapshot";
constexpr int kVersion = 1;
// The first line is some 200 bytes. A file of another kind may have no line feed for gigabytes.
constexpr std::size_t kMaxHeaderBytes = 4096;

std::string checksumOf(const StoredState& state) {
  Poco::SHA1Engine engine;
  engine.update(std::to_string(state.head.size()) + "/" + state.head + state.configText);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

json memberOrNull(const json& header, const char* key) { return header.value(key, json()); }

void checkFormat(const json& header) {
  if (!header.is_object() || memberOrNull(header, "format") != kFormat) {
    throw DecodeError("format", "not a snapshot");
  }
  if (const auto version = memberOrNull(header, "version"); version != kVersion) {
    throw DecodeError("version", "a snapshot of another version: " + version.dump());
  }
}

// Splits what follows the header. Its size has to be exactly what the header says.
StoredState splitBody(const json& header, const std::string& body) {
  const auto headBytes = memberOrNull(header, "head_bytes");
  const auto textBytes = memberOrNull(header, "text_bytes");
  if (!headBytes.is_number_unsigned() || !textBytes.is_number_unsigned() ||
      headBytes.get<std::uint64_t>() > body.size() ||
      textBytes.get<std::uint64_t>() != body.size() - headBytes.get<std::uint64_t>()) {
    throw DecodeError("head_bytes", "cut off, or longer than it says");
  }
  const auto headSize = headBytes.get<std::size_t>();
  return {body.substr(0, headSize), body.substr(headSize)};
}

}  // namespace

std::string encodeSnapshot(const StoredState& state) {
  const auto acceptor = acceptorStateIn(state);
  const json header = {{"format", kFormat},
                       {"version", kVersion},
                       {"revision", acceptor ? acceptor->value.revision().value : 0},
                       {"epoch", acceptor ? acceptor->value.epoch : 0},
                       {"head_bytes", state.head.size()},
                       {"text_bytes", state.configText.size()},
                       {"sha1", checksumOf(state)}};
  return header.dump() + "\n" + state.head + state.configText;
}

StoredState decodeSnapshot(const std::string& bytes) {
  const auto headerEnd = bytes.substr(0, kMaxHeaderBytes).find('\n');
  if (headerEnd == std::string::npos) throw DecodeError("format", "not a snapshot");
  const auto header = json::parse(bytes.substr(0, headerEnd), nullptr, false);
  checkFormat(header);
  auto state = splitBody(header, bytes.substr(headerEnd + 1));
  if (memberOrNull(header, "sha1") != checksumOf(state)) {
    throw DecodeError("sha1", "the checksum differs");
  }
  if (!acceptorStateIn(state)) throw DecodeError("head", "no state of a voter");
  return state;
}

std::optional<consensus::AcceptorState> acceptorStateIn(const StoredState& state) {
  try {
    return consensus::decodeState({state.head, config::ConfigText::create(state.configText)});
  } catch (const std::runtime_error&) {  // DecodeError or MissingCachedText
    return std::nullopt;
  }
}

}  // namespace merlingauge::storage
