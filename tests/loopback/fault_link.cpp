// fault_link.cpp: a relay between two addresses that injects a fault at a given step of a request.
#include "loopback/fault_link.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "base/time.hpp"

namespace merlingauge::test {
namespace {

// Above the egress's limit for a sign of progress.
constexpr double kSilenceMs = 450;
// Above every deadline in the test, and its slack.
constexpr double kFrozenMs = 2300;
// Long enough that connections are refused, short enough for the retries of a case.
constexpr double kKilledMs = 60;

Step stepAfter(Step first, std::size_t passed) {
  return static_cast<Step>(static_cast<std::size_t>(first) + passed);
}

}  // namespace

FaultLink::FaultLink(EventLoop& loop, const LinkAddresses& addresses, int number, bool mayPipeline,
                     RequestLedger& ledger, FaultPlan& plan)
    : loop_(loop),
      upstreamAddress_(addresses.upstream),
      replacementAddress_(addresses.replacement),
      number_(number),
      mayPipeline_(mayPipeline),
      ledger_(ledger),
      plan_(plan),
      listener_(loop, addresses.listen, [this](const auto& endpoint) { onAccept(endpoint); }) {}

void FaultLink::close() {
  *alive_ = false;
  listener_.close();
  resetAll();
}

std::size_t FaultLink::openConnections() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [](const auto& connection) {
        return !connection->downstream->isClosed() && !connection->upstream->isClosed();
      }));
}

void FaultLink::injectOnIdleConnections() {
  const auto all = connections_;
  for (const auto& connection : all) {
    if (!connection->downstream->isClosed()) inject(*connection);
  }
}

// ---- Connections

void FaultLink::onAccept(const SocketEndpoint::Ptr& downstream) {
  auto connection = std::make_shared<Connection>();
  connection->downstream = downstream;
  connection->upstream = SocketEndpoint::connect(loop_, upstreamAddress_);
  if (!connection->upstream) {
    downstream->reset();
    return;
  }
  connections_.push_back(connection);
  auto* kept = connection.get();
  using End = SocketEndpoint::End;
  downstream->onData = [this, kept] { relayRequests(*kept); };
  connection->upstream->onData = [this, kept] { relayResponses(*kept); };
  downstream->onEnd = [kept](End end) { onDownstreamEnd(*kept, end); };
  connection->upstream->onEnd = [kept](End end) { onUpstreamEnd(*kept, end); };
  onStep(Step::opened, *connection);
}

void FaultLink::onDownstreamEnd(Connection& connection, SocketEndpoint::End end) {
  connection.request.discards = true;
  propagateEnd(connection, *connection.downstream, *connection.upstream, end);
}

void FaultLink::onUpstreamEnd(Connection& connection, SocketEndpoint::End end) {
  connection.response.discards = true;
  propagateEnd(connection, *connection.upstream, *connection.downstream, end);
}

void FaultLink::propagateEnd(Connection& connection, SocketEndpoint& ended, SocketEndpoint& other,
                             SocketEndpoint::End end) {
  if (end == SocketEndpoint::End::reset) {
    other.reset();
  } else {
    other.halfClose();
  }
  if (!connection.request.discards || !connection.response.discards) return;
  ended.close();
  other.close();
}

// ---- Relaying

// Passes on what is under way up to `until` bytes of it; true once they have gone.
bool FaultLink::relay(SocketEndpoint& from, SocketEndpoint& to, std::size_t until,
                      Transfer& transfer) {
  const auto missing = until > transfer.relayed ? until - transfer.relayed : 0;
  const auto size = std::min(missing, from.received.size());
  if (!transfer.discards) to.write(std::string_view(from.received).substr(0, size));
  from.received.erase(0, size);
  transfer.relayed += size;
  return transfer.relayed >= until;
}

void FaultLink::relayRequests(Connection& connection) {
  while (!connection.frozen && !connection.downstream->isClosed()) {
    auto& request = connection.request;
    if (!request.head) beginRequest(connection);
    if (!request.head) return;
    if (!relayRequestSteps(connection, *request.head)) return;
    request.head.reset();
  }
}

