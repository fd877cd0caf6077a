// one_answer_server.hpp: a server that gives one caller fixed bytes and an orderly end.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <string>
#include <thread>
#include <utility>

namespace merlingauge::test {

/// Reads a request, sends the bytes, ends its direction by FIN and waits for the caller's end. The
/// destructor waits for that; there has to be a caller.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string bytes) : bytes_(std::move(bytes)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~OneAnswerServer() { thread_.join(); }
  OneAnswerServer(const OneAnswerServer&) = delete;
  OneAnswerServer& operator=(const OneAnswerServer&) = delete;
  [[nodiscard]] Poco::Net::SocketAddress address() const { return server_.address(); }

 private:
  void serve() {
    auto socket = server_.acceptConnection();
    std::array<char, 4096> received{};
    socket.receiveBytes(received.data(), received.size());
    socket.sendBytes(bytes_.data(), static_cast<int>(bytes_.size()));
    socket.shutdownSend();
    while (socket.receiveBytes(received.data(), received.size()) > 0) continue;
  }

  std::string bytes_;
  Poco::Net::ServerSocket server_{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::thread thread_;
};

}  // namespace merlingauge::test
