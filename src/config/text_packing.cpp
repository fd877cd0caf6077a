#include "config/text_packing.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <cstddef>
#include <sstream>

#include "config/text_limits.hpp"

namespace merlingauge::config {

namespace {
// The least processor time: small nodes pack as well. Higher levels gain a few percent on JSON.
constexpr int kCompressionLevel = 1;
constexpr std::size_t kChunkBytes = 16384;  // unpacked at once, before the size is looked at
}  // namespace

std::string packText(const std::string& text) {
  std::ostringstream packed;
  Poco::Base64Encoder encoder(packed);
  encoder.rdbuf()->setLineLength(0);
  Poco::DeflatingOutputStream deflater(encoder, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                       kCompressionLevel);
  deflater << text;
  deflater.close();
  encoder.close();
  return packed.str();
}

std::optional<std::string> unpackText(const std::string& packed) {
  try {
    std::istringstream input(packed);
    Poco::Base64Decoder decoder(input);
    Poco::InflatingInputStream inflater(decoder, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string text;
    std::array<char, kChunkBytes> chunk{};
    while (inflater.read(chunk.data(), chunk.size()) || inflater.gcount() > 0) {
      text.append(chunk.data(), static_cast<std::size_t>(inflater.gcount()));
      if (text.size() > kMaxTextBytes) return std::nullopt;
    }
    return text;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace merlingauge::config
