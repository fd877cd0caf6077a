// duplicate_answer_server.hpp: a faulty server of the users that answers each request twice.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "loopback/http_client.hpp"

namespace merlingauge::test {

/// Answers each request twice: the second answer comes late, where the next is due. Counts the
/// executions of each Attempt-Id.
class DuplicateAnswerServer {
 public:
  explicit DuplicateAnswerServer(const std::string& ip)
      : socket_(net::SocketAddress(at(ip, kApp))) {
    acceptor_ = std::thread([this] { acceptConnections(); });
  }
  ~DuplicateAnswerServer() {
    stop_ = true;
    acceptor_.join();
    for (auto& connection : connections_) connection.join();
  }

  /// How often each Attempt-Id was executed.
  std::map<std::string, int> runs() {
    const std::lock_guard<std::mutex> hold(lock_);
    return runs_;
  }

 private:
  // How long a thread waits for its socket before it looks at `stop_` again.
  static Poco::Timespan pollInterval() { return {0, 50000}; }

  void acceptConnections() {
    while (!stop_) {
      if (!socket_.poll(pollInterval(), net::Socket::SELECT_READ)) continue;
      connections_.emplace_back([this, peer = socket_.acceptConnection()] { serve(peer); });
    }
  }

  void serve(net::StreamSocket peer) {
    std::string received;
    std::string duplicate;
    char chunk[4096];
    while (!stop_) {
      if (!peer.poll(pollInterval(), net::Socket::SELECT_READ)) continue;
      int count = 0;
      try {
        count = peer.receiveBytes(chunk, sizeof chunk);
      } catch (const Poco::Exception&) {
        return;
      }
      if (count <= 0) return;
      received.append(chunk, static_cast<std::size_t>(count));
      if (received.find("\r\n\r\n") == std::string::npos) continue;
      const auto answer = execute(received);
      received.clear();
      // What is left of the last exchange goes first.
      const auto out = duplicate + answer;
      duplicate = answer;
      peer.sendBytes(out.data(), static_cast<int>(out.size()));
    }
  }

  std::string execute(const std::string& request) {
    const auto header = request.find("Attempt-Id: ");
    const auto id = request.substr(header + 12, request.find('\r', header) - header - 12);
    {
      const std::lock_guard<std::mutex> hold(lock_);
      ++runs_[id];
    }
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
           "\r\nResponse-Seal: s\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
  }

  net::ServerSocket socket_;
  std::atomic<bool> stop_{false};
  std::mutex lock_;
  std::map<std::string, int> runs_;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

}  // namespace merlingauge::test
