// split_answer_server.hpp: a server of the users that pauses in the middle of each answer.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "loopback/http_client.hpp"

namespace merlingauge::test {

/// Answers in two halves, as many milliseconds apart as the second segment of the path says, as in
/// /once/1000/big; it is big, huge or else small. Sends heartbeats to `control` and counts the
/// executions of each Attempt-Id.
class SplitAnswerServer {
 public:
  SplitAnswerServer(const std::string& ip, std::string id, std::string control)
      : ip_(ip),
        id_(std::move(id)),
        control_(std::move(control)),
        socket_(net::SocketAddress(at(ip, kApp))) {
    threads_.emplace_back([this] { acceptConnections(); });
    threads_.emplace_back([this] { sendHeartbeats(); });
  }
  ~SplitAnswerServer() {
    stop_ = true;
    for (auto& thread : threads_) thread.join();
    for (auto& connection : connections_) connection.join();
  }

  /// The body of the answer to the attempt `id`.
  static std::string body(const std::string& id, bool big) {
    return bodyOf(id, big ? kBigBody : kSmallBody);
  }

  /// The status code of the answer to the heartbeat.
  int sendHeartbeat() {
    const std::lock_guard<std::mutex> hold(heartbeatLock_);
    const nlohmann::json body = {
        {"address", at(ip_, kApp)},
        {"node_info", {{"target_service", "echo"}, {"zone", "z"}, {"capacity", 16}}},
        {"status_detail",
         {{"status", draining ? "draining" : "available"}, {"sequence", ++sequence_}}}};
    return call(control_, "POST", "/v1/Instances.Heartbeat/" + id_, {}, body.dump()).status;
  }

  /// How often the attempt `id` was executed.
  int runs(const std::string& id) {
    const std::lock_guard<std::mutex> hold(lock_);
    return runs_[id];
  }

  /// Whether heartbeats from now on say that the server drains.
  std::atomic<bool> draining{false};

 private:
  static constexpr std::size_t kSmallBody = 300;
  static constexpr std::size_t kBigBody = 150000;
  static constexpr std::size_t kHugeBody = 7000000;

  static std::string bodyOf(const std::string& id, std::size_t size) {
    return id + " begins;" + std::string(size, '.') + id + " ends";
  }
  static std::size_t bodySize(const std::string& requestLine) {
    if (requestLine.find("/huge") != std::string::npos) return kHugeBody;
    return requestLine.find("/big") != std::string::npos ? kBigBody : kSmallBody;
  }

  // How long a thread waits for its socket before it looks at `stop_` again.
  static Poco::Timespan pollInterval() { return {0, 50000}; }

  // A heartbeat each 800 ms; `stop_` is looked at each 100 ms.
  void sendHeartbeats() {
    for (int i = 0; !stop_; std::this_thread::sleep_for(std::chrono::milliseconds(100))) {
      if (i++ % 8 == 0) sendHeartbeat();
    }
  }

  void acceptConnections() {
    while (!stop_) {
      if (!socket_.poll(pollInterval(), net::Socket::SELECT_READ)) continue;
      connections_.emplace_back(
          [this, peer = socket_.acceptConnection()]() mutable { serve(peer); });
    }
  }

  void serve(net::StreamSocket& peer) {
    std::string received;
    char chunk[4096];
    try {
      while (!stop_) {
        if (!peer.poll(pollInterval(), net::Socket::SELECT_READ)) continue;
        const int count = peer.receiveBytes(chunk, sizeof chunk);
        if (count <= 0) return;
        received.append(chunk, static_cast<std::size_t>(count));
        if (received.find("\r\n\r\n") == std::string::npos) continue;
        answer(peer, received);
        received.clear();
      }
    } catch (const Poco::Exception&) {
      // Its caller has gone.
    }
  }

  void answer(net::StreamSocket& peer, const std::string& request) {
    const auto header = request.find("Attempt-Id: ") + 12;
    const auto id = request.substr(header, request.find('\r', header) - header);
    const auto segment = request.find('/', request.find('/') + 1) + 1;
    const auto pause = std::atoi(request.substr(segment, 6).c_str());
    const auto text = bodyOf(id, bodySize(request.substr(0, request.find('\r'))));
    {
      const std::lock_guard<std::mutex> hold(lock_);
      ++runs_[id];
    }
    const auto out = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                     "\r\nResponse-Seal: s\r\nContent-Length: " + std::to_string(text.size()) +
                     "\r\n\r\n" + text;
    const auto half = out.size() - text.size() / 2;
    peer.sendBytes(out.data(), static_cast<int>(half));
    std::this_thread::sleep_for(std::chrono::milliseconds(pause));
    peer.sendBytes(out.data() + half, static_cast<int>(out.size() - half));
  }

  std::string ip_;
  std::string id_;
  std::string control_;
  net::ServerSocket socket_;
  std::atomic<bool> stop_{false};
  std::mutex heartbeatLock_;
  int sequence_ = 0;
  std::mutex lock_;
  std::map<std::string, int> runs_;
  std::vector<std::thread> threads_;
  std::vector<std::thread> connections_;
};

}  // namespace merlingauge::test
