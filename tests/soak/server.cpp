// server.cpp: a server of the users in a soak run.
#include "soak/server.hpp"

#include <Poco/Exception.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

#include "loopback/http_client.hpp"
#include "loopback/test_messages.hpp"

namespace merlingauge::test {

namespace {
using std::chrono::milliseconds;

const Poco::Timespan kPollInterval(0, 20000);
constexpr milliseconds kHeartbeatInterval{400};
constexpr milliseconds kStopCheckInterval{20};
// A kernel has taken what was written by then, and a reset doesn't drop it.
constexpr milliseconds kBeforeReset{5};
constexpr std::array<std::size_t, 6> kBodySizes = {0, 1, 300, 20000, 150000, 600000};

enum class Framing : std::uint8_t { length, chunked, untilClose, count };
// For the seal, so that a violation tells how its server framed the answer.
constexpr std::array<const char*, 3> kFramingNames = {"length", "chunked", kSoakUnframed};

int draw(std::mt19937_64& random, int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(random);
}

// A whole response, and where its body begins.
std::string responseText(const std::string& id, const std::string& instance, std::size_t size,
                         Framing framing, std::mt19937_64& random) {
  const auto body = soakBody(id, instance, size);
  std::string text = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                     "\r\nResponse-Seal: " + soakSeal(id, instance, size) + " " +
                     kFramingNames.at(static_cast<std::size_t>(framing));
  if (framing == Framing::length) {
    return text + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + body;
  }
  if (framing == Framing::untilClose) return text + "\r\n\r\n" + body;
  text += "\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < body.size();) {
    const auto chunk = std::min(body.size() - at, static_cast<std::size_t>(1 + draw(random, 9000)));
    text += chunkOf(std::string_view(body).substr(at, chunk));
    at += chunk;
  }
  return text + "0\r\n\r\n";
}

void send(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const int sent = socket.sendBytes(bytes.data() + at, static_cast<int>(bytes.size() - at));
    if (sent <= 0) return;
    at += static_cast<std::size_t>(sent);
  }
}

void reset(Poco::Net::StreamSocket& socket) {
  socket.setLinger(true, 0);
  socket.close();
}

// The length of the request at the front of what was received; nothing while it is not complete.
std::optional<std::size_t> requestSize(const std::string& received) {
  const auto head = parseHead(received);
  if (!head) return std::nullopt;
  auto body = std::make_optional(head->bodySize);
  if (!headerValue(received.substr(0, head->size), "Transfer-Encoding").empty()) {
    body = chunkedBodySize(received, head->size);
  }
  if (!body || received.size() < head->size + *body) return std::nullopt;
  return head->size + *body;
}
}  // namespace

enum class SoakServer::Conduct : std::uint8_t {
  whole,
  resetHalfWay,
  closeHalfWay,  // only where the framing tells that half is missing
  stutter,
  twiceAtOnce,
  twiceLate,
  loseAnswer,
  fail,
  reject,
  garbage,
};

SoakServer::SoakServer(const std::string& address, std::string announced, std::string instance,
                       std::vector<std::string> controlAddresses, SoakLedger& ledger,
                       std::uint64_t seed)
    : announced_(std::move(announced)),
      instance_(std::move(instance)),
      controlAddresses_(std::move(controlAddresses)),
      ledger_(ledger),
      random_(seed) {
  socket_.bind(Poco::Net::SocketAddress(address), true);
  socket_.listen();
  acceptor_ = std::thread([this] { acceptConnections(); });
  heartbeats_ = std::thread([this] { sendHeartbeats(); });
}

SoakServer::~SoakServer() {
  stop_ = true;
  acceptor_.join();
  heartbeats_.join();
  for (auto& connection : connections_) connection.join();
}

void SoakServer::pause(milliseconds wait) const {
  const auto until = std::chrono::steady_clock::now() + wait;
  while (!stop_ && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::min(wait, kStopCheckInterval));
  }
}

void SoakServer::acceptConnections() {
  while (!stop_) {
    if (!socket_.poll(kPollInterval, Poco::Net::Socket::SELECT_READ)) continue;
    connections_.emplace_back([this, peer = socket_.acceptConnection(), seed = random_()] {
      try {
        serve(peer, seed);
      } catch (const Poco::Exception&) {
        // Its caller has gone.
      }
    });
  }
  socket_.close();
}

void SoakServer::sendHeartbeats() {
  for (int sequence = 1; !stop_; ++sequence) {
    const nlohmann::json body = {
        {"address", announced_},
        {"node_info", {{"target_service", "echo"}, {"zone", "z"}, {"capacity", 16}}},
        {"status_detail", {{"status", "available"}, {"sequence", sequence}}}};
    const auto& to =
        controlAddresses_[static_cast<std::size_t>(sequence) % controlAddresses_.size()];
    call(to, "POST", "/v1/Instances.Heartbeat/" + instance_, {}, body.dump());
    pause(kHeartbeatInterval);
  }
}