void FaultLink::beginRequest(Connection& connection) {
  auto& request = connection.request;
  request.head = parseHead(connection.downstream->received);
  if (!request.head) return;
  request.relayed = 0;
  request.stepsPassed = 0;
  const auto& id = request.head->id;
  ledger_.offeredTo[id].insert(number_);
  if (!mayPipeline_ && !connection.pendingIds.empty()) {
    ledger_.addViolation("owed",
                         id + " on a connection that owes " + connection.pendingIds.front());
  }
  connection.pendingIds.push_back(id);
}

// True once the request has gone completely and the connection still relays.
bool FaultLink::relayRequestSteps(Connection& connection, const MessageHead& head) {
  auto& request = connection.request;
  const std::array<std::size_t, 4> until = {1, head.size, head.size + head.bodySize / 2,
                                            head.size + head.bodySize};
  while (request.stepsPassed < until.size()) {
    if (!relay(*connection.downstream, *connection.upstream, until.at(request.stepsPassed),
               request)) {
      return false;
    }
    const auto step = stepAfter(Step::firstByte, request.stepsPassed++);
    if (head.id == plan_.targetId) onStep(step, connection);
    if (connection.frozen || connection.downstream->isClosed()) return false;
  }
  return true;
}

void FaultLink::relayResponses(Connection& connection) {
  while (!connection.frozen && !connection.upstream->isClosed()) {
    const bool isTarget =
        !connection.pendingIds.empty() && connection.pendingIds.front() == plan_.targetId;
    if (!connection.response.head) beginResponse(connection, isTarget);
    if (!connection.response.head) return;
    const auto head = *connection.response.head;
    const bool isInterim = head.status < 200;
    const bool relayed = isInterim ? relay(*connection.upstream, *connection.downstream, head.size,
                                           connection.response)
                                   : relayResponseSteps(connection, head, isTarget);
    if (!relayed) return;
    connection.response.head.reset();
    if (isInterim && isTarget) onStep(Step::interim, connection);
  }
}

void FaultLink::beginResponse(Connection& connection, bool isTarget) {
  auto& response = connection.response;
  response.head = parseHead(connection.upstream->received);
  if (response.head && response.head->chunked) {
    // The steps are parts of the whole, so it is relayed once it is here.
    const auto size = chunkedBodySize(connection.upstream->received, response.head->size);
    response.head->bodySize = size.value_or(0);
    if (!size) response.head.reset();
  }
  if (!response.head) return;
  response.relayed = 0;
  response.stepsPassed = 0;
  if (isTarget && response.head->status >= 200 && plan_.armed && !plan_.injected) {
    replaceResponse(connection);
  }
}

// True once the response has gone completely and the connection still relays.
bool FaultLink::relayResponseSteps(Connection& connection, const MessageHead& head, bool isTarget) {
  auto& response = connection.response;
  const std::size_t last = head.size + head.bodySize;
  const std::array<std::size_t, 5> until = {1, head.size, head.size + head.bodySize / 2,
                                            head.bodySize > 0 ? last - 1 : last, last};
  while (response.stepsPassed < until.size()) {
    if (!relay(*connection.upstream, *connection.downstream, until.at(response.stepsPassed),
               response)) {
      return false;
    }
    const auto step = stepAfter(Step::responseFirstByte, response.stepsPassed++);
    if (step == Step::responseEnd) {
      if (head.notExecuted) ++ledger_.notExecutedProofs[head.id];
      if (!connection.pendingIds.empty()) connection.pendingIds.pop_front();
    }
    if (isTarget) onStep(step, connection);
    if (connection.frozen || connection.upstream->isClosed()) return false;
  }
  return true;
}

