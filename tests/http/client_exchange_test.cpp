// Calls over real connections to a stand-in peer: what of a connection may be used again, and what
// an end says of the request.
#include "http/client_exchange.hpp"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <iostream>
#include <thread>

#include "event/event_loop.hpp"
#include "http/connection_pool.hpp"
#include "http/message_headers.hpp"

namespace merlingauge::test {
namespace {

namespace net = Poco::Net;
using http::ClientExchange;
using http::FramingKind;

// Reads a head on each connection, writes its text, and closes or leaves the connection open; an
// open one serves its next head with the next text.
class Peer {
 public:
  struct Saying {
    std::string text;
    bool close = false;
    bool last = false;  // nothing more is read on that connection, and it stays open
  };
  explicit Peer(std::vector<Saying> sayings)
      : socket_(net::SocketAddress("127.0.0.1", 0)), sayings_(std::move(sayings)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~Peer() {
    over_ = true;
    thread_.join();
  }
  [[nodiscard]] net::SocketAddress address() const { return socket_.address(); }

 private:
  void serve() {
    std::vector<net::StreamSocket> open;
    std::vector<net::StreamSocket> held;
    std::size_t said = 0;
    const auto say = [&](net::StreamSocket socket) {
      std::string head;
      char byte = 0;
      while (!head.ends_with("\r\n\r\n") && socket.receiveBytes(&byte, 1) == 1) head += byte;
      if (!head.ends_with("\r\n\r\n") || said >= sayings_.size()) return;
      const auto& saying = sayings_[said++];
      socket.sendBytes(saying.text.data(), static_cast<int>(saying.text.size()));
      if (!saying.close) (saying.last ? held : open).push_back(socket);
    };
    while (!over_) {
      try {
        if (socket_.poll(Poco::Timespan(0, 5000), net::Socket::SELECT_READ)) {
          say(socket_.acceptConnection());
        }
        auto ready = std::move(open);
        open.clear();
        for (auto& socket : ready) {
          if (socket.poll(Poco::Timespan(0), net::Socket::SELECT_READ)) {
            say(socket);
          } else {
            open.push_back(socket);
          }
        }
      } catch (const Poco::Exception&) {
        // A connection that the caller dropped.
      }
    }
  }
  net::ServerSocket socket_;
  std::vector<Saying> sayings_;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

std::string answer(const std::string& id, const std::string& body = "ok") {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What became of calls "1", "2", ... made one after the other.
struct Ended {
  std::vector<std::string> calls;
  std::uint64_t dialled = 0;
};

Ended play(const std::vector<Peer::Saying>& sayings, int calls, std::size_t bodyBytes = 0) {
  event::EventLoop loop;
  http::ConnectionPool pool(loop, {});
  Peer peer(sayings);
  Ended out;
  std::vector<ClientExchange::Ptr> made;
  std::function<void(int)> make = [&](int number) {
    net::HTTPRequest request("POST", "/", "HTTP/1.1");
    request.set("Attempt-Id", std::to_string(number));
    const auto kind = bodyBytes > 0 ? FramingKind::contentLength : FramingKind::none;
    http::setFramingHeaders({kind, bodyBytes}, request);
    const auto call = pool.startExchange(peer.address(), request, kind, std::chrono::seconds(20));
    made.push_back(call);
    const auto body = std::make_shared<std::string>();
    const auto ended = [&, number](const std::string& how) {
      out.calls.push_back(how);
      // The peer's next word, if it says more than one at a time, has come by then.
      loop.after(std::chrono::milliseconds(50), [&, number] {
        if (number < calls) {
          make(number + 1);
        } else {
          loop.stop();
        }
      });
    };
    call->onBody = [body](std::string& bytes) { body->append(std::exchange(bytes, "")); };
    call->onComplete = [ended, body] { ended(*body); };
    call->onFailure = [ended](ClientExchange::Failure failure) {
      const char* const names[] = {"notSent", "stale", "unclear", "cut", "junk"};
      ended(names[static_cast<int>(failure)]);
    };
    loop.after(std::chrono::seconds(20), [&loop, &out] {
      out.calls.emplace_back("no end");
      loop.stop();
    });
    if (bodyBytes > 0) call->sendBody(std::string(bodyBytes, 'x'));
    call->endBody();
  };
  loop.defer([&] { make(1); });
  loop.run();
  out.dialled = pool.connectionsOpened();
  return out;
}

int failed = 0;
void expect(const std::string& what, const Ended& got, const std::vector<std::string>& calls,
            std::uint64_t dialled) {
  const bool ok = got.calls == calls && got.dialled == dialled;
  std::cout << (ok ? "ok: " : "FAILED: ") << what;
  for (const auto& call : got.calls) std::cout << " " << call;
  std::cout << ", " << got.dialled << " dialled\n";
  failed += ok ? 0 : 1;
}

void playAll() {
  expect("a whole answer leaves the connection for the next:",
         play({{answer("1")}, {answer("2")}}, 2), {"ok", "ok"}, 1);
  expect("a second answer ends it:", play({{answer("1") + answer("2", "no")}, {answer("2")}}, 2),
         {"ok", "ok"}, 2);
  expect("an answer to another request is nobody's:", play({{answer("7", "no")}}, 1), {"junk"}, 1);
  expect("an answer without a request's id neither:",
         play({{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"}}, 1), {"junk"}, 1);
  expect("an answer that breaks off is not whole:",
         play({{answer("1").substr(0, answer("1").size() - 1), true}}, 1), {"cut"}, 1);
  expect("an interim answer, then the end: it may have run:",
         play({{"HTTP/1.1 102 Processing\r\n\r\n", true}}, 1), {"unclear"}, 1);
  expect("no word and the end: it may have run:", play({{"", true}}, 1), {"unclear"}, 1);
  expect("a kept connection that ends without a word:", play({{answer("1")}, {"", true}}, 2),
         {"ok", "stale"}, 1);
  // More than the kernels between them hold: most of it is still here when the answer comes.
  expect("an answer before the request is out ends the connection:",
         play({{answer("1"), false, true}, {answer("2"), false, true}}, 2, 48U << 20), {"ok", "ok"},
         2);
}

}  // namespace
}  // namespace merlingauge::test

int main() {
  merlingauge::test::playAll();
  return merlingauge::test::failed == 0 ? 0 : 1;
}
