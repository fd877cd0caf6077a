// instance_server.cpp: a correct server of the users' in a loopback test.
#include "loopback/instance_server.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "loopback/test_messages.hpp"

namespace merlingauge::test {

namespace {
// What was written has reached the other end of a loopback connection by then: a reset would drop
// what is still on its way.
constexpr Duration kBeforeEnd = std::chrono::milliseconds(15);
// Of a response that comes in two halves.
constexpr Duration kPauseHalfWay = std::chrono::milliseconds(100);
}  // namespace

InstanceServer::InstanceServer(EventLoop& loop, const SocketAddress& address,
                               std::string instanceId, int number, RequestLedger& ledger)
    : loop_(loop),
      instanceId_(std::move(instanceId)),
      number_(number),
      ledger_(ledger),
      listener_(loop, address, [this](const auto& connection) { onAccept(connection); }) {}

void InstanceServer::close() {
  listener_.close();
  for (const auto& connection : connections_) connection->reset();
  connections_.clear();
}

void InstanceServer::onAccept(const SocketEndpoint::Ptr& connection) {
  connections_.push_back(connection);
  auto* endpoint = connection.get();
  connection->onData = [this, endpoint, counted = std::make_shared<bool>(false)] {
    serve(*endpoint, *counted);
  };
  connection->onEnd = [endpoint](SocketEndpoint::End) { endpoint->close(); };
}

void InstanceServer::serve(SocketEndpoint& connection, bool& counted) {
  while (const auto head = parseHead(connection.received)) {
    const auto text = connection.received.substr(0, head->size);
    const bool isAddressedHere = headerValue(text, "Expected-Instance") == instanceId_;
    if (!std::exchange(counted, true)) countHead(head->id, isAddressedHere);
    auto bodySize = std::make_optional(head->bodySize);
    if (!headerValue(text, "Transfer-Encoding").empty()) {
      bodySize = chunkedBodySize(connection.received, head->size);
    }
    if (!bodySize || connection.received.size() < head->size + *bodySize) return;
    if (connection.received.substr(head->size, *bodySize) != requestBody(head->id)) {
      ledger_.addViolation("changed", "the body of " + head->id + " is not the caller's");
    }
    connection.received.erase(0, head->size + *bodySize);
    if (onRequest) onRequest(text);
    counted = false;
    const bool isLong = text.find("/big ") != std::string::npos;
    respond(connection, head->id, isLong, isAddressedHere);
  }
}

void InstanceServer::respond(const SocketEndpoint& connection, const std::string& id, bool isLong,
                             bool isAddressedHere) {
  const auto endpoint = find(connection);
  const auto write = [this, endpoint, id, isLong, isAddressedHere] {
    const auto response = responseOf(id, isLong, isAddressedHere);
    if (pausesHalfWay && pausesHalfWay(id)) {
      endpoint->write(response.substr(0, response.size() / 2));
      loop_.after(kPauseHalfWay, [endpoint, rest = response.substr(response.size() / 2)] {
        endpoint->write(rest);
      });
    } else {
      endpoint->write(response);
    }
    if (afterResponse && isAddressedHere) endAfterResponse(*endpoint, afterResponse(id));
  };
  if (delay && isAddressedHere) {
    loop_.after(delay(id), write);
  } else {
    write();
  }
}

SocketEndpoint::Ptr InstanceServer::find(const SocketEndpoint& connection) const {
  const auto found =
      std::find_if(connections_.begin(), connections_.end(),
                   [&connection](const auto& open) { return open.get() == &connection; });
  return *found;  // serve() is only called for these
}

void InstanceServer::endAfterResponse(const SocketEndpoint& connection, AfterResponse how) {
  if (how == AfterResponse::keepOpen) return;
  loop_.after(kBeforeEnd, [endpoint = find(connection), how] {
    if (how == AfterResponse::close) {
      endpoint->close();
    } else {
      endpoint->reset();
    }
  });
}

void InstanceServer::countHead(const std::string& id, bool isAddressedHere) {
  ++ledger_.heads;
  if (!isAddressedHere) return;
  ++ledger_.runs[id];
  ledger_.servers[id].insert(number_);
}

std::string InstanceServer::responseOf(const std::string& id, bool isLong,
                                       bool isAddressedHere) const {
  if (!isAddressedHere) {
    return "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  const auto correctResponse = responseTo(id, isLong);
  return substitute ? substitute(id, correctResponse) : correctResponse;
}

}  // namespace merlingauge::test
