#include "http/server_exchange.hpp"

#include <Poco/Net/HTTPMessage.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "http/message_head.hpp"
#include "http/message_headers.hpp"
#include "http/server_connection.hpp"

namespace merlingauge::http {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {
std::string retryAfterSeconds(int millis) {
  constexpr double kMillisPerSecond = 1000.0;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", millis / kMillisPerSecond);
  return text.data();
}

bool contains(const ServerExchange::ExtraHeaders& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const auto& header) { return header.first == name; });
}
}  // namespace

std::size_t ServerExchange::unsentBytes() const {
  const auto connection = connection_.lock();
  if (!connection) return 0;
  return connection->isFront(*this) ? connection->unsentBytes() : heldOutput_.size();
}

void ServerExchange::write(std::string_view bytes) {
  const auto connection = connection_.lock();
  if (!connection) return;
  if (connection->isFront(*this)) {
    connection->write(bytes);
  } else {
    heldOutput_.append(bytes);
  }
}

bool ServerExchange::mustCloseAfter(const ServerConnection& connection) const {
  // While draining, the last answer that is owed says so.
  if (connection.isDraining() && connection.isLast(*this)) return true;
  return wantsClose(request) || endsByClose() || !bodyComplete;
}

bool ServerExchange::isHttp10() const { return request.getVersion() == HTTPMessage::HTTP_1_0; }

bool ServerExchange::hasFramingHeaders(int status) const {
  if (status == HTTPResponse::HTTP_NO_CONTENT || status == HTTPResponse::HTTP_NOT_MODIFIED) {
    return false;
  }
  return !isHeadRequest_ || responseFraming_.kind != FramingKind::none;
}

void ServerExchange::sendHead(HTTPResponse& response, const BodyFraming& framing) {
  const auto connection = connection_.lock();
  if (!connection || over_ || headSent_) return;
  headSent_ = true;
  responseFraming_ = framing;
  // An orderly end of the connection proves nothing: that of a process half-way looks the same.
  // Only a caller of HTTP/1.0, which knows no chunks, gets a body that ends by it.
  if (framing.kind == FramingKind::chunked || framing.kind == FramingKind::untilClose) {
    responseFraming_.kind = isHttp10() ? FramingKind::untilClose : FramingKind::chunked;
  }
  isHeadRequest_ = request.getMethod() == HTTPRequest::HTTP_HEAD;
  if (mustCloseAfter(*connection)) closeAfterResponse_ = true;
  response.setVersion(HTTPMessage::HTTP_1_1);
  if (hasFramingHeaders(response.getStatus())) setFramingHeaders(responseFraming_, response);
  if (closeAfterResponse_) response.set(HTTPMessage::CONNECTION, "close");
  check(ResponseInvariant::framedBeforeClose, !endsByClose() || isHttp10());
  const std::string requestId = request.get(kAttemptIdHeader, "");
  const bool answersRequest = requestId.empty() || response.get(kAttemptIdHeader, "") == requestId;
  if (!check(ResponseInvariant::answersItsRequest, answersRequest)) {
    abortResponse();
    return;
  }
  const auto head = serializeHead(response);
  if (!check(ResponseInvariant::headIsWritable, head.has_value())) {
    abortResponse();
    return;
  }
  if (endsByClose() && connection->isFront(*this)) connection->setAbortiveClose();
  write(*head);
}

void ServerExchange::sendBody(std::string_view bytes) {
  if (over_ || isHeadRequest_) return;
  bodyBytesSent_ += bytes.size();
  std::string wire;
  appendBody(responseFraming_.kind, bytes, wire);
  write(wire);
}

// Whether the body has as many bytes as its head says.
bool ServerExchange::hasDeclaredLength() const {
  switch (responseFraming_.kind) {
    case FramingKind::none:
      return bodyBytesSent_ == 0;
    case FramingKind::contentLength:
      return isHeadRequest_ || bodyBytesSent_ == responseFraming_.length;
    case FramingKind::chunked:
    case FramingKind::untilClose:
      return true;
  }
  return false;
}

