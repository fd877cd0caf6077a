// framing: where a message begins and ends. Heads are checked strictly here before Poco reads
// them; bodies are cut out of the byte stream. No sockets.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace merlingauge::http {

enum class FramingKind : std::uint8_t { none, contentLength, chunked, untilClose };

struct BodyFraming {
  FramingKind kind = FramingKind::none;
  std::uint64_t length = 0;
};

enum class HeadParseResult : std::uint8_t { incomplete, complete, tooLarge, malformed };

// Looks for a whole head at the front of `bytes`; `size` gets its length with the blank line.
HeadParseResult findHead(std::string_view bytes, std::size_t limit, std::size_t& size);

// False where two readers could see two different messages, or none.
bool isStrictHead(std::string_view head, bool request);

// Both want a head that passed strictHead; nullopt where Poco refuses it.
std::optional<BodyFraming> parseRequestHead(std::string_view head, Poco::Net::HTTPRequest& request);
std::optional<BodyFraming> parseResponseHead(std::string_view head, bool toHead,
                                             Poco::Net::HTTPResponse& response);

// Takes a body out of a byte stream.
class BodyReader {
 public:
  enum class State : std::uint8_t { more, done, malformed };
  explicit BodyReader(BodyFraming plan);
  BodyReader() : BodyReader(BodyFraming{}) {}
  // Moves body bytes from the front of `in` to the end of `out`.
  State consume(std::string& in, std::string& out);
  [[nodiscard]] State state() const { return state_; }
  // The peer closed: is that the end of the body?
  [[nodiscard]] bool endsByClose() const { return framing_.kind == FramingKind::untilClose; }

 private:
  State chunks(std::string& in, std::string& out);
  enum class Chunk : std::uint8_t { size, data, dataEnd, trailer };
  BodyFraming framing_;
  std::uint64_t left_ = 0;
  State state_ = State::more;
  Chunk at_ = Chunk::size;
};

// Body bytes as they go onto the wire.
void appendBody(FramingKind kind, std::string_view bytes, std::string& wire);
void appendBodyEnd(FramingKind kind, std::string& wire);

// Headers that concern one connection only, and `own` prefixes of ours, are left out.
using HeaderFilter = bool (*)(const std::string& name);
void copyHeaders(const Poco::Net::MessageHeader& from, Poco::Net::MessageHeader& to,
                 HeaderFilter drop);

std::string serializeHead(const Poco::Net::HTTPRequest& request);
std::string serializeHead(const Poco::Net::HTTPResponse& response);

bool wantsClose(const Poco::Net::HTTPMessage& message);
void setFramingHeaders(const BodyFraming& plan, Poco::Net::HTTPMessage& message);
// The same for a request passed on: no length where the caller gave none.
void setFramingHeaders(const BodyFraming& plan, const Poco::Net::HTTPRequest& from,
                       Poco::Net::HTTPRequest& to);

}  // namespace merlingauge::http
