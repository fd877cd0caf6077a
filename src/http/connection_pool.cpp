#include "http/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace merlingauge::http {

namespace {
// We stop using a connection so long before the server says that it closes it: a request that
// crosses its end on the way is lost, and one that is not idempotent can't be sent again.
constexpr Duration kPeerTimeoutMargin = std::chrono::milliseconds(700);
// takeIdle() passes over expired connections; the sweep only gives their descriptors back.
constexpr Duration kSweepInterval = std::chrono::seconds(2);
}  // namespace

ConnectionPool::ConnectionPool(event::EventLoop& loop, Options options)
    : loop_(loop), options_(std::move(options)), sweepTimer_(loop) {}

bool ConnectionPool::acceptsFraming(const BodyFraming& framing,
                                    const std::string& attemptId) const {
  const bool accepted = options_.answersMayEndByClose || framing.kind != FramingKind::untilClose;
  if (!accepted && options_.invariants) {
    options_.invariants->recordViolation(ResponseInvariant::nodesFrameResponses,
                                         "response to " + attemptId + " of another node");
  }
  return accepted;
}

ConnectionPool::ResponseLimits ConnectionPool::responseLimits() const {
  ResponseLimits limits;
  if (options_.answersAreOfNodes) {
    limits.maxHeadBytes += kMaxHeadBytesOfNodes;
    limits.maxHeaderFields += kMaxFieldsOfNodes;
  }
  return limits;
}

bool ConnectionPool::acceptsRequestHead(bool writable, const std::string& attemptId) const {
  if (!writable && options_.invariants) {
    options_.invariants->recordViolation(ResponseInvariant::headIsWritable, "request " + attemptId);
  }
  return writable;
}

ClientExchange::Ptr ConnectionPool::startExchange(const Poco::Net::SocketAddress& to,
                                                  const Poco::Net::HTTPRequest& request,
                                                  FramingKind framingKind, Duration maxIdleTime,
                                                  const std::string& incarnation) {
  std::string key = to.toString();
  if (!incarnation.empty()) key.append("|").append(incarnation);
  ClientExchange::Ptr exchange(new ClientExchange(*this, loop_, key));
  auto connection = takeIdle(key, maxIdleTime);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection =
        TcpConnection::connect(loop_, to, options_.connectTimeout, options_.silenceTimeout);
    ++connectionsOpened_;
  }
  exchange->begin(std::move(connection), request, framingKind, reused);
  return exchange;
}

TcpConnection::Ptr ConnectionPool::takeIdle(const std::string& key, Duration maxIdleTime) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  const TimePoint now = loop_.now();
  while (!connections.empty()) {
    const IdleConnection newest = connections.back();
    if (newest.connection->isClosed() || newest.expiresAt <= now) {
      connections.pop_back();
      newest.connection->close();
      continue;
    }
    // If the newest is too old for this exchange, so are the others. The oldest makes room for the
    // new one, so that their number doesn't grow.
    if (now - newest.connection->idleSince > maxIdleTime) {
      closeOldest(connections);
      return nullptr;
    }
    connections.pop_back();
    // An answer reaches exactly its caller: what came on an idle connection answers no request, and
    // the next exchange must not read it.
    if (newest.connection->isQuiet()) return newest.connection;
    newest.connection->close();
  }
  return nullptr;
}

void ConnectionPool::giveBack(const std::string& key, const TcpConnection::Ptr& connection,
                              std::optional<Duration> peerTimeout) {
  auto& connections = idle_[key];
  const TimePoint now = loop_.now();
  connection->idleSince = now;
  Duration keepFor = options_.idleTimeout;
  if (peerTimeout) keepFor = std::min(keepFor, *peerTimeout - kPeerTimeoutMargin);
  if (keepFor <= Duration(0)) {
    connection->close();
    return;
  }
  if (connections.size() >= options_.maxIdlePerAddress) closeOldest(connections);
  closeOnAnyInput(connection);
  connections.push_back({connection, now + keepFor});
  if (!sweepScheduled_) scheduleSweep();
}

void ConnectionPool::closeOnAnyInput(const TcpConnection::Ptr& connection) {
  connection->enableReading(true);
  // One of the old callbacks is running now.
  loop_.defer([data = std::move(connection->onData), end = std::move(connection->onEnd)] {});
  connection->onData = [weak = std::weak_ptr<TcpConnection>(connection)] {
    if (const auto idle = weak.lock()) idle->close();
  };
  connection->onEnd = [](TcpConnection::EndReason) {};
}

void ConnectionPool::closeOldest(IdleConnections& connections) {
  connections.front().connection->close();
  connections.erase(connections.begin());
}

void ConnectionPool::scheduleSweep() {
  sweepScheduled_ = true;
  sweepTimer_.start(kSweepInterval, [this] { closeExpired(); });
}

void ConnectionPool::closeExpired() {
  const TimePoint now = loop_.now();
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& connections = entry->second;
    std::erase_if(connections, [&](const IdleConnection& idle) {
      if (!idle.connection->isClosed() && idle.expiresAt > now) return false;
      idle.connection->close();
      return true;
    });
    entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
  }
  sweepScheduled_ = false;
  if (!idle_.empty()) scheduleSweep();
}

}  // namespace merlingauge::http
