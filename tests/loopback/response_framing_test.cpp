// response_framing_test: responses of every framing, whole and broken off by their server, on the
// real egress, ingress and edge over kernel sockets. A caller never takes a part for a whole, and a
// whole response on a connection arrives whatever becomes of a later one.
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "loopback/proxy_path.hpp"
#include "loopback/response_reader.hpp"
#include "loopback/test_messages.hpp"

namespace merlingauge::test {
namespace {

using std::chrono::seconds;
using AfterResponse = InstanceServer::AfterResponse;

enum class Framing : std::uint8_t { untilClose, length, chunked };
constexpr std::array<const char*, 3> kFramingNames = {"UntilClose", "Length", "Chunked"};

// How the server ends the response.
enum class ServerEnd : std::uint8_t {
  whole,
  resetInBody,    // half of the body, then RST
  closeInBody,    // half of the body, then FIN
  resetAfterBody  // the whole body but nothing that says so (no FIN, no last chunk), then RST
};
constexpr std::array<const char*, 4> kServerEndNames = {"Whole", "ResetInBody", "CloseInBody",
                                                        "ResetAfterBody"};

// The connection that the request comes on.
enum class Caller : std::uint8_t {
  fresh,       // HTTP/1.1
  kept,        // HTTP/1.1, behind an earlier response
  pipelined,   // HTTP/1.1, an earlier and a later request sent with it
  overtaking,  // the same, and the earlier one is answered only after it has ended
  http10,      // HTTP/1.0
  http10Kept,  // HTTP/1.0 with Connection: keep-alive, behind an earlier response
};
constexpr std::array<const char*, 6> kCallerNames = {"Fresh",      "Kept",   "Pipelined",
                                                     "Overtaking", "Http10", "Http10Kept"};
// In which the target request has ended, with the retry of one.
constexpr std::chrono::milliseconds kSlowResponse{150};

struct Scenario {
  bool gateway = false;
  bool nonIdempotent = false;
  bool isLong = false;
  Framing framing = Framing::untilClose;
  ServerEnd end = ServerEnd::whole;
  Caller caller = Caller::fresh;
  std::string extraHeader = {};    // of the response, its line end in front
  std::string requestHeader = {};  // of the target request, its line end behind
  bool earlyPausesHalfWay = false;
  std::string statusLine = "200 OK";  // of the response

  [[nodiscard]] std::string name() const {
    return std::string(gateway ? "Gateway" : "Mesh") + (nonIdempotent ? "Once" : "Safe") +
           (isLong ? "Long" : "Short") + kFramingNames.at(static_cast<std::size_t>(framing)) +
           kServerEndNames.at(static_cast<std::size_t>(end)) +
           kCallerNames.at(static_cast<std::size_t>(caller));
  }
  [[nodiscard]] bool isHttp10() const {
    return caller == Caller::http10 || caller == Caller::http10Kept;
  }
  [[nodiscard]] bool isPipelined() const {
    return caller == Caller::pipelined || caller == Caller::overtaking;
  }
  [[nodiscard]] bool isKept() const {
    return caller == Caller::kept || caller == Caller::http10Kept;
  }
};

// A response without a length that its server ends by FIN is whole as far as anybody can tell.
bool isAmbiguous(const Scenario& scenario) {
  return scenario.framing == Framing::untilClose && scenario.end == ServerEnd::closeInBody;
}

std::vector<Scenario> scenarios() {
  std::vector<Scenario> all;
  for (unsigned flags = 0; flags < 8; ++flags) {
    for (std::size_t framing = 0; framing < kFramingNames.size(); ++framing) {
      for (std::size_t end = 0; end < kServerEndNames.size(); ++end) {
        for (std::size_t caller = 0; caller < kCallerNames.size(); ++caller) {
          Scenario scenario;
          scenario.gateway = (flags & 1) != 0;
          scenario.nonIdempotent = (flags & 2) != 0;
          scenario.isLong = (flags & 4) != 0;
          scenario.framing = static_cast<Framing>(framing);
          scenario.end = static_cast<ServerEnd>(end);
          scenario.caller = static_cast<Caller>(caller);
          if (!isAmbiguous(scenario)) all.push_back(scenario);
        }
      }
    }
  }
  return all;
}

const std::string kTargetId = "target";

// What the server sends for the target request.
std::string targetResponse(const Scenario& scenario) {
  const auto whole = responseBody(kTargetId, scenario.isLong);
  const bool half =
      scenario.end == ServerEnd::resetInBody || scenario.end == ServerEnd::closeInBody;
  const auto body = half ? whole.substr(0, whole.size() / 2) : whole;
  std::string text = "HTTP/1.1 " + scenario.statusLine + "\r\nAttempt-Id: " + kTargetId +
                     "\r\nResponse-Seal: seal " + kTargetId;
  text += scenario.extraHeader;
  switch (scenario.framing) {
    case Framing::length:
      return text + "\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + body;
    case Framing::chunked:
      text += "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf(body);
      return text + (scenario.end == ServerEnd::whole ? "0\r\n\r\n" : "");
    case Framing::untilClose:
      break;
  }
  return text + "\r\n\r\n" + body;
}

AfterResponse afterTarget(const Scenario& scenario) {
  switch (scenario.end) {
    case ServerEnd::whole:
      return scenario.framing == Framing::untilClose ? AfterResponse::close
                                                     : AfterResponse::keepOpen;
    case ServerEnd::closeInBody:
      return AfterResponse::close;
    case ServerEnd::resetInBody:
    case ServerEnd::resetAfterBody:
      return AfterResponse::reset;
  }
  return AfterResponse::keepOpen;
}

// Sends the requests of a scenario and keeps what comes back. Stays where it is until the process
// ends, like the loop, which may refer to it.
class Play {
 public:
  Play(EventLoop& loop, const Scenario& scenario, std::size_t number)
      : loop_(loop),
        scenario_(scenario),
        path_(loop, number, scenario.gateway, std::nullopt, {}, ledger_) {
    for (const auto& server : path_.servers()) {
      server->substitute = [scenario](const std::string& id, const std::string& correctResponse) {
        return id == kTargetId ? targetResponse(scenario) : correctResponse;
      };
      if (scenario.caller == Caller::overtaking) {
        server->delay = [](const std::string& id) {
          return id == "early" ? Duration(kSlowResponse) : Duration(0);
        };
      }
      if (scenario.earlyPausesHalfWay) {
        server->pausesHalfWay = [](const std::string& id) { return id == "early"; };
      }
      server->afterResponse = [scenario](const std::string& id) {
        return id == kTargetId ? afterTarget(scenario) : AfterResponse::keepOpen;
      };
    }
  }

