// body_framing: how a message marks the end of its body, and bodies read from and written to a
// byte stream. No sockets; the objects belong to one connection and its thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace merlingauge::http {

/// What ends a body (RFC 9112, section 6.3).
enum class FramingKind : std::uint8_t {
  none,           ///< there is no body, or an empty one
  contentLength,  ///< so many bytes as the head says
  chunked,        ///< the chunk of size 0 and its trailer
  untilClose,     ///< the end of the connection; responses only
};

/// The framing of one message.
struct BodyFraming {
  FramingKind kind = FramingKind::none;
  std::uint64_t length = 0;  ///< bytes; for contentLength only
};

/// Takes one body out of a byte stream that comes in pieces of any size.
class BodyReader {
 public:
  enum class State : std::uint8_t {
    more,      ///< the body goes on
    done,      ///< the body is complete; what follows in the input is not part of it
    malformed  ///< the chunks break the protocol; nothing of the rest can be trusted
  };

  BodyReader() : BodyReader(BodyFraming{}) {}
  explicit BodyReader(BodyFraming framing);

  /// Moves body bytes from the front of `input` to the end of `output`, without chunk sizes and
  /// trailers. Returns the state after it.
  State consume(std::string& input, std::string& output);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] FramingKind framing() const { return framing_.kind; }
  /// Bytes of the body so far, without chunk sizes and trailers.
  [[nodiscard]] std::uint64_t bodyBytes() const { return bodyBytes_; }
  /// Whether the orderly end of the connection completes the body.
  [[nodiscard]] bool endsByClose() const { return framing_.kind == FramingKind::untilClose; }

 private:
  /// What the next bytes of a chunked body are.
  enum class ChunkPart : std::uint8_t {
    size,     ///< the line with the size of a chunk
    data,     ///< the bytes of a chunk
    dataEnd,  ///< the line end behind them
    trailer,  ///< the fields behind the last chunk, up to a blank line
  };

  /// Moves up to `remaining_` bytes from `position` in `input` on; returns how many.
  std::size_t moveData(const std::string& input, std::size_t position, std::string& output);
  State consumeChunks(std::string& input, std::string& output);
  /// One line of the chunk syntax, without its line end.
  State consumeChunkLine(std::string_view line);
  State consumeChunkSize(std::string_view line);

  BodyFraming framing_;
  std::uint64_t remaining_ = 0;  // bytes of the body, or of the present chunk, still to come
  std::uint64_t bodyBytes_ = 0;
  State state_ = State::more;
  ChunkPart chunkPart_ = ChunkPart::size;
};

/// Appends body bytes as they go onto the wire: for chunked, as one chunk.
void appendBody(FramingKind kind, std::string_view bytes, std::string& wire);

/// Appends what ends a body: for chunked the last chunk, else nothing.
void appendBodyEnd(FramingKind kind, std::string& wire);

}  // namespace merlingauge::http
