#include "http/message_headers.hpp"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <vector>

namespace merlingauge::http {

using Poco::icompare;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

namespace {

bool isHopByHopHeader(const std::string& name) {
  static const std::array<const char*, 8> kHopByHopHeaders = {
      "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
      "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"};
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [&](const char* hopByHop) { return icompare(name, hopByHop) == 0; });
}

// The options of one `Connection` field.
std::vector<std::string> commaSeparated(const std::string& value) {
  std::vector<std::string> options;
  std::istringstream stream(value);
  for (std::string option; std::getline(stream, option, ',');) {
    options.push_back(Poco::trim(option));
  }
  return options;
}

bool containsIgnoringCase(const std::vector<std::string>& options, const std::string& name) {
  return std::any_of(options.begin(), options.end(),
                     [&](const auto& option) { return icompare(option, name) == 0; });
}

// Those of all `Connection` fields.
std::vector<std::string> connectionOptions(const Poco::Net::MessageHeader& message) {
  std::vector<std::string> options;
  for (const auto& [name, value] : message) {
    if (icompare(name, HTTPMessage::CONNECTION) != 0) continue;
    for (auto& option : commaSeparated(value)) options.push_back(std::move(option));
  }
  return options;
}

}  // namespace

void copyHeaders(const Poco::Net::MessageHeader& from, Poco::Net::MessageHeader& to,
                 HeaderFilter isDropped) {
  const auto options = connectionOptions(from);
  for (const auto& [name, value] : from) {
    if (isHopByHopHeader(name) || (isDropped != nullptr && isDropped(name))) continue;
    if (!containsIgnoringCase(options, name)) to.add(name, value);
  }
}

bool isConnectionOption(const Poco::Net::MessageHeader& message, const std::string& name) {
  return containsIgnoringCase(connectionOptions(message), name);
}

bool wantsClose(const HTTPMessage& message) {
  const auto options = connectionOptions(message);
  if (containsIgnoringCase(options, "close")) return true;
  return message.getVersion() == HTTPMessage::HTTP_1_0 &&
         !containsIgnoringCase(options, "keep-alive");
}

void setFramingHeaders(const BodyFraming& framing, HTTPMessage& message) {
  if (framing.kind == FramingKind::chunked) {
    message.set(HTTPMessage::TRANSFER_ENCODING, "chunked");
  } else if (framing.kind != FramingKind::untilClose) {
    message.set(HTTPMessage::CONTENT_LENGTH, std::to_string(framing.length));
  }
}

void setFramingHeaders(const BodyFraming& framing, const HTTPRequest& from, HTTPRequest& to) {
  if (framing.kind == FramingKind::none && !from.has(HTTPMessage::CONTENT_LENGTH)) return;
  setFramingHeaders(framing, to);
}

}  // namespace merlingauge::http