  void run() {
    connection_ = SocketEndpoint::connect(loop_, path_.clientAddress());
    ASSERT_TRUE(connection_);
    connection_->onData = [this] { onData(); };
    connection_->onEnd = [this](SocketEndpoint::End end) {
      reader_.end(end == SocketEndpoint::End::closed ? ResponseReader::ConnectionEnd::closed
                                                     : ResponseReader::ConnectionEnd::reset);
      loop_.stop();
    };
    expected_ = 1;
    if (scenario_.isKept()) {
      connection_->write(request("early"));
    } else if (scenario_.earlyPausesHalfWay) {
      expected_ = 3;
      connection_->write(request("early"));
    } else if (scenario_.isPipelined()) {
      expected_ = 3;
      connection_->write(request("early") + request(kTargetId) + request("later"));
    } else {
      connection_->write(request(kTargetId));
    }
    loop_.after(seconds(10), [this] {
      timedOut_ = true;
      loop_.stop();
    });
    loop_.run();
    connection_->reset();
    path_.close();
  }

  [[nodiscard]] const std::vector<ReceivedResponse>& responses() const {
    return reader_.responses();
  }
  [[nodiscard]] const std::string& received() const { return received_; }
  [[nodiscard]] std::uint64_t invariantViolations() const { return path_.invariantViolations(); }
  [[nodiscard]] bool timedOut() const { return timedOut_ && !done_; }

 private:
  [[nodiscard]] std::string request(const std::string& id) const {
    const bool once = scenario_.nonIdempotent && id == kTargetId;
    const std::string path =
        std::string(once ? "/once" : "/safe") + (scenario_.isLong ? "/big" : "/short");
    auto text = requestTo(path, id);
    const auto fields = text.find("\r\n") + 2;
    if (id == kTargetId) text.insert(fields, scenario_.requestHeader);
    if (!scenario_.isHttp10()) return text;
    text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
    return scenario_.isKept() ? text.insert(fields, "Connection: keep-alive\r\n") : text;
  }

  void onData() {
    received_ += connection_->received;
    reader_.add(std::exchange(connection_->received, {}));
    if (scenario_.isKept() && !targetSent_ && reader_.responses().size() == 1) {
      targetSent_ = true;
      expected_ = 2;
      connection_->write(request(kTargetId));
    }
    if (scenario_.earlyPausesHalfWay && !targetSent_) {
      targetSent_ = true;  // the first half of the early response has come
      connection_->write(request(kTargetId) + request("later"));
    }
    if (reader_.responses().size() < expected_) return;
    done_ = true;
    loop_.stop();
  }

