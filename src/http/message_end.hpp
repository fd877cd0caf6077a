// message_end: how a received message was framed, how it ended, and how often each came.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "http/body_framing.hpp"

namespace merlingauge::http {

/// What ended a message whose head had come. The first four end it whole; of these, only
/// orderlyClose can't be told from the end of a process half-way through the message.
enum class MessageEnd : std::uint8_t {
  noBody,         ///< whole: the head says that there is no body
  contentLength,  ///< whole: as many bytes as the head announced
  lastChunk,      ///< whole: the chunk of size 0 and its trailer
  orderlyClose,   ///< whole, as far as a message without a length can tell: the peer sent FIN
  closedEarly,    ///< broken off: FIN before the announced length or the last chunk
  reset,          ///< broken off: the connection broke
  malformed,      ///< broken off: what came next breaks the framing
  abandoned,      ///< broken off by this side: a deadline, or nobody waits for it any more
  count
};

/// Whether the message is whole as far as its framing tells.
bool isWhole(MessageEnd end);

/// One word in snake case, for metrics: "last_chunk".
const char* nameOf(MessageEnd end);
/// The same of a framing: "chunked".
const char* nameOf(FramingKind framing);

/// One message that has ended.
struct MessageSummary {
  FramingKind framing = FramingKind::none;
  MessageEnd end = MessageEnd::abandoned;
  std::uint64_t bodyBytes = 0;  ///< of the body, without chunk sizes and trailers
};

/// For log lines: "framing until_close, end reset, 123 body bytes".
std::string describe(const MessageSummary& summary);

/// Counts messages by framing and end since the start of the process. Event-loop thread only.
class MessageEndCounts {
 public:
  void add(const MessageSummary& summary);
  [[nodiscard]] std::uint64_t count(FramingKind framing, MessageEnd end) const;

 private:
  static constexpr std::size_t kFramings = 4;
  static constexpr std::size_t kEnds = static_cast<std::size_t>(MessageEnd::count);
  std::array<std::array<std::uint64_t, kEnds>, kFramings> counts_{};
};

}  // namespace merlingauge::http
