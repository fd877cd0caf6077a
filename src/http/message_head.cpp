#include "http/message_head.hpp"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPMessage.h>

#include <charconv>
#include <sstream>

#include "http/header_syntax.hpp"

namespace merlingauge::http {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
// Far more than any known client or server sends; bounds the work for one head.
constexpr int kMaxHeaderFields = 200;

enum class HeadKind : std::uint8_t { request, response };

bool isRequestLine(std::string_view line) {
  const auto methodEnd = line.find(' ');
  if (methodEnd == std::string_view::npos) return false;
  const auto targetEnd = line.find(' ', methodEnd + 1);
  if (targetEnd == std::string_view::npos) return false;
  if (line.find(' ', targetEnd + 1) != std::string_view::npos) return false;
  const auto method = line.substr(0, methodEnd);
  const auto target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
  const auto version = line.substr(targetEnd + 1);
  return isToken(method) && !target.empty() && target.front() == '/' &&
         target.find('\t') == std::string_view::npos &&
         (version == "HTTP/1.1" || version == "HTTP/1.0");
}

bool isStatusLine(std::string_view line) {
  constexpr std::size_t kCodeAt = 9;  // behind "HTTP/1.1 "
  constexpr std::size_t kCodeEnd = kCodeAt + 3;
  if (line.size() < kCodeEnd) return false;
  const auto version = line.substr(0, kCodeAt);
  if (version != "HTTP/1.1 " && version != "HTTP/1.0 ") return false;
  return isDecimalNumber(line.substr(kCodeAt, 3)) &&
         (line.size() == kCodeEnd || line[kCodeEnd] == ' ');
}

// Whether the framing fields leave one way only to read the message.
bool isUnambiguous(const FieldCounts& counts, HeadKind kind, bool isHttp11) {
  if (counts.contentLength + counts.transferEncoding > 1) return false;
  if (counts.transferEncoding > 0 && !isHttp11) return false;
  if (kind == HeadKind::response) return true;
  return isHttp11 ? counts.host == 1 : counts.host <= 1;
}

// False where two readers could see two different messages, or none.
bool isStrictHead(std::string_view head, HeadKind kind) {
  if (head.size() < kHeadEnd.size()) return false;
  head.remove_suffix(kLineEnd.size());  // the blank line
  FieldCounts counts;
  bool isFirstLine = true;
  bool isHttp11 = false;
  while (!head.empty()) {
    const auto end = head.find(kLineEnd);
    if (end == std::string_view::npos) return false;
    const auto line = head.substr(0, end);
    head.remove_prefix(end + kLineEnd.size());
    if (!isPrintable(line)) return false;
    if (!isFirstLine) {
      if (!checkFieldLine(line, counts)) return false;
      continue;
    }
    if (kind == HeadKind::request ? !isRequestLine(line) : !isStatusLine(line)) return false;
    isHttp11 = line.find("HTTP/1.1") != std::string_view::npos;
    isFirstLine = false;
  }
  return !isFirstLine && isUnambiguous(counts, kind, isHttp11);
}

BodyFraming framingOf(const HTTPMessage& message, FramingKind withoutFields) {
  if (message.has(HTTPMessage::TRANSFER_ENCODING)) return {FramingKind::chunked, 0};
  if (!message.has(HTTPMessage::CONTENT_LENGTH)) return {withoutFields, 0};
  std::uint64_t length = 0;
  const std::string& text = message.get(HTTPMessage::CONTENT_LENGTH);
  std::from_chars(text.data(), text.data() + text.size(), length);
  return {length == 0 ? FramingKind::none : FramingKind::contentLength, length};
}

template <class Message>
bool parseWithPoco(std::string_view head, Message& message) {
  try {
    Poco::MemoryInputStream stream(head.data(), static_cast<std::streamsize>(head.size()));
    message.setFieldLimit(kMaxHeaderFields);
    message.read(stream);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

template <class Message>
std::string serialize(const Message& message) {
  std::ostringstream out;
  message.write(out);
  return out.str();
}

}  // namespace

HeadSearch findHead(std::string_view bytes, std::size_t maxBytes) {
  const auto end = bytes.find(kHeadEnd);
  if (end != std::string_view::npos) {
    const std::size_t size = end + kHeadEnd.size();
    return {size > maxBytes ? HeadParseResult::tooLarge : HeadParseResult::complete, size};
  }
  if (bytes.size() > maxBytes) return {HeadParseResult::tooLarge};
  // A bare line feed can never become a good head: say so now, not at the time limit.
  const auto feed = bytes.find('\n');
  if (feed != std::string_view::npos && (feed == 0 || bytes[feed - 1] != '\r')) {
    return {HeadParseResult::malformed};
  }
  return {HeadParseResult::incomplete};
}

std::optional<BodyFraming> parseRequestHead(std::string_view head, HTTPRequest& request) {
  if (!isStrictHead(head, HeadKind::request) || !parseWithPoco(head, request)) return std::nullopt;
  return framingOf(request, FramingKind::none);
}

std::optional<BodyFraming> parseResponseHead(std::string_view head, bool toHeadRequest,
                                             HTTPResponse& response) {
  if (!isStrictHead(head, HeadKind::response) || !parseWithPoco(head, response)) {
    return std::nullopt;
  }
  const int status = response.getStatus();
  if (toHeadRequest || status < 200 || status == HTTPResponse::HTTP_NO_CONTENT ||
      status == HTTPResponse::HTTP_NOT_MODIFIED) {
    return BodyFraming{};
  }
  return framingOf(response, FramingKind::untilClose);
}

std::string serializeHead(const HTTPRequest& request) { return serialize(request); }

std::string serializeHead(const HTTPResponse& response) { return serialize(response); }

}  // namespace merlingauge::http