  EventLoop& loop_;
  Scenario scenario_;
  RequestLedger ledger_;
  ProxyPath path_;
  SocketEndpoint::Ptr connection_;
  ResponseReader reader_;
  std::string received_;
  std::size_t expected_ = 0;
  bool targetSent_ = false;
  bool timedOut_ = false;
  bool done_ = false;
};

// Plays a scenario on a loop of its own. Both stay, since what is left on the loop refers to them.
const Play& playOut(const Scenario& scenario) {
  struct Kept {
    explicit Kept(const Scenario& scenario, std::size_t number) : play(loop, scenario, number) {}
    EventLoop loop;
    Play play;
  };
  static auto& kept = *new std::deque<std::unique_ptr<Kept>>;
  kept.push_back(std::make_unique<Kept>(scenario, kept.size()));
  kept.back()->play.run();
  return kept.back()->play;
}

class ResponseFramingTest : public testing::TestWithParam<Scenario> {};

void expectWhole(const ReceivedResponse& response, const std::string& id, bool isLong) {
  EXPECT_EQ(response.ending, ReceivedResponse::Ending::whole) << id;
  EXPECT_EQ(response.status, 200) << id;
  EXPECT_EQ(response.seal, "seal " + id);
  EXPECT_TRUE(response.body == responseBody(id, isLong))
      << id << ": " << response.body.size() << " bytes of body, framed by " << response.framing;
}

TEST_P(ResponseFramingTest, APartNeverLooksWhole) {
  const auto& scenario = GetParam();
  const auto& play = playOut(scenario);
  ASSERT_FALSE(play.timedOut());
  EXPECT_EQ(play.invariantViolations(), 0U);
  auto responses = play.responses();
  if (scenario.isKept() || scenario.isPipelined()) {
    ASSERT_FALSE(responses.empty());
    expectWhole(responses.front(), "early", scenario.isLong);
    responses.erase(responses.begin());
  }
  const bool bodyIsComplete =
      scenario.framing == Framing::length && scenario.end == ServerEnd::resetAfterBody;
  if (scenario.end == ServerEnd::whole || bodyIsComplete) {
    ASSERT_FALSE(responses.empty());
    expectWhole(responses.front(), kTargetId, scenario.isLong);
  }
  for (const auto& response : responses) {
    EXPECT_NE(response.ending, ReceivedResponse::Ending::malformed);
    EXPECT_FALSE(scenario.isHttp10() && response.framing == "chunked");
    const bool success = response.status >= 200 && response.status < 300;
    if (response.ending != ReceivedResponse::Ending::whole || !success) continue;
    expectWhole(response, response.attemptId, scenario.isLong);
  }
}

// Only the node may promise that a request was not executed, however long the server's words are.
TEST(UnprovenRejectionTest, IsNeverPassedOn) {
  for (const bool gateway : {false, true}) {
    for (const bool isLong : {false, true}) {
      Scenario scenario;
      scenario.gateway = gateway;
      scenario.isLong = isLong;
      scenario.nonIdempotent = true;
      scenario.framing = Framing::length;
      scenario.statusLine = "503 Service Unavailable";
      const auto& play = playOut(scenario);
      ASSERT_FALSE(play.timedOut());
      ASSERT_EQ(play.responses().size(), 1U);
      EXPECT_EQ(play.responses()[0].status, 502);
    }
  }
}

// A request behind one whose answer is half-way asks for leave to send its body.
TEST(ExpectContinueTest, InterimAnswerWaitsItsTurn) {
  for (const bool gateway : {false, true}) {
    Scenario scenario;
    scenario.gateway = gateway;
    scenario.isLong = true;
    scenario.framing = Framing::length;
    scenario.caller = Caller::pipelined;
    scenario.earlyPausesHalfWay = true;
    scenario.requestHeader = "Expect: 100-continue\r\n";
    const auto& play = playOut(scenario);
    EXPECT_FALSE(play.timedOut());
    ASSERT_EQ(play.responses().size(), 3U);
    expectWhole(play.responses()[0], "early", true);
    expectWhole(play.responses()[1], kTargetId, true);
    expectWhole(play.responses()[2], "later", true);
  }
}

// HTTP/1.0 knows no interim answers.
TEST(ExpectContinueTest, CallerOfHttp10GetsNone) {
  Scenario scenario;
  scenario.framing = Framing::length;
  scenario.caller = Caller::http10;
  scenario.requestHeader = "Expect: 100-continue\r\n";
  const auto& play = playOut(scenario);
  EXPECT_FALSE(play.timedOut());
  EXPECT_EQ(play.received().find("HTTP/1.1 200"), 0U) << play.received().substr(0, 40);
}

// What a server says of its connection takes nothing of the answer along.
TEST(ConnectionOptionsTest, CannotTakeTheIdOrTheSealAway) {
  for (const std::string option : {"Attempt-Id", "Response-Seal", "close, response-seal"}) {
    for (const bool gateway : {false, true}) {
      for (const bool isLong : {false, true}) {
        Scenario scenario;
        scenario.gateway = gateway;
        scenario.isLong = isLong;
        scenario.framing = Framing::length;
        scenario.extraHeader = "\r\nConnection: " + option;
        const auto& play = playOut(scenario);
        EXPECT_FALSE(play.timedOut()) << option;
        EXPECT_EQ(play.invariantViolations(), 0U) << option;
        for (const auto& response : play.responses()) EXPECT_GE(response.status, 500) << option;
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(All, ResponseFramingTest, testing::ValuesIn(scenarios()),
                         [](const testing::TestParamInfo<Scenario>& param) {
                           return param.param.name();
                         });

}  // namespace
}  // namespace merlingauge::test
