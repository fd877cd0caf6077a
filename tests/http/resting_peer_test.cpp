// resting_peer_test: a peer that reads nothing for a while keeps its connection, as long as its
// kernel acknowledges; one whose kernel is silent is found as soon as by TCP_USER_TIMEOUT alone.
#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event/event_loop.hpp"
#include "http/tcp_connection.hpp"

namespace merlingauge::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLongOutput = 8'000'000;  // more than both kernels hold
constexpr milliseconds kEdgeTimeout{700};       // of an edge's connections to servers
constexpr milliseconds kDefaultTimeout{2000};
// Beyond the time-out: two checks of the connection, a busy machine.
constexpr milliseconds kSlack{400};

// The peer's end of a connection, read only when the test says so.
class Peer {
 public:
  explicit Peer(const Poco::Net::StreamSocket& socket) : socket_(socket) {
    socket_.setBlocking(false);
  }
  /// Whatever is there; false once the connection has ended.
  bool read() {
    std::array<char, 65536> chunk{};
    for (;;) {
      const auto size = ::recv(socket_.impl()->sockfd(), chunk.data(), chunk.size(), 0);
      if (size > 0) received += static_cast<std::size_t>(size);
      if (size < 0 && errno == EAGAIN) return true;
      if (size <= 0) return false;
    }
  }
  /// From now on its kernel drops all that comes, as that of a machine without power does.
  void die() {
    sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &dropAll};
    ASSERT_EQ(::setsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                           sizeof program),
              0);
  }

  std::size_t received = 0;

 private:
  Poco::Net::StreamSocket socket_;
};

struct Case {
  milliseconds timeout;
  bool smallBuffer = false;  // the peer's receive buffer
};

class RestingPeer : public testing::TestWithParam<Case> {
 protected:
  RestingPeer() {
    if (GetParam().smallBuffer) server_.setReceiveBufferSize(4096);
    connection_ = TcpConnection::connect(loop_, server_.address(), seconds(1), GetParam().timeout);
    connection_->onOpen = [this] { open_ = true; };
    connection_->onEnd = [this](TcpConnection::EndReason) {
      endedAt_ = event::EventLoop::readClock();
    };
    peer_ = std::make_unique<Peer>(server_.acceptConnection());
    runUntil([this] { return open_; }, seconds(2));
  }

  /// Turns the loop until `done`; false where `limit` was over first.
  bool runUntil(const std::function<bool()>& done, Duration limit) {
    const auto deadline = event::EventLoop::readClock() + limit;
    bool held = false;
    std::function<void()> check = [&] {
      held = done();
      if (held || event::EventLoop::readClock() > deadline) {
        loop_.stop();
        return;
      }
      loop_.after(milliseconds(2), check);
    };
    loop_.after(milliseconds(0), check);
    loop_.run();
    return held;
  }
  void rest(Duration time) {
    runUntil([] { return false; }, time);
  }
  void expectGoneWithinTimeout() {
    const auto diedAt = event::EventLoop::readClock();
    peer_->die();
    ASSERT_TRUE(runUntil([this] { return endedAt_.has_value(); }, seconds(20)));
    EXPECT_LE(*endedAt_ - diedAt, GetParam().timeout + kSlack);
  }

  event::EventLoop loop_;
  Poco::Net::ServerSocket server_{Poco::Net::SocketAddress("127.0.0.1", 0)};
  TcpConnection::Ptr connection_;
  std::unique_ptr<Peer> peer_;
  bool open_ = false;
  std::optional<TimePoint> endedAt_;
};

// Guards against review case 5: a reader that paused for longer than the time-out was cut off.
TEST_P(RestingPeer, GetsEverythingAfterItsRest) {
  connection_->write(std::string(kLongOutput, 'a'));
  rest(2 * GetParam().timeout + seconds(1));
  ASSERT_FALSE(endedAt_) << "cut off while its kernel acknowledged";
  EXPECT_TRUE(
      runUntil([this] { return peer_->read() && peer_->received == kLongOutput; }, seconds(20)));
}

// Little output, all of it with the kernel: the window closes all the same.
TEST_P(RestingPeer, GetsWhatTheKernelHoldsAfterItsRest) {
  constexpr std::size_t kShortOutput = 300'000;
  connection_->write(std::string(kShortOutput, 'a'));
  rest(2 * GetParam().timeout + seconds(1));
  ASSERT_FALSE(endedAt_);
  EXPECT_TRUE(
      runUntil([this] { return peer_->read() && peer_->received == kShortOutput; }, seconds(20)));
}

TEST_P(RestingPeer, GetsEverythingFromAConnectionThatCloses) {
  connection_->write(std::string(kLongOutput, 'a'));
  connection_->closeAfterFlush();
  rest(2 * GetParam().timeout + seconds(1));
  EXPECT_TRUE(runUntil([this] { return !peer_->read(); }, seconds(20)));
  EXPECT_EQ(peer_->received, kLongOutput);
}

TEST_P(RestingPeer, RestsAgainAndAgain) {
  connection_->write(std::string(kLongOutput, 'a'));
  for (int rests = 0; rests < 3; ++rests) {
    rest(GetParam().timeout * 3 / 2);
    ASSERT_TRUE(peer_->read()) << "cut off at rest " << rests;
  }
  EXPECT_TRUE(
      runUntil([this] { return peer_->read() && peer_->received == kLongOutput; }, seconds(20)));
}

// The other half: the time-out still finds a machine that is gone.
TEST_P(RestingPeer, IsFoundGoneAtOnce) {
  connection_->write(std::string(kLongOutput, 'a'));
  rest(milliseconds(100));
  expectGoneWithinTimeout();
}

TEST_P(RestingPeer, IsFoundGoneAfterALongRest) {
  connection_->write(std::string(kLongOutput, 'a'));
  rest(3 * GetParam().timeout);
  ASSERT_FALSE(endedAt_);
  expectGoneWithinTimeout();
}

TEST_P(RestingPeer, IsFoundGoneWithTheNextOutputAfterIdleTime) {
  connection_->write("answer");
  rest(2 * GetParam().timeout);
  ASSERT_FALSE(endedAt_);
  connection_->write("another");
  expectGoneWithinTimeout();
}

INSTANTIATE_TEST_SUITE_P(Timeouts, RestingPeer,
                         testing::Values(Case{kDefaultTimeout}, Case{kEdgeTimeout},
                                         Case{kDefaultTimeout, true}, Case{kEdgeTimeout, true}),
                         [](const auto& tested) {
                           return std::string(tested.param.timeout == kEdgeTimeout ? "Edge"
                                                                                   : "Default") +
                                  (tested.param.smallBuffer ? "SmallBuffer" : "");
                         });

}  // namespace
}  // namespace merlingauge::http
