// client_exchange_test: exchanges over real connections with a scripted server: what of a
// connection may be used again, and what its end says of the request.
#include "http/client_exchange.hpp"

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "event/event_loop.hpp"
#include "http/connection_pool.hpp"
#include "http/message_headers.hpp"

namespace merlingauge::http {
namespace {

namespace net = Poco::Net;

// Reads a head on each connection, writes the next scripted response, and closes the connection or
// leaves it open; an open one gets the next response for its next head.
class ScriptedServer {
 public:
  struct Response {
    std::string text;
    bool close = false;
    bool stopReading = false;  // nothing more is read on that connection, and it stays open
  };

  explicit ScriptedServer(std::vector<Response> responses)
      : socket_(net::SocketAddress("127.0.0.1", 0)), responses_(std::move(responses)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~ScriptedServer() {
    over_ = true;
    thread_.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] net::SocketAddress address() const { return socket_.address(); }

 private:
  void serve() {
    while (!over_) {
      try {
        if (socket_.poll(Poco::Timespan(0, 5000), net::Socket::SELECT_READ)) {
          respond(socket_.acceptConnection());
        }
        serveOpenConnections();
      } catch (const Poco::Exception&) {
        // A connection that the client dropped.
      }
    }
  }

  void serveOpenConnections() {
    for (auto& socket : std::exchange(open_, {})) {
      if (socket.poll(Poco::Timespan(0), net::Socket::SELECT_READ)) {
        respond(socket);
      } else {
        open_.push_back(socket);
      }
    }
  }

  void respond(net::StreamSocket socket) {
    std::string head;
    char byte = 0;
    while (!head.ends_with("\r\n\r\n") && socket.receiveBytes(&byte, 1) == 1) head += byte;
    if (!head.ends_with("\r\n\r\n") || responsesSent_ >= responses_.size()) return;
    const auto& response = responses_[responsesSent_++];
    socket.sendBytes(response.text.data(), static_cast<int>(response.text.size()));
    if (response.close) return;
    (response.stopReading ? unread_ : open_).push_back(socket);
  }

  net::ServerSocket socket_;
  std::vector<Response> responses_;
  std::size_t responsesSent_ = 0;
  std::vector<net::StreamSocket> open_;
  std::vector<net::StreamSocket> unread_;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

std::string response(const std::string& attemptId, const std::string& body = "ok") {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string nameOf(ClientExchange::Failure failure) {
  switch (failure) {
    case ClientExchange::Failure::notSent:
      return "notSent";
    case ClientExchange::Failure::staleConnection:
      return "staleConnection";
    case ClientExchange::Failure::noResponse:
      return "noResponse";
    case ClientExchange::Failure::truncated:
      return "truncated";
    case ClientExchange::Failure::invalidResponse:
      return "invalidResponse";
  }
  return "";
}

using Outcomes = std::vector<std::string>;

// Exchanges with Attempt-Id "1", "2", ... made one after the other with a scripted server.
class ClientExchangeTest : public testing::Test {
 protected:
  void run(const std::vector<ScriptedServer::Response>& responses, int exchanges,
           std::size_t bodyBytes = 0) {
    exchangeCount_ = exchanges;
    bodyBytes_ = bodyBytes;
    ScriptedServer server(responses);
    server_ = server.address();
    loop_.defer([this] { start(1); });
    loop_.run();
  }

  // The body of each complete answer, or the kind of failure.
  Outcomes outcomes_;
  std::string extraValue_ = "plain";  // of a header of each request
  event::EventLoop loop_;
  ConnectionPool pool_{loop_, {}};

 private:
  void start(int number) {
    net::HTTPRequest request("POST", "/", "HTTP/1.1");
    request.set("Attempt-Id", std::to_string(number));
    request.set("Expected-Instance", extraValue_);
    const auto kind = bodyBytes_ > 0 ? FramingKind::contentLength : FramingKind::none;
    setFramingHeaders({kind, bodyBytes_}, request);
    const auto exchange = pool_.startExchange(server_, request, kind, std::chrono::seconds(20));
    exchanges_.push_back(exchange);
    const auto body = std::make_shared<std::string>();
    exchange->onBody = [body](std::string& bytes) { body->append(std::exchange(bytes, "")); };
    exchange->onComplete = [this, number, body] { onEnd(number, *body); };
    exchange->onFailure = [this, number](ClientExchange::Failure failure) {
      onEnd(number, nameOf(failure));
    };
    loop_.after(std::chrono::seconds(20), [this] {
      outcomes_.emplace_back("no end");
      loop_.stop();
    });
    if (bodyBytes_ > 0) exchange->sendBody(std::string(bodyBytes_, 'x'));
    exchange->endBody();
  }

  void onEnd(int number, const std::string& outcome) {
    outcomes_.push_back(outcome);
    // The server's next response, if it sends more than one at a time, has come by then.
    loop_.after(std::chrono::milliseconds(50), [this, number] {
      if (number < exchangeCount_) {
        start(number + 1);
      } else {
        loop_.stop();
      }
    });
  }

  int exchangeCount_ = 0;
  std::size_t bodyBytes_ = 0;
  net::SocketAddress server_;
  std::vector<ClientExchange::Ptr> exchanges_;
};

TEST_F(ClientExchangeTest, CompleteAnswerLeavesConnectionForNextExchange) {
  run({{response("1")}, {response("2")}}, 2);
  EXPECT_EQ(outcomes_, (Outcomes{"ok", "ok"}));
  EXPECT_EQ(pool_.connectionsOpened(), 1U);
}

TEST_F(ClientExchangeTest, SecondAnswerEndsConnection) {
  run({{response("1") + response("2", "no")}, {response("2")}}, 2);
  EXPECT_EQ(outcomes_, (Outcomes{"ok", "ok"}));
  EXPECT_EQ(pool_.connectionsOpened(), 2U);
}

TEST_F(ClientExchangeTest, AnswerToAnotherRequestIsInvalid) {
  run({{response("7", "no")}}, 1);
  EXPECT_EQ(outcomes_, (Outcomes{"invalidResponse"}));
  EXPECT_EQ(pool_.connectionsOpened(), 1U);
}

TEST_F(ClientExchangeTest, AnswerWithoutAttemptIdIsInvalid) {
  run({{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"}}, 1);
  EXPECT_EQ(outcomes_, (Outcomes{"invalidResponse"}));
  EXPECT_EQ(pool_.connectionsOpened(), 1U);
}

TEST_F(ClientExchangeTest, AnswerThatBreaksOffIsTruncated) {
  run({{response("1").substr(0, response("1").size() - 1), true}}, 1);
  EXPECT_EQ(outcomes_, (Outcomes{"truncated"}));
  EXPECT_EQ(pool_.connectionsOpened(), 1U);
}

TEST_F(ClientExchangeTest, InterimAnswerThenEndMayHaveExecuted) {
  run({{"HTTP/1.1 102 Processing\r\n\r\n", true}}, 1);
  EXPECT_EQ(outcomes_, (Outcomes{"noResponse"}));
  EXPECT_EQ(pool_.connectionsOpened(), 1U);
}

TEST_F(ClientExchangeTest, EndOfNewConnectionWithoutAnswerMayHaveExecuted) {
  run({{"", true}}, 1);
  EXPECT_EQ(outcomes_, (Outcomes{"noResponse"}));
  EXPECT_EQ(pool_.connectionsOpened(), 1U);
}

TEST_F(ClientExchangeTest, EndOfKeptConnectionWithoutAnswerIsStaleConnection) {
  run({{response("1")}, {"", true}}, 2);
  EXPECT_EQ(outcomes_, (Outcomes{"ok", "staleConnection"}));
  EXPECT_EQ(pool_.connectionsOpened(), 1U);
}

// Guards against a head that its receiver would read as two requests: nothing of it is sent.
TEST_F(ClientExchangeTest, HeadWithALineEndInsideIsNotSent) {
  extraValue_ = "a\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1";
  run({{response("1")}}, 1, 10);
  EXPECT_EQ(outcomes_, (Outcomes{"notSent"}));
}

TEST_F(ClientExchangeTest, AnswerBeforeRequestIsSentEndsConnection) {
  // More than the kernels between them hold: most of it is still here when the answer comes.
  constexpr std::size_t kBodyBytes = 48U << 20;
  run({{response("1"), false, true}, {response("2"), false, true}}, 2, kBodyBytes);
  EXPECT_EQ(outcomes_, (Outcomes{"ok", "ok"}));
  EXPECT_EQ(pool_.connectionsOpened(), 2U);
}

}  // namespace
}  // namespace merlingauge::http
