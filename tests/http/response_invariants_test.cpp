// response_invariants_test: whoever serves a request wrongly is found out, counted, and what it has
// sent can't be taken for a whole answer; on a real connection.
#include "http/response_invariants.hpp"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <string>
#include <thread>

#include "event/event_loop.hpp"
#include "http/http_listener.hpp"
#include "http/server_exchange.hpp"
#include "loopback/response_reader.hpp"

namespace merlingauge::http {
namespace {

using Poco::Net::HTTPResponse;
using test::ReceivedResponse;
using test::ResponseReader;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n\r\n";

class ResponseInvariantsTest : public testing::Test {
 protected:
  // What a caller makes of the answer that `serve` gives to kRequest.
  ReceivedResponse answerOf(std::function<void(ServerExchange&)> serve) {
    listener_.context->onExchange =
        [serve = std::move(serve)](const ServerExchange::Ptr& exchange) { serve(*exchange); };
    ResponseReader reader;
    std::thread caller([&] {
      readAnswer(reader);
      loop_.post([this] { loop_.stop(); });
    });
    loop_.run();
    caller.join();
    return reader.responses().empty() ? ReceivedResponse{} : reader.responses().front();
  }

  static HTTPResponse head(const std::string& attemptId) {
    HTTPResponse response(HTTPResponse::HTTP_OK);
    response.set("Attempt-Id", attemptId);
    return response;
  }

  [[nodiscard]] std::uint64_t violations(ResponseInvariant invariant) const {
    return listener_.context->invariants->violations(invariant);
  }
  [[nodiscard]] std::uint64_t totalViolations() const {
    return listener_.context->invariants->totalViolations();
  }

  event::EventLoop loop_;
  HttpListener listener_{loop_, Poco::Net::SocketAddress("127.0.0.1", kPort), 10};

 private:
  static constexpr std::uint16_t kPort = 21840;

  static void readAnswer(ResponseReader& reader) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress("127.0.0.1", kPort)};
    socket.sendBytes(kRequest.data(), static_cast<int>(kRequest.size()));
    std::array<char, 4096> chunk{};
    while (reader.responses().empty()) {
      const int size = socket.receiveBytes(chunk.data(), chunk.size());
      if (size <= 0) {
        reader.end(ResponseReader::ConnectionEnd::closed);
        return;
      }
      reader.add({chunk.data(), static_cast<std::size_t>(size)});
    }
  }
};

TEST_F(ResponseInvariantsTest, SoundAnswerIsWhole) {
  const auto answer = answerOf([](ServerExchange& exchange) {
    auto response = head("a1");
    exchange.sendHead(response, {FramingKind::contentLength, 4});
    exchange.sendBody("body");
    exchange.endRelayedResponse({FramingKind::contentLength, MessageEnd::contentLength, 4});
  });
  EXPECT_EQ(answer.ending, ReceivedResponse::Ending::whole);
  EXPECT_EQ(answer.body, "body");
  EXPECT_EQ(totalViolations(), 0U);
}

TEST_F(ResponseInvariantsTest, ShorterBodyThanDeclared) {
  const auto answer = answerOf([](ServerExchange& exchange) {
    auto response = head("a1");
    exchange.sendHead(response, {FramingKind::contentLength, 10});
    exchange.sendBody("body");
    exchange.endResponse();
  });
  EXPECT_EQ(answer.ending, ReceivedResponse::Ending::brokenOff);
  EXPECT_EQ(violations(ResponseInvariant::declaredLength), 1U);
}

TEST_F(ResponseInvariantsTest, AnswerToAnotherRequest) {
  const auto answer = answerOf([](ServerExchange& exchange) {
    auto response = head("another");
    exchange.sendHead(response, {FramingKind::none, 0});
    exchange.endResponse();
  });
  EXPECT_EQ(answer.ending, ReceivedResponse::Ending::brokenOff);
  EXPECT_EQ(violations(ResponseInvariant::answersItsRequest), 1U);
}

TEST_F(ResponseInvariantsTest, SourceThatBrokeOff) {
  const auto answer = answerOf([](ServerExchange& exchange) {
    auto response = head("a1");
    exchange.sendHead(response, {FramingKind::untilClose, 0});
    exchange.sendBody("half");
    exchange.endRelayedResponse({FramingKind::untilClose, MessageEnd::reset, 4});
  });
  EXPECT_EQ(answer.ending, ReceivedResponse::Ending::brokenOff);
  EXPECT_EQ(violations(ResponseInvariant::sourceIsWhole), 1U);
}

TEST_F(ResponseInvariantsTest, OtherBytesThanTheSources) {
  const auto answer = answerOf([](ServerExchange& exchange) {
    auto response = head("a1");
    exchange.sendHead(response, {FramingKind::chunked, 0});
    exchange.sendBody("three");
    exchange.endRelayedResponse({FramingKind::chunked, MessageEnd::lastChunk, 3});
  });
  EXPECT_EQ(answer.ending, ReceivedResponse::Ending::brokenOff);
  EXPECT_EQ(violations(ResponseInvariant::bodyIsTheSources), 1U);
}

TEST_F(ResponseInvariantsTest, EndsAreCounted) {
  answerOf([](ServerExchange& exchange) { exchange.respond(200, "OK", "x", "text/plain"); });
  answerOf([](ServerExchange& exchange) {
    auto response = head("a1");
    exchange.sendHead(response, {FramingKind::chunked, 0});
    exchange.abortResponse();
  });
  EXPECT_EQ(listener_.context->responseEnds.whole, 1U);
  EXPECT_EQ(listener_.context->responseEnds.partial, 1U);
  EXPECT_EQ(totalViolations(), 0U);
}

}  // namespace
}  // namespace merlingauge::http
