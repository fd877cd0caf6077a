// peer_rpc_test: a part of another node's message is no message: on real connections to a peer that
// breaks off.
#include "rpc/peer_rpc.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "event/event_loop.hpp"
#include "http/response_invariants.hpp"
#include "loopback/one_answer_server.hpp"

namespace merlingauge::rpc {
namespace {

using nlohmann::json;

constexpr const char* kPeer = "127.0.0.1";

class PeerRpcTest : public testing::Test {
 protected:
  // What a call gets from a peer that sends `bytes` and ends by FIN.
  std::optional<json> resultOf(const std::string& bytes) {
    const test::OneAnswerServer peer(bytes);
    std::optional<json> result;
    {
      PeerRpc rpc(loop_, peer.address().port(), invariants_);
      rpc.call(NodeId(kPeer), "/news", json::object(), std::chrono::seconds(5),
               [&](std::optional<json> answer) {
                 result = std::move(answer);
                 loop_.stop();
               });
      loop_.run();
    }
    return result;
  }

  event::EventLoop loop_;
  std::shared_ptr<http::ResponseInvariantCounters> invariants_ =
      std::make_shared<http::ResponseInvariantCounters>();
};

TEST_F(PeerRpcTest, WholeMessage) {
  EXPECT_EQ(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}"), json({{"a", 1}}));
  EXPECT_EQ(invariants_->totalViolations(), 0U);
}

// Each would parse: what is missing stands behind it.
TEST_F(PeerRpcTest, PartOfAnAnnouncedLength) {
  EXPECT_EQ(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1}"), std::nullopt);
}

TEST_F(PeerRpcTest, ChunksWithoutTheLast) {
  EXPECT_EQ(resultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n"),
            std::nullopt);
}

// Guards against an id from another node's message that ends the process, or holds it up for a name
// look-up.
TEST_F(PeerRpcTest, RecipientThatIsNoAddress) {
  PeerRpc rpc(loop_, 1, invariants_);
  int failed = 0;
  const std::string ids[] = {"", "nobody.invalid", "10.0.0.1.2", "10.0.0.1:80",
                             std::string(std::size_t{1} << 20, '1')};
  for (const auto& id : ids) {
    rpc.call(NodeId(id), "/news", json::object(), std::chrono::seconds(5),
             [&](const std::optional<json>& answer) {
               EXPECT_FALSE(answer);
               if (++failed == std::ssize(ids)) loop_.stop();
             });
  }
  loop_.run();
  EXPECT_EQ(failed, std::ssize(ids));
}

TEST_F(PeerRpcTest, NoFramingAtAll) {
  EXPECT_EQ(resultOf("HTTP/1.1 200 OK\r\n\r\n{\"a\":1}"), std::nullopt);
  EXPECT_EQ(invariants_->violations(http::ResponseInvariant::nodesFrameResponses), 1U);
}

}  // namespace
}  // namespace merlingauge::rpc