void SoakServer::serve(Poco::Net::StreamSocket socket, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string received;
  std::array<char, 16384> chunk{};
  while (!stop_) {
    if (!socket.poll(kPollInterval, Poco::Net::Socket::SELECT_READ)) continue;
    const int size = socket.receiveBytes(chunk.data(), chunk.size());
    if (size <= 0) return;
    received.append(chunk.data(), static_cast<std::size_t>(size));
    while (const auto whole = requestSize(received)) {
      const auto head = received.substr(0, received.find("\r\n\r\n") + 2);
      received.erase(0, *whole);
      if (!answer(socket, head, random)) return;
    }
  }
  reset(socket);
}

bool SoakServer::answer(Poco::Net::StreamSocket& socket, const std::string& head,
                        std::mt19937_64& random) {
  const auto id = headerValue(head, "Attempt-Id");
  const auto plain = [&id](const std::string& statusLine, const std::string& header) {
    return "HTTP/1.1 " + statusLine + "\r\nAttempt-Id: " + id + "\r\n" + header +
           "Content-Length: 0\r\n\r\n";
  };
  if (headerValue(head, "Expected-Instance") != instance_) {
    send(socket, plain("421 Misdirected Request", ""));
    return true;
  }
  constexpr std::array<Conduct, 10> kFaults = {
      Conduct::resetHalfWay, Conduct::closeHalfWay, Conduct::stutter, Conduct::twiceAtOnce,
      Conduct::twiceLate,    Conduct::loseAnswer,   Conduct::fail,    Conduct::reject,
      Conduct::garbage,      Conduct::resetHalfWay};
  const bool sound = draw(random, 100) < 70;
  auto conduct = sound ? Conduct::whole : kFaults.at(static_cast<std::size_t>(draw(random, 10)));
  if (conduct == Conduct::reject) {
    send(socket, plain("503 Service Unavailable", "Not-Executed: 1\r\n"));
    return true;
  }
  ledger_.onRun(id);
  pause(milliseconds(draw(random, 25)));
  if (conduct == Conduct::fail) {
    send(socket, plain("500 Internal Server Error", "Response-Seal: failed\r\n"));
    return true;
  }
  const auto framing = static_cast<Framing>(draw(random, static_cast<int>(Framing::count)));
  const bool endsByClose = framing == Framing::untilClose;
  // Behind a body that the close ends, more bytes would be more body, and a FIN its end.
  const bool needsFraming = conduct == Conduct::closeHalfWay || conduct == Conduct::twiceAtOnce ||
                            conduct == Conduct::twiceLate;
  if (endsByClose && needsFraming) conduct = Conduct::resetHalfWay;
  const auto size = kBodySizes.at(static_cast<std::size_t>(draw(random, kBodySizes.size())));
  return carryOut(socket, conduct, responseText(id, instance_, size, framing, random), endsByClose,
                  random);
}

bool SoakServer::carryOut(Poco::Net::StreamSocket& socket, Conduct conduct,
                          const std::string& response, bool endsByClose, std::mt19937_64& random) {
  const auto headSize = response.find("\r\n\r\n") + 4;
  // Somewhere behind the head, or in it.
  const auto cut = draw(random, 5) == 0
                       ? headSize / 2
                       : headSize + static_cast<std::size_t>(draw(
                                        random, static_cast<int>(response.size() - headSize) + 1));
  switch (conduct) {
    case Conduct::resetHalfWay:
      send(socket, response.substr(0, cut));
      pause(kBeforeReset);
      reset(socket);
      return false;
    case Conduct::closeHalfWay:
      send(socket, response.substr(0, std::min(cut, response.size() - 1)));
      return false;
    case Conduct::stutter:
      send(socket, response.substr(0, cut));
      pause(milliseconds(draw(random, 400)));
      send(socket, response.substr(cut));
      return !endsByClose;
    case Conduct::twiceAtOnce:
      send(socket, response + response);
      return true;
    case Conduct::twiceLate:
      send(socket, response);
      pause(milliseconds(draw(random, 40)));
      send(socket, response);
      return true;
    case Conduct::loseAnswer:
      pause(milliseconds(draw(random, 300)));
      if (draw(random, 2) == 0) reset(socket);
      return false;
    case Conduct::garbage:
      send(socket, "this is no answer\r\n\r\n");
      return false;
    default:
      send(socket, response);
      return !endsByClose;
  }
}

}  // namespace merlingauge::test