void ServerExchange::endRelayedResponse(const MessageSummary& source) {
  if (connection_.expired() || over_) return;
  const bool isWholeSource = check(ResponseInvariant::sourceIsWhole, isWhole(source.end));
  const bool isSourcesBody = check(ResponseInvariant::bodyIsTheSources,
                                   isHeadRequest_ || bodyBytesSent_ == source.bodyBytes);
  if (isWholeSource && isSourcesBody) {
    endResponse();
  } else {
    abortResponse();
  }
}

void ServerExchange::endResponse() {
  if (connection_.expired() || over_) return;
  if (!check(ResponseInvariant::declaredLength, hasDeclaredLength())) {
    abortResponse();
    return;
  }
  std::string wire;
  if (!isHeadRequest_) appendBodyEnd(responseFraming_.kind, wire);
  write(wire);
  finish();
}

void ServerExchange::abortResponse() {
  if (connection_.expired() || over_) return;
  aborted_ = true;
  finish();
}

bool ServerExchange::check(ResponseInvariant invariant, bool holds) {
  if (holds) return true;
  const auto connection = connection_.lock();
  if (connection) connection->invariants().recordViolation(invariant, describeForLog());
  return false;
}

std::string ServerExchange::describeForLog() const {
  return "response to " + request.get(kAttemptIdHeader, "a request without id") + ", framing " +
         nameOf(responseFraming_.kind) + ", " + std::to_string(bodyBytesSent_) + " body bytes";
}

void ServerExchange::finish() {
  over_ = true;
  const auto connection = connection_.lock();
  connection->countEnd(*this);
  if (connection->isFront(*this)) connection->onFrontFinished();
}

void ServerExchange::respond(int status, const std::string& reason, std::string_view body,
                             const std::string& contentType, const ExtraHeaders& extra) {
  HTTPResponse response(HTTPMessage::HTTP_1_1, static_cast<HTTPResponse::HTTPStatus>(status),
                        reason);
  if (!contentType.empty()) response.set(HTTPMessage::CONTENT_TYPE, contentType);
  if (const auto id = request.get(kAttemptIdHeader, ""); !id.empty()) {
    response.set(kAttemptIdHeader, id);
  }
  for (const auto& [name, value] : extra) response.set(name, value);
  const auto framing = body.empty() ? FramingKind::none : FramingKind::contentLength;
  sendHead(response, {framing, body.size()});
  sendBody(body);
  endResponse();
}

void ServerExchange::respondError(ErrorKind kind, const std::string& detail,
                                  const ExtraHeaders& extra) {
  const auto& error = responseFor(kind);
  ExtraHeaders headers = extra;
  if (error.retryAfterMs > 0 && !contains(extra, "Retry-After")) {
    headers.emplace_back("Retry-After", retryAfterSeconds(error.retryAfterMs));
  }
  if (error.closesConnection) closeAfterResponse_ = true;
  std::string text = error.message;
  if (!detail.empty()) text += ": " + detail;
  respond(error.status, error.reason, text + "\n", "text/plain", headers);
}

void ServerExchange::sendInterim(std::string_view statusLine) {
  if (over_ || headSent_ || isHttp10()) return;
  write(std::string(statusLine) + "\r\n\r\n");
}

void ServerExchange::sendContinue() { sendInterim("HTTP/1.1 100 Continue"); }

void ServerExchange::sendProcessing() { sendInterim("HTTP/1.1 102 Processing"); }

bool ServerExchange::clientHasClosed() const {
  const auto connection = connection_.lock();
  return !connection || over_ || connection->closedByPeer();
}

void ServerExchange::bodyConsumed(std::size_t heldBytes) {
  const auto connection = connection_.lock();
  if (!connection || over_) return;
  connection->limitReading(heldBytes + receivedBody.size());
}

}  // namespace merlingauge::http