// Responses that are changed rather than broken off.
void FaultLink::replaceResponse(Connection& connection) {
  auto& head = connection.response.head;
  if (!head || !plan_.replacesResponse()) return;
  auto& received = connection.upstream->received;
  const auto size = head->size + head->bodySize;
  if (received.size() < size) {
    head.reset();  // again once it is complete
    return;
  }
  plan_.injected = true;
  plan_.ended = true;
  const bool isOtherId = plan_.fault == Fault::otherAttemptId;
  auto text = responseTo(isOtherId ? "stray" : plan_.targetId, plan_.isLongResponse);
  if (plan_.fault == Fault::missingAttemptId) {
    const auto at = text.find("Attempt-Id");
    text.erase(at, text.find("Response-Seal") - at);
  }
  received.replace(0, size, text);
  head = parseHead(received);
}

// ---- Faults

void FaultLink::onStep(Step step, Connection& connection) {
  if (!plan_.armed || plan_.injected || plan_.replacesResponse() || step != plan_.step) return;
  inject(connection);
}

void FaultLink::inject(Connection& connection) {
  plan_.injected = true;
  switch (plan_.fault) {
    case Fault::silence:
      silence(connection);
      return;
    case Fault::frozen:
      freezeAll();
      return;
    case Fault::killed:
      kill();
      return;
    case Fault::addressTakenOver:
      upstreamAddress_ = replacementAddress_;
      resetAll();
      break;
    default:
      injectOnConnection(connection);
  }
  plan_.ended = true;
}

// The faults that are over at once.
void FaultLink::injectOnConnection(Connection& connection) {
  auto& downstream = *connection.downstream;
  auto& upstream = *connection.upstream;
  switch (plan_.fault) {
    case Fault::reset:
      downstream.reset();
      upstream.reset();
      return;
    case Fault::close:
      downstream.close();
      upstream.close();
      return;
    case Fault::halfCloseDownstream:
      downstream.halfClose();
      connection.response.discards = true;
      return;
    case Fault::halfCloseUpstream:
      upstream.halfClose();
      connection.request.discards = true;
      return;
    case Fault::ownResponse:
      connection.pendingIds.clear();  // as far as its client can tell
      downstream.write(responseTo(plan_.targetId, plan_.isLongResponse));
      return;
    case Fault::strayResponse:
      downstream.write(responseTo("stray", false));
      return;
    case Fault::surplusBytes:
      downstream.write("0\r\n\r\nmore");
      return;
    default:
      return;
  }
}

void FaultLink::silence(Connection& connection) {
  freeze(connection, true);
  runAfter(kSilenceMs, [this, weak = std::weak_ptr<Connection>(find(connection))] {
    if (const auto kept = weak.lock()) freeze(*kept, false);
    plan_.ended = true;
  });
}

void FaultLink::freezeAll() {
  listener_.freeze(true);
  for (const auto& connection : connections_) freeze(*connection, true);
  runAfter(kFrozenMs, [this] {
    listener_.freeze(false);
    const auto all = connections_;
    for (const auto& connection : all) freeze(*connection, false);
    plan_.ended = true;
  });
}

void FaultLink::kill() {
  listener_.close();
  resetAll();
  runAfter(kKilledMs, [this] {
    listener_.open();
    plan_.ended = true;
  });
}

void FaultLink::freeze(Connection& connection, bool on) {
  connection.frozen = on;
  connection.downstream->freeze(on);
  connection.upstream->freeze(on);
  if (on) return;
  relayRequests(connection);
  relayResponses(connection);
}

void FaultLink::runAfter(double milliseconds, std::function<void()> work) {
  loop_.after(fromMillis(milliseconds), [alive = alive_, work = std::move(work)] {
    if (*alive) work();
  });
}

FaultLink::ConnectionPtr FaultLink::find(const Connection& connection) const {
  const auto it =
      std::find_if(connections_.begin(), connections_.end(),
                   [&connection](const auto& kept) { return kept.get() == &connection; });
  return it == connections_.end() ? nullptr : *it;
}

void FaultLink::resetAll() {
  for (const auto& connection : connections_) {
    connection->downstream->reset();
    connection->upstream->reset();
  }
}

}  // namespace merlingauge::test
