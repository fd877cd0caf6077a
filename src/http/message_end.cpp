#include "http/message_end.hpp"

namespace merlingauge::http {

bool isWhole(MessageEnd end) {
  switch (end) {
    case MessageEnd::noBody:
    case MessageEnd::contentLength:
    case MessageEnd::lastChunk:
    case MessageEnd::orderlyClose:
      return true;
    case MessageEnd::closedEarly:
    case MessageEnd::reset:
    case MessageEnd::malformed:
    case MessageEnd::abandoned:
    case MessageEnd::count:
      return false;
  }
  return false;
}

const char* nameOf(MessageEnd end) {
  switch (end) {
    case MessageEnd::noBody:
      return "no_body";
    case MessageEnd::contentLength:
      return "content_length";
    case MessageEnd::lastChunk:
      return "last_chunk";
    case MessageEnd::orderlyClose:
      return "orderly_close";
    case MessageEnd::closedEarly:
      return "closed_early";
    case MessageEnd::reset:
      return "reset";
    case MessageEnd::malformed:
      return "malformed";
    case MessageEnd::abandoned:
      return "abandoned";
    case MessageEnd::count:
      break;
  }
  return "";
}

const char* nameOf(FramingKind framing) {
  switch (framing) {
    case FramingKind::none:
      return "none";
    case FramingKind::contentLength:
      return "content_length";
    case FramingKind::chunked:
      return "chunked";
    case FramingKind::untilClose:
      return "until_close";
  }
  return "";
}

std::string describe(const MessageSummary& summary) {
  return std::string("framing ") + nameOf(summary.framing) + ", end " + nameOf(summary.end) + ", " +
         std::to_string(summary.bodyBytes) + " body bytes";
}

void MessageEndCounts::add(const MessageSummary& summary) {
  const auto framing = static_cast<std::size_t>(summary.framing);
  ++counts_.at(framing).at(static_cast<std::size_t>(summary.end));
}

std::uint64_t MessageEndCounts::count(FramingKind framing, MessageEnd end) const {
  return counts_.at(static_cast<std::size_t>(framing)).at(static_cast<std::size_t>(end));
}

}  // namespace merlingauge::http
