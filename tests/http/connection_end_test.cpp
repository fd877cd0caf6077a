// connection_end_test: what the kernel of the other side reports when a TcpConnection ends, and
// what a TcpConnection reports when the other side ends. Comments in src/ that say so rest on this.
#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event/event_loop.hpp"
#include "http/tcp_connection.hpp"

namespace merlingauge::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a reader gets from a connection up to its end.
struct ReadToEnd {
  std::string bytes;
  int error = 0;  // 0: an orderly end
};

// A plain socket of the kernel's, without anything of the program's.
class PlainSocket {
 public:
  explicit PlainSocket(const Poco::Net::StreamSocket& socket) : socket_(socket) {
    socket_.setBlocking(false);
  }

  // Reads what is there; nothing while the connection goes on.
  std::optional<ReadToEnd> poll(std::size_t atMost = std::string::npos) {
    std::array<char, 4096> chunk{};
    while (atMost > 0) {
      const auto size = ::recv(descriptor(), chunk.data(), std::min(chunk.size(), atMost), 0);
      if (size > 0) {
        result_.bytes.append(chunk.data(), static_cast<std::size_t>(size));
        atMost -= static_cast<std::size_t>(size);
        continue;
      }
      if (size < 0 && errno == EAGAIN) return std::nullopt;
      result_.error = size == 0 ? 0 : errno;
      return result_;
    }
    return std::nullopt;
  }
  void send(const std::string& bytes) {
    ASSERT_EQ(::send(descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  void close() { socket_.close(); }
  void reset() {
    socket_.setLinger(true, 0);
    socket_.close();
  }
  void setSmallReceiveBuffer() { socket_.setReceiveBufferSize(4096); }

 private:
  [[nodiscard]] int descriptor() const { return socket_.impl()->sockfd(); }

  Poco::Net::StreamSocket socket_;
  ReadToEnd result_;
};

std::string textOf(std::size_t size) {
  std::string text;
  text.resize(size, 'a');
  return text;
}

class ConnectionEndTest : public testing::Test {
 protected:
  ConnectionEndTest() {
    peer_ = std::make_unique<PlainSocket>(Poco::Net::StreamSocket(server_.address()));
    connection_ = TcpConnection::adopt(loop_, server_.acceptConnection());
  }

  // Turns the loop until `done`, 10 s at most.
  void runUntil(const std::function<bool()>& done) {
    const auto deadline = event::EventLoop::readClock() + seconds(10);
    std::function<void()> check = [&] {
      if (done() || event::EventLoop::readClock() > deadline) {
        loop_.stop();
        return;
      }
      loop_.after(milliseconds(2), check);
    };
    loop_.after(milliseconds(0), check);
    loop_.run();
  }

  // What the peer reads to the end; `bytesPerTurn` makes it a slow reader.
  ReadToEnd readToEnd(std::size_t bytesPerTurn = std::string::npos) {
    std::optional<ReadToEnd> result;
    runUntil([&] {
      result = peer_->poll(bytesPerTurn);
      return result.has_value();
    });
    EXPECT_TRUE(result) << "no end was seen";
    return result.value_or(ReadToEnd{"", -1});
  }

  void leaveUnreadInput() {
    connection_->enableReading(false);
    peer_->send("nobody reads this");
    bool waited = false;
    loop_.after(milliseconds(20), [&] { waited = true; });
    runUntil([&] { return waited; });
  }

  event::EventLoop loop_;
  Poco::Net::ServerSocket server_{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::unique_ptr<PlainSocket> peer_;
  TcpConnection::Ptr connection_;
};

TEST_F(ConnectionEndTest, CloseIsOrderly) {
  connection_->close();
  EXPECT_EQ(readToEnd().error, 0);
}

TEST_F(ConnectionEndTest, CloseWithUnreadInputIsAReset) {
  leaveUnreadInput();
  connection_->close();
  EXPECT_EQ(readToEnd().error, ECONNRESET);
}

TEST_F(ConnectionEndTest, CloseAfterFlushDeliversEverythingAndIsOrderly) {
  const auto text = textOf(3000000);
  connection_->write(text);
  connection_->closeAfterFlush();
  const auto read = readToEnd(100000);
  EXPECT_EQ(read.error, 0);
  EXPECT_TRUE(read.bytes == text) << read.bytes.size();
}

TEST_F(ConnectionEndTest, CloseAfterFlushIsOrderlyDespiteUnreadInput) {
  leaveUnreadInput();
  connection_->write("answer");
  connection_->closeAfterFlush();
  const auto read = readToEnd();
  EXPECT_EQ(read.error, 0);
  EXPECT_EQ(read.bytes, "answer");
}

// Longer in all than kLingerTimeout, with progress all the time.
TEST_F(ConnectionEndTest, CloseAfterFlushWaitsForASlowReader) {
  const auto text = textOf(16000000);
  connection_->write(text);
  connection_->closeAfterFlush();
  const auto begin = event::EventLoop::readClock();
  const auto read = readToEnd(12000);
  EXPECT_GT(event::EventLoop::readClock() - begin, seconds(2));
  EXPECT_EQ(read.error, 0);
  EXPECT_TRUE(read.bytes == text) << read.bytes.size();
}

TEST_F(ConnectionEndTest, AbortAfterFlushDeliversEverythingAndIsAReset) {
  const auto text = textOf(3000000);
  connection_->write(text);
  connection_->abortAfterFlush();
  const auto read = readToEnd(100000);
  EXPECT_EQ(read.error, ECONNRESET);
  EXPECT_TRUE(read.bytes == text) << read.bytes.size();
}

TEST_F(ConnectionEndTest, AbortiveCloseIsAReset) {
  connection_->setAbortiveClose(true);
  connection_->close();
  EXPECT_EQ(readToEnd().error, ECONNRESET);
}

TEST_F(ConnectionEndTest, AbortiveCloseHoldsWithoutClose) {
  connection_->setAbortiveClose(true);
  connection_.reset();
  EXPECT_EQ(readToEnd().error, ECONNRESET);
}

TEST_F(ConnectionEndTest, CloseAfterFlushTakesAbortiveCloseBack) {
  connection_->setAbortiveClose(true);
  connection_->write("all of it");
  connection_->closeAfterFlush();
  const auto read = readToEnd();
  EXPECT_EQ(read.error, 0);
  EXPECT_EQ(read.bytes, "all of it");
}

// The output of a reader that stands still can't leave: a part must not look whole.
TEST_F(ConnectionEndTest, AbortiveCloseHoldsWhereOutputIsGivenUp) {
  peer_->setSmallReceiveBuffer();
  connection_->setAbortiveClose(true);
  connection_->write(textOf(30000000));
  connection_->closeAfterFlush();
  const auto ended = std::weak_ptr<TcpConnection>(connection_);
  connection_.reset();
  runUntil([&] { return ended.expired(); });
  EXPECT_EQ(readToEnd().error, ECONNRESET);
}

// How a process that is killed leaves its connection. The child only holds the socket.
ReadToEnd endOfKilledProcess(bool abortive) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  PlainSocket peer{Poco::Net::StreamSocket(server.address())};
  const pid_t child = ::fork();
  if (child == 0) {
    event::EventLoop loop;
    const auto connection = TcpConnection::adopt(loop, server.acceptConnection());
    if (abortive) connection->setAbortiveClose(true);
    connection->write("half of an answer");
    loop.run();
    ::_exit(0);
  }
  std::optional<ReadToEnd> result;
  bool killed = false;
  for (int turn = 0; turn < 5000 && !result; ++turn) {
    ::usleep(2000);
    result = peer.poll();
    if (turn < 50 || killed) continue;
    killed = true;
    ::kill(child, SIGKILL);
  }
  ::waitpid(child, nullptr, 0);
  EXPECT_TRUE(result);
  return result.value_or(ReadToEnd{"", -1});
}

TEST(KilledProcessTest, LeavesAnOrderlyEnd) {
  const auto read = endOfKilledProcess(false);
  EXPECT_EQ(read.error, 0);
  EXPECT_EQ(read.bytes, "half of an answer");
}

TEST(KilledProcessTest, LeavesAResetWhereTheCloseIsAbortive) {
  const auto read = endOfKilledProcess(true);
  EXPECT_EQ(read.error, ECONNRESET);
  EXPECT_EQ(read.bytes, "half of an answer");
}

// The other way round: what the connection tells of its peer.
class PeerEndTest : public ConnectionEndTest {
 protected:
  PeerEndTest() {
    connection_->onEnd = [this](TcpConnection::EndReason reason) { reason_ = reason; };
    connection_->onData = [] {};
  }
  TcpConnection::EndReason reason() {
    runUntil([&] { return reason_.has_value(); });
    EXPECT_TRUE(reason_);
    return reason_.value_or(TcpConnection::EndReason::connectFailed);
  }
  void waitFor(milliseconds wait) { ::usleep(static_cast<useconds_t>(wait.count()) * 1000); }

  std::optional<TcpConnection::EndReason> reason_;
};

TEST_F(PeerEndTest, OrderlyEndIsClosed) {
  peer_->send("bytes");
  peer_->close();
  EXPECT_EQ(reason(), TcpConnection::EndReason::closed);
  EXPECT_EQ(connection_->input, "bytes");
}

TEST_F(PeerEndTest, ResetBehindBytesDeliversThemFirst) {
  peer_->send("bytes");
  waitFor(milliseconds(20));
  peer_->reset();
  EXPECT_EQ(reason(), TcpConnection::EndReason::reset);
  EXPECT_EQ(connection_->input, "bytes");
}

TEST_F(PeerEndTest, ResetStaysAResetAfterALook) {
  peer_->reset();
  waitFor(milliseconds(20));
  EXPECT_TRUE(connection_->closedByPeer());
  EXPECT_EQ(reason(), TcpConnection::EndReason::reset);
}

TEST_F(PeerEndTest, ResetWhileReadingIsPausedIsAReset) {
  connection_->enableReading(false);
  peer_->send("bytes");
  waitFor(milliseconds(20));
  peer_->reset();
  waitFor(milliseconds(20));
  connection_->enableReading(true);
  EXPECT_EQ(reason(), TcpConnection::EndReason::reset);
  EXPECT_EQ(connection_->input, "bytes");
}

}  // namespace
}  // namespace merlingauge::http
