// message_head: heads of messages found in a byte stream, checked strictly and parsed, and written.
// Pure functions; what they refuse is refused for good, however many more bytes come.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/body_framing.hpp"

namespace merlingauge::http {

enum class HeadParseResult : std::uint8_t {
  incomplete,  ///< so far it may become a head
  complete,    ///< a head with its blank line is there; its content is not checked yet
  tooLarge,    ///< longer than the limit
  malformed,   ///< can't become a head any more
};

/// Fields of a caller's head. Of a configured number of bytes a head may have many more small
/// fields; finding and copying them takes time by the square of their number.
inline constexpr std::size_t kMaxHeaderFields = 1000;
/// Fields and bytes that nodes add to a head between them: whatever one node takes from outside,
/// the next one on its way takes too.
inline constexpr std::size_t kMaxFieldsOfNodes = 16;
inline constexpr std::size_t kMaxHeadBytesOfNodes = 2048;

/// What findHead sees at the front of a byte stream.
struct HeadSearch {
  HeadParseResult result = HeadParseResult::incomplete;
  std::size_t size = 0;  ///< bytes of the head with its blank line, where it is complete
};

/// Looks for a head of at most `maxBytes` at the front of `bytes`.
HeadSearch findHead(std::string_view bytes, std::size_t maxBytes);

/// How many field lines a complete head has.
std::size_t countFieldLines(std::string_view head);

/// Parses a complete head into `request` and returns the framing of its body. nullopt where it is
/// malformed, or two readers could see two different messages in it (two lengths, a length beside
/// a transfer coding, no host).
std::optional<BodyFraming> parseRequestHead(std::string_view head, Poco::Net::HTTPRequest& request);

/// The same for a response. `toHeadRequest`: it answers a HEAD request, so that it has no body
/// whatever its head says.
std::optional<BodyFraming> parseResponseHead(std::string_view head, bool toHeadRequest,
                                             Poco::Net::HTTPResponse& response);

/// The bytes of a head with its blank line. nullopt where they would be read as another head than
/// `request`: a control character in a part of it, which may come from a document and not from a
/// checked head, could end the head early.
std::optional<std::string> serializeHead(const Poco::Net::HTTPRequest& request);
/// The same for a response.
std::optional<std::string> serializeHead(const Poco::Net::HTTPResponse& response);

}  // namespace merlingauge::http
