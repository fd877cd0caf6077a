// header_passing_test: headers on the real path, in a mesh and at a gateway: whatever a header's
// value would decode to, the server runs just the caller's request and the caller gets just the
// server's response.
#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <memory>
#include <string>

#include "http/message_head.hpp"
#include "loopback/proxy_path.hpp"
#include "loopback/scripted_client.hpp"

namespace merlingauge::test {
namespace {

// A header whose value, decoded by RFC 2047, ends the head and begins another request.
constexpr const char* kHiddenRequest =
    "=?utf-8?Q?a=0D=0A=0D=0APOST_/once/short_HTTP/1.1=0D=0AHost:_echo.example=0D=0A"
    "Attempt-Id:_x-hidden=0D=0AExpected-Instance:_i0=0D=0AContent-Length:_0=0D=0A=0D=0A?=";
// The same for a response: it ends the head, and its text would be the body.
constexpr const char* kHiddenBody = "=?utf-8?B?YQ0KDQpvdGhlciBib2R5?=";

// One request on a path of its own.
class Play {
 public:
  Play(std::size_t number, bool gateway)
      : path_(loop_, number, gateway, std::nullopt, nullptr, ledger_) {}

  // Sends the request with `requestValue` in a header; the server's response has `responseValue`.
  void run(const std::string& path, const std::string& requestValue,
           const std::string& responseValue) {
    for (const auto& server : path_.servers()) {
      server->onRequest = [this](const std::string& head) {
        receivedRequestValue = headerValue(head, "Notice-Text");
      };
      server->substitute = [responseValue](const std::string&, const std::string& correct) {
        const auto statusLineEnd = correct.find("\r\n") + 2;
        return correct.substr(0, statusLineEnd) + "Notice-Text: " + responseValue + "\r\n" +
               correct.substr(statusLineEnd);
      };
    }
    ScriptedClient client(loop_, path_.clientAddress(), ledger_);
    client.onHead = [this](const std::string& head) {
      receivedResponseValue = headerValue(head, "Notice-Text");
    };
    client.onIdle = [this] { loop_.after(kAfterResponse, [this] { loop_.stop(); }); };
    client.send({{path, "asked", "Notice-Text: " + requestValue + "\r\n"}});
    loop_.after(kLimit, [this] { loop_.stop(); });
    loop_.run();
    path_.close();
  }

  void expectOneRun() {
    EXPECT_EQ(ledger_.statuses["asked"], 200);
    EXPECT_EQ(ledger_.runs.size(), 1U);
    EXPECT_EQ(ledger_.runs["asked"], 1);
    EXPECT_EQ(ledger_.heads, 1U);
    for (const auto& violation : ledger_.violations) ADD_FAILURE() << violation.text();
  }

  int status() { return ledger_.statuses["asked"]; }

  std::string receivedRequestValue;
  std::string receivedResponseValue;

 private:
  static constexpr Duration kAfterResponse = std::chrono::milliseconds(100);
  static constexpr Duration kLimit = std::chrono::seconds(10);
  EventLoop loop_;
  RequestLedger ledger_;
  ProxyPath path_;
};

// Stays, since what is left on its loop refers to it.
Play& newPlay(bool gateway) {
  static auto& plays = *new std::deque<std::unique_ptr<Play>>;
  plays.push_back(std::make_unique<Play>(plays.size(), gateway));
  return *plays.back();
}

class HeaderPassing : public testing::TestWithParam<bool> {};

// Guards against review case 1 (a gateway) and 2 (a mesh): a request hidden in a header runs.
TEST_P(HeaderPassing, NoRequestComesOutOfAHeader) {
  for (const auto* path : {"/once/short", "/safe/short"}) {
    auto& play = newPlay(GetParam());
    play.run(path, kHiddenRequest, "plain");
    play.expectOneRun();
    EXPECT_EQ(play.receivedRequestValue, kHiddenRequest);
  }
}

// Guards against a success with another body than the server's (MIXED), from a response's header.
TEST_P(HeaderPassing, NoBodyComesOutOfAHeader) {
  auto& play = newPlay(GetParam());
  play.run("/safe/short", "plain", kHiddenBody);
  play.expectOneRun();
  EXPECT_EQ(play.receivedResponseValue, kHiddenBody);
}

// Guards against a limit of a parser's own below max_header_bytes (a value of 8,192 bytes, 200
// fields), and against one that the next node on the way counts otherwise.
TEST_P(HeaderPassing, OneLongValuePasses) {
  const std::string value(15'000, 'v');
  auto& play = newPlay(GetParam());
  play.run("/once/short", value, value);
  play.expectOneRun();
  EXPECT_EQ(play.receivedRequestValue, value);
  EXPECT_EQ(play.receivedResponseValue, value);
}

TEST_P(HeaderPassing, AsManyFieldsAsACallerMaySendPass) {
  constexpr std::size_t kOwnFields = 5;  // of the request, Notice-Text included
  const auto fields = [](std::size_t count) {
    std::string lines = "first";
    for (std::size_t i = 0; i < count; ++i) lines += "\r\nF" + std::to_string(i) + ": v";
    return lines;
  };
  auto& play = newPlay(GetParam());
  play.run("/once/short", fields(http::kMaxHeaderFields - kOwnFields), "plain");
  play.expectOneRun();
  auto& beyond = newPlay(GetParam());
  beyond.run("/once/short", fields(http::kMaxHeaderFields - kOwnFields + 1), "plain");
  EXPECT_EQ(beyond.status(), 431);
}

INSTANTIATE_TEST_SUITE_P(Tiers, HeaderPassing, testing::Values(false, true),
                         [](const auto& tier) { return tier.param ? "Gateway" : "Mesh"; });

}  // namespace
}  // namespace merlingauge::test
