#include "http/message_head.hpp"

#include <charconv>

#include "http/header_syntax.hpp"

namespace merlingauge::http {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";

// The lines of a complete head, one after the other, without their line ends.
class HeadLines {
 public:
  explicit HeadLines(std::string_view head)
      : rest_(head.substr(0, head.size() - kLineEnd.size())) {}

  std::optional<std::string_view> next() {
    const auto end = rest_.find(kLineEnd);
    if (end == std::string_view::npos) return std::nullopt;
    const auto line = rest_.substr(0, end);
    rest_.remove_prefix(end + kLineEnd.size());
    return line;
  }

 private:
  std::string_view rest_;  // behind it lies the blank line
};

bool isHttpVersion(std::string_view text) { return text == "HTTP/1.1" || text == "HTTP/1.0"; }

bool parseRequestLine(std::string_view line, HTTPRequest& request) {
  const auto methodEnd = line.find(' ');
  if (methodEnd == std::string_view::npos) return false;
  const auto targetEnd = line.find(' ', methodEnd + 1);
  if (targetEnd == std::string_view::npos) return false;
  const auto method = line.substr(0, methodEnd);
  const auto target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
  const auto version = line.substr(targetEnd + 1);
  const bool isTarget = target.starts_with('/') && target.find('\t') == std::string_view::npos;
  if (!isPrintable(line) || !isToken(method) || !isTarget || !isHttpVersion(version)) return false;
  request.setMethod(std::string(method));
  request.setURI(std::string(target));
  request.setVersion(std::string(version));
  return true;
}

bool parseStatusLine(std::string_view line, HTTPResponse& response) {
  constexpr std::size_t kVersionSize = 8;
  constexpr std::size_t kCodeAt = kVersionSize + 1;
  constexpr std::size_t kCodeSize = 3;
  constexpr std::size_t kReasonAt = kCodeAt + kCodeSize + 1;
  if (line.size() < kCodeAt + kCodeSize || !isPrintable(line)) return false;
  const auto version = line.substr(0, kVersionSize);
  const auto code = line.substr(kCodeAt, kCodeSize);
  if (!isHttpVersion(version) || line[kVersionSize] != ' ' || !isDecimalNumber(code)) return false;
  const bool hasReason = line.size() >= kReasonAt;
  if (hasReason && line[kReasonAt - 1] != ' ') return false;
  int status = 0;
  std::from_chars(code.data(), code.data() + code.size(), status);
  response.setVersion(std::string(version));
  response.setStatus(static_cast<HTTPResponse::HTTPStatus>(status));
  response.setReason(hasReason ? std::string(line.substr(kReasonAt)) : std::string());
  return true;
}

// Takes the fields over as their bytes are: a value that is decoded on the way in could have line
// ends on the way out, and a head that was one would be read as two.
bool parseFields(HeadLines& lines, FieldCounts& counts, HTTPMessage& message) {
  while (const auto line = lines.next()) {
    const auto field = parseFieldLine(*line);
    if (!field || !countField(*field, counts)) return false;
    message.add(std::string(field->name), std::string(field->value));
  }
  return true;
}

// Whether the framing fields leave one way only to read the message.
bool isUnambiguous(const FieldCounts& counts, const HTTPMessage& message) {
  if (counts.contentLength + counts.transferEncoding > 1) return false;
  return counts.transferEncoding == 0 || message.getVersion() == HTTPMessage::HTTP_1_1;
}

bool namesItsHost(const FieldCounts& counts, const HTTPRequest& request) {
  return request.getVersion() == HTTPMessage::HTTP_1_1 ? counts.host == 1 : counts.host <= 1;
}

BodyFraming framingOf(const HTTPMessage& message, FramingKind withoutFields) {
  if (message.has(HTTPMessage::TRANSFER_ENCODING)) return {FramingKind::chunked, 0};
  if (!message.has(HTTPMessage::CONTENT_LENGTH)) return {withoutFields, 0};
  std::uint64_t length = 0;
  const std::string& text = message.get(HTTPMessage::CONTENT_LENGTH);
  std::from_chars(text.data(), text.data() + text.size(), length);
  return {length == 0 ? FramingKind::none : FramingKind::contentLength, length};
}

std::optional<std::string> serialize(const std::string& startLine, const HTTPMessage& message) {
  if (!isPrintable(startLine)) return std::nullopt;
  std::string head = startLine;
  head.append(kLineEnd);
  for (const auto& [name, value] : message) {
    if (!isWritableField(name, value)) return std::nullopt;
    head.append(name).append(": ").append(value).append(kLineEnd);
  }
  return head.append(kLineEnd);
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

std::size_t countFieldLines(std::string_view head) {
  std::size_t lines = 0;
  for (auto at = head.find(kLineEnd); at != std::string_view::npos;
       at = head.find(kLineEnd, at + kLineEnd.size())) {
    ++lines;
  }
  constexpr std::size_t kOtherLines = 2;  // the first one and the blank one
  return lines < kOtherLines ? 0 : lines - kOtherLines;
}

std::optional<BodyFraming> parseRequestHead(std::string_view head, HTTPRequest& request) {
  if (!head.ends_with(kHeadEnd)) return std::nullopt;
  HeadLines lines(head);
  const auto requestLine = lines.next();
  if (!requestLine || !parseRequestLine(*requestLine, request)) return std::nullopt;
  FieldCounts counts;
  if (!parseFields(lines, counts, request)) return std::nullopt;
  if (!isUnambiguous(counts, request) || !namesItsHost(counts, request)) return std::nullopt;
  return framingOf(request, FramingKind::none);
}

std::optional<BodyFraming> parseResponseHead(std::string_view head, bool toHeadRequest,
                                             HTTPResponse& response) {
  if (!head.ends_with(kHeadEnd)) return std::nullopt;
  HeadLines lines(head);
  const auto statusLine = lines.next();
  if (!statusLine || !parseStatusLine(*statusLine, response)) return std::nullopt;
  FieldCounts counts;
  if (!parseFields(lines, counts, response)) return std::nullopt;
  if (!isUnambiguous(counts, response)) return std::nullopt;
  const int status = response.getStatus();
  if (toHeadRequest || status < 200 || status == HTTPResponse::HTTP_NO_CONTENT ||
      status == HTTPResponse::HTTP_NOT_MODIFIED) {
    return BodyFraming{};
  }
  return framingOf(response, FramingKind::untilClose);
}

std::optional<std::string> serializeHead(const HTTPRequest& request) {
  const auto& target = request.getURI();
  if (!isToken(request.getMethod()) || target.find(' ') != std::string::npos) return std::nullopt;
  return serialize(request.getMethod() + " " + target + " " + request.getVersion(), request);
}

std::optional<std::string> serializeHead(const HTTPResponse& response) {
  return serialize(response.getVersion() + " " + std::to_string(response.getStatus()) + " " +
                       response.getReason(),
                   response);
}

}  // namespace merlingauge::http
