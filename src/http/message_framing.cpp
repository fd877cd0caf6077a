#include "http/message_framing.hpp"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <vector>

namespace merlingauge::http {

using Poco::icompare;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr std::size_t kChunkLineLimit = 1024;

bool tokenChar(char c) {
  constexpr std::string_view kExtra = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         kExtra.find(c) != std::string_view::npos;
}

bool token(std::string_view s) { return !s.empty() && std::all_of(s.begin(), s.end(), tokenChar); }

bool digits(std::string_view s) {
  return !s.empty() && s.size() <= 18 &&
         std::all_of(s.begin(), s.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string_view trimmed(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool sameWord(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

bool printable(std::string_view s) {
  return std::all_of(s.begin(), s.end(), [](char c) {
    const auto u = static_cast<unsigned char>(c);
    return (u >= 0x20 && u != 0x7f) || u == '\t';
  });
}

bool requestLine(std::string_view line) {
  const auto a = line.find(' ');
  if (a == std::string_view::npos) return false;
  const auto b = line.find(' ', a + 1);
  if (b == std::string_view::npos || line.find(' ', b + 1) != std::string_view::npos) return false;
  const auto uri = line.substr(a + 1, b - a - 1);
  const auto version = line.substr(b + 1);
  return token(line.substr(0, a)) && !uri.empty() && uri.front() == '/' &&
         uri.find('\t') == std::string_view::npos &&
         (version == "HTTP/1.1" || version == "HTTP/1.0");
}

bool statusLine(std::string_view line) {
  if (line.size() < 12 || (line.substr(0, 9) != "HTTP/1.1 " && line.substr(0, 9) != "HTTP/1.0 ")) {
    return false;
  }
  return digits(line.substr(9, 3)) && (line.size() == 12 || line[12] == ' ');
}

// What a head says about framing, seen by the strict check.
struct Seen {
  int lengths = 0;
  int codings = 0;
  int hosts = 0;
};

bool headerLine(std::string_view line, Seen& seen) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !token(line.substr(0, colon))) return false;
  const auto name = line.substr(0, colon);
  const auto value = trimmed(line.substr(colon + 1));
  if (sameWord(name, "content-length")) {
    ++seen.lengths;
    return digits(value);
  }
  if (sameWord(name, "transfer-encoding")) {
    ++seen.codings;
    return sameWord(value, "chunked");
  }
  if (sameWord(name, "host")) {
    ++seen.hosts;
    return !value.empty() && value.find_first_of(" \t,/@") == std::string_view::npos;
  }
  return true;
}

bool hopHeader(const std::string& name) {
  static const std::array<const char*, 8> kHop = {
      "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
      "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"};
  return std::any_of(kHop.begin(), kHop.end(),
                     [&](const char* hop) { return icompare(name, hop) == 0; });
}

}  // namespace

HeadParseResult findHead(std::string_view bytes, std::size_t limit, std::size_t& size) {
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    if (bytes.size() > limit) return HeadParseResult::tooLarge;
    // A bare line feed can never become a good head: say so now, not at the time limit.
    const auto feed = bytes.find('\n');
    if (feed != std::string_view::npos && (feed == 0 || bytes[feed - 1] != '\r')) {
      return HeadParseResult::malformed;
    }
    return HeadParseResult::incomplete;
  }
  size = end + 4;
  return size > limit ? HeadParseResult::tooLarge : HeadParseResult::complete;
}

bool isStrictHead(std::string_view head, bool request) {
  if (head.size() < 4) return false;
  head.remove_suffix(2);
  Seen seen;
  bool first = true;
  bool modern = false;
  while (!head.empty()) {
    const auto end = head.find("\r\n");
    if (end == std::string_view::npos) return false;
    const auto line = head.substr(0, end);
    head.remove_prefix(end + 2);
    if (!printable(line)) return false;  // a bare CR or LF, a NUL
    if (first) {
      if (request ? !requestLine(line) : !statusLine(line)) return false;
      modern = line.find("HTTP/1.1") != std::string_view::npos;
      first = false;
      continue;
    }
    // A leading blank would be a folded line; headerLine refuses it as no token.
    if (!headerLine(line, seen)) return false;
  }
  if (first || seen.lengths > 1 || seen.codings > 1) return false;
  if (seen.lengths + seen.codings > 1 || (seen.codings > 0 && !modern)) return false;
  return !request || (modern ? seen.hosts == 1 : seen.hosts <= 1);
}

namespace {
BodyFraming planOf(const HTTPMessage& message, FramingKind otherwise) {
  if (message.has(HTTPMessage::TRANSFER_ENCODING)) return {FramingKind::chunked, 0};
  if (message.has(HTTPMessage::CONTENT_LENGTH)) {
    std::uint64_t n = 0;
    const std::string& text = message.get(HTTPMessage::CONTENT_LENGTH);
    std::from_chars(text.data(), text.data() + text.size(), n);
    return {n == 0 ? FramingKind::none : FramingKind::contentLength, n};
  }
  return {otherwise, 0};
}

template <class Message>
bool pocoRead(std::string_view head, Message& message) {
  try {
    Poco::MemoryInputStream stream(head.data(), static_cast<std::streamsize>(head.size()));
    message.setFieldLimit(200);
    message.read(stream);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}
}  // namespace

std::optional<BodyFraming> parseRequestHead(std::string_view head, HTTPRequest& request) {
  if (!pocoRead(head, request)) return std::nullopt;
  return planOf(request, FramingKind::none);
}

std::optional<BodyFraming> parseResponseHead(std::string_view head, bool toHead,
                                             HTTPResponse& response) {
  if (!pocoRead(head, response)) return std::nullopt;
  const int status = response.getStatus();
  if (toHead || status == 204 || status == 304 || status < 200) return BodyFraming{};
  return planOf(response, FramingKind::untilClose);
}

BodyReader::BodyReader(BodyFraming plan) : framing_(plan), left_(plan.length) {
  if (framing_.kind == FramingKind::none) state_ = State::done;
}

BodyReader::State BodyReader::consume(std::string& in, std::string& out) {
  if (state_ != State::more) return state_;
  switch (framing_.kind) {
    case FramingKind::none:
      break;
    case FramingKind::contentLength: {
      const auto take = static_cast<std::size_t>(std::min<std::uint64_t>(left_, in.size()));
      out.append(in, 0, take);
      in.erase(0, take);
      left_ -= take;
      if (left_ == 0) state_ = State::done;
      break;
    }
    case FramingKind::untilClose:
      out.append(in);
      in.clear();
      break;
    case FramingKind::chunked:
      state_ = chunks(in, out);
      break;
  }
  return state_;
}

BodyReader::State BodyReader::chunks(std::string& in, std::string& out) {
  std::size_t pos = 0;
  State result = State::more;
  while (result == State::more) {
    if (at_ == Chunk::data) {
      const auto take = static_cast<std::size_t>(std::min<std::uint64_t>(left_, in.size() - pos));
      out.append(in, pos, take);
      pos += take;
      left_ -= take;
      if (left_ > 0) break;
      at_ = Chunk::dataEnd;
    }
    const auto end = in.find("\r\n", pos);
    if (end == std::string::npos) {
      const auto rest = in.size() - pos;
      if (rest > kChunkLineLimit || (at_ == Chunk::dataEnd && rest > 1)) result = State::malformed;
      break;
    }
    const std::string_view line(in.data() + pos, end - pos);
    pos = end + 2;
    if (!printable(line)) {
      result = State::malformed;
    } else if (at_ == Chunk::dataEnd) {
      if (!line.empty()) result = State::malformed;
      at_ = Chunk::size;
    } else if (at_ == Chunk::trailer) {
      Seen unused;
      if (line.empty()) {
        result = State::done;
      } else if (!headerLine(line, unused)) {
        result = State::malformed;
      }
    } else {
      const auto number = trimmed(line.substr(0, line.find(';')));
      std::uint64_t size = 0;
      const auto read = std::from_chars(number.data(), number.data() + number.size(), size, 16);
      if (number.empty() || number.size() > 15 || read.ec != std::errc() ||
          read.ptr != number.data() + number.size()) {
        result = State::malformed;
      }
      left_ = size;
      at_ = size == 0 ? Chunk::trailer : Chunk::data;
    }
  }
  in.erase(0, pos);
  return result;
}

void appendBody(FramingKind kind, std::string_view bytes, std::string& wire) {
  if (bytes.empty()) return;
  if (kind != FramingKind::chunked) {
    wire.append(bytes);
    return;
  }
  std::array<char, 20> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
  wire.append(size.data(), end.ptr).append("\r\n").append(bytes).append("\r\n");
}

void appendBodyEnd(FramingKind kind, std::string& wire) {
  if (kind == FramingKind::chunked) wire.append("0\r\n\r\n");
}

void copyHeaders(const Poco::Net::MessageHeader& from, Poco::Net::MessageHeader& to,
                 HeaderFilter drop) {
  std::vector<std::string> named;
  for (const auto& [name, value] : from) {
    if (icompare(name, HTTPMessage::CONNECTION) != 0) continue;
    std::istringstream words(value);
    for (std::string word; std::getline(words, word, ',');) named.push_back(Poco::trim(word));
  }
  for (const auto& [name, value] : from) {
    if (hopHeader(name) || (drop != nullptr && drop(name))) continue;
    const auto listed = std::any_of(named.begin(), named.end(), [&, &n = name](const auto& word) {
      return icompare(word, n) == 0;
    });
    if (!listed) to.add(name, value);
  }
}

std::string serializeHead(const HTTPRequest& request) {
  std::ostringstream out;
  request.write(out);
  return out.str();
}

std::string serializeHead(const HTTPResponse& response) {
  std::ostringstream out;
  response.write(out);
  return out.str();
}

bool wantsClose(const HTTPMessage& message) {
  // A copy: Poco hands back a reference to the default given.
  const std::string words = message.get(HTTPMessage::CONNECTION, "");
  std::istringstream stream(words);
  bool keep = false;
  for (std::string word; std::getline(stream, word, ',');) {
    word = Poco::trim(word);
    if (icompare(word, "close") == 0) return true;
    if (icompare(word, "keep-alive") == 0) keep = true;
  }
  return message.getVersion() == HTTPMessage::HTTP_1_0 && !keep;
}

void setFramingHeaders(const BodyFraming& plan, HTTPMessage& message) {
  if (plan.kind == FramingKind::chunked) {
    message.set(HTTPMessage::TRANSFER_ENCODING, "chunked");
  } else if (plan.kind != FramingKind::untilClose) {
    message.set(HTTPMessage::CONTENT_LENGTH, std::to_string(plan.length));
  }
}

void setFramingHeaders(const BodyFraming& plan, const HTTPRequest& from, HTTPRequest& to) {
  if (plan.kind != FramingKind::none || from.has(HTTPMessage::CONTENT_LENGTH))
    setFramingHeaders(plan, to);
}

}  // namespace merlingauge::http
