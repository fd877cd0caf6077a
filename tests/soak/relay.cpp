// relay.cpp: faults of the network in a soak run.
#include "soak/relay.hpp"

#include <string>
#include <utility>

#include "soak/ledger.hpp"

namespace merlingauge::test {

SoakRelay::SoakRelay(EventLoop& loop, const SocketAddress& listen, const SocketAddress& upstream)
    : loop_(loop),
      upstreamAddress_(upstream),
      listener_(loop, listen, [this](const auto& endpoint) { onAccept(endpoint); }) {}

void SoakRelay::onAccept(const SocketEndpoint::Ptr& downstream) {
  forgetClosed();
  auto connection = std::make_shared<Connection>();
  connection->downstream = downstream;
  connection->upstream = SocketEndpoint::connect(loop_, upstreamAddress_);
  if (!connection->upstream) {
    downstream->reset();
    return;
  }
  connections_.push_back(connection);
  auto* kept = connection.get();
  downstream->onData = [kept] {
    kept->upstream->write(std::exchange(kept->downstream->received, {}));
  };
  connection->upstream->onData = [this, kept] {
    const auto bytes = std::exchange(kept->upstream->received, {});
    if (bytes.find(kSoakUnframed) != std::string::npos) kept->unframed = true;
    if (losing_ || kept->incomplete) {
      kept->incomplete = true;
    } else {
      kept->downstream->write(bytes);
    }
  };
  downstream->onEnd = [kept](SocketEndpoint::End end) { onEnd(*kept, *kept->upstream, end); };
  connection->upstream->onEnd = [kept](SocketEndpoint::End end) {
    onEnd(*kept, *kept->downstream, end);
  };
}

void SoakRelay::onEnd(Connection& connection, SocketEndpoint& other, SocketEndpoint::End end) {
  if (end == SocketEndpoint::End::reset || connection.incomplete) {
    other.reset();
  } else {
    other.halfClose();
  }
  if (++connection.ends < 2) return;
  connection.downstream->close();
  connection.upstream->close();
}

void SoakRelay::forgetClosed() {
  std::erase_if(connections_, [](const auto& connection) {
    return connection->downstream->isClosed() && connection->upstream->isClosed();
  });
}

void SoakRelay::freeze(bool on) {
  listener_.freeze(on);
  for (const auto& connection : connections_) {
    connection->downstream->freeze(on);
    connection->upstream->freeze(on);
  }
}

void SoakRelay::loseResponses(bool on) {
  losing_ = on;
  if (on) return;
  for (const auto& connection : connections_) {
    if (connection->incomplete) reset(*connection);
  }
}

void SoakRelay::reset(Connection& connection) {
  connection.downstream->reset();
  connection.upstream->reset();
}

void SoakRelay::resetAll() {
  for (const auto& connection : connections_) reset(*connection);
}

void SoakRelay::closeAll() {
  for (const auto& connection : connections_) {
    if (connection->unframed) {
      reset(*connection);
      continue;
    }
    connection->downstream->close();
    connection->upstream->close();
  }
}

void SoakRelay::halfCloseAll() {
  for (const auto& connection : connections_) {
    connection->incomplete = true;
    if (connection->unframed) {
      reset(*connection);
    } else {
      connection->downstream->halfClose();
    }
  }
}

}  // namespace merlingauge::test
