// Bad input from a seeded generator, beside the cases written by hand in scenarios/heads.txt: to
// the ways in of the real path, to whoever reads a server's answers, and to whoever reads what
// nodes say to each other. Always a clear answer or a closed connection, never a byte to the wrong
// client, never a crash.
//   hostile_input_test SEEDS
#include <algorithm>
#include <csignal>
#include <iostream>

#include "config/config_text.hpp"
#include "loopback/damaged_messages.hpp"
#include "loopback/hostile_peers.hpp"
#include "loopback/proxy_path.hpp"
#include "loopback/scripted_client.hpp"

namespace merlingauge::test {
namespace {

constexpr double kLookMs = 15;     // a bad caller stays for so long
constexpr double kEndMs = 120000;  // whatever waits still, hangs

std::string asChunks(const std::string& body) {
  std::string out;
  for (std::size_t at = 0; at < body.size(); at += 25) {
    const auto part = body.substr(at, 25);
    out += (part.size() == 25 ? "19" : "0E") + std::string("\r\n") + part + "\r\n";
  }
  return out + "0\r\n\r\n";
}

std::string someRequest(const std::string& id, Random& random) {
  const auto head = "Host: echo.example\r\nDeadline-Ms: 900\r\nAttempt-Id: " + id +
                    "\r\nComment: =?utf-8?Q?a=0D=0A=0D=0APOST_/once/short_HTTP/1.1=0D=0A?=\r\n";
  const auto inside = requestTo("/once/short", "x-smuggled");
  switch (below(random, 6)) {
    case 0:
      return "GET /safe/short HTTP/1.1\r\n" + head + "\r\n";
    case 1:
      return "POST /once/short HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" +
             asChunks(requestBody(id));
    case 2:
      return "POST /once/short HTTP/1.1\r\n" + head +
             "Content-Length: " + std::to_string(inside.size()) + "\r\n\r\n" + inside;
    case 3:
      return "POST /once/short HTTP/1.1\r\n" + head +
             "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody";
    case 4:
      return requestTo("/safe/short", id) + requestTo("/once/short", id + "b") +
             requestTo("/safe/short", id + "c");
    default:
      return requestTo("/once/short", id);
  }
}

std::string someAnswer(const std::string& honest, const std::string& id, Random& random) {
  const auto head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal " + id + "\r\n";
  switch (below(random, 7)) {
    case 0:
      return head + "Transfer-Encoding: chunked\r\n\r\n" + asChunks(responseBody(id, false));
    case 1:
      return "HTTP/1.1 102 Processing\r\n\r\n" + honest;
    case 2:
      return "HTTP/1.1 204 No Content\r\nAttempt-Id: " + id + "\r\nResponse-Seal: s\r\n\r\n";
    case 3:
      return honest + responseTo("stray", false);
    case 4:
      return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id +
             "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    case 5:
      return head +
             "Connection: close\r\nKeep-Alive: timeout=99999999999\r\nInstance-Load: 1e999,x\r\n"
             "Content-Length: 2\r\n\r\nok";
    default:
      return honest;
  }
}

// Shared by the two plays on sockets.
struct Outcome {
  std::size_t asked = 0;
  std::size_t right = 0;
  std::vector<std::string> wrong;
};

// Bad callers beside an honest one, whose requests all have to be served.
class BadCallers {
 public:
  BadCallers(EventLoop& loop, std::size_t number, bool gateway, int attacks,
             std::function<void()> done)
      : loop_(loop),
        random_(number),
        left_(attacks),
        done_(std::move(done)),
        path_(loop, number, gateway, std::nullopt, nullptr, ledger_),
        gateway_(gateway) {
    client_ = newClient();
    next();
  }
  void tell(Outcome& out) {
    for (int i = 0; i < honest_; ++i) {
      const auto id = "honest-" + std::to_string(i);
      ++out.asked;
      out.right += ledger_.statuses[id] == 200 && ledger_.runs[id] == 1 ? 1 : 0;
    }
    for (const auto& violation : ledger_.violations) {
      // What a bad caller sends may well be a sound request with another body.
      if (violation.kind != "changed" ||
          violation.description.find("of honest-") != std::string::npos) {
        out.wrong.push_back(violation.text());
      }
    }
    if (ledger_.heads > path_.forwardedRequests()) {
      out.wrong.push_back("servers read " + std::to_string(ledger_.heads) + " requests, " +
                          std::to_string(path_.forwardedRequests()) + " were passed on");
    }
  }

 private:
  std::unique_ptr<ScriptedClient> newClient() {
    auto client = std::make_unique<ScriptedClient>(loop_, path_.clientAddress(), ledger_);
    client->onIdle = [this] {
      if (std::exchange(asking_, false)) loop_.after(Duration(0), [this] { next(); });
    };
    return client;
  }
  void next() {
    if (left_-- == 0) {
      path_.close();
      done_();
      return;
    }
    // Now and then at the node beside a server: whoever is in reach may call there.
    const bool inside = !gateway_ && below(random_, 3) == 0;
    bad_ =
        SocketEndpoint::connect(loop_, inside ? path_.at(0, kIngressPort) : path_.clientAddress());
    got_.clear();
    bad_->onData = [this] { got_ += std::exchange(bad_->received, ""); };
    const auto text = damagedText(someRequest("x" + std::to_string(left_), random_), random_);
    const auto cut = below(random_, text.size() + 1);
    bad_->write(std::string_view(text).substr(0, cut));
    loop_.after(fromMillis(1), [this, rest = text.substr(cut)] {
      bad_->write(rest);
      if (below(random_, 4) == 0) bad_->halfClose();
      asking_ = true;
      const bool once = below(random_, 2) == 0;
      if (!client_->isOpen()) client_ = newClient();
      client_->send(
          {{once ? "/once/short" : "/safe/short", "honest-" + std::to_string(honest_++)}});
    });
    loop_.after(fromMillis(kLookMs), [this, plug = bad_, text] {
      if (plug == bad_) look(text);
      plug->reset();
    });
  }
  // Whatever came back is answers, whole or still coming.
  void look(const std::string& sent) {
    while (const auto head = parseHead(got_)) {
      const bool known = head->status >= 100 && head->status < 600;
      if (!known) ledger_.addViolation("no answer", got_.substr(0, 60) + " to " + sent);
      if (!known || got_.size() < head->size + head->bodySize) return;
      got_.erase(0, head->size + head->bodySize);
    }
  }

  EventLoop& loop_;
  Random random_;
  int left_;
  std::function<void()> done_;
  RequestLedger ledger_;
  ProxyPath path_;
  bool gateway_;
  std::unique_ptr<ScriptedClient> client_;
  SocketEndpoint::Ptr bad_;
  std::string got_;
  int honest_ = 0;
  bool asking_ = false;
};

// Servers that answer some requests badly, and the next ones of others well.
class BadServers {
 public:
  BadServers(EventLoop& loop, std::size_t number, bool gateway, int rounds,
             std::function<void()> done)
      : loop_(loop),
        random_(number),
        left_(rounds),
        done_(std::move(done)),
        path_(loop, number, gateway, std::nullopt, nullptr, ledger_) {
    for (const auto& server : path_.servers()) {
      server->substitute = [this](const std::string& id, const std::string& honest) {
        return id[0] == 'x' ? damagedText(someAnswer(honest, id, random_), random_) : honest;
      };
    }
    next();
  }
  void tell(Outcome& out) {
    for (const auto& [id, status] : ledger_.statuses) {
      if (id[0] == 'x') continue;
      ++out.asked;
      out.right += status == 200 ? 1 : 0;
      if (status == 503 && ledger_.runs.contains(id)) out.wrong.push_back("promised: " + id);
    }
    for (const auto& violation : ledger_.violations) out.wrong.push_back(violation.text());
  }

 private:
  void next() {
    if (left_-- == 0) {
      path_.close();
      done_();
      return;
    }
    const auto n = std::to_string(left_);
    ask({{"/safe/short", "x" + n}}, [this, n] {
      ask({{"/once/short", "honest-a" + n}}, [this, n] {
        ask({{"/safe/short", "honest-b" + n}}, [this] { next(); });
      });
    });
  }
  void ask(const std::vector<ScriptedRequest>& requests, std::function<void()> then) {
    loop_.after(Duration(0), [this, requests, then = std::move(then)] {
      if (!client_ || !client_->isOpen()) {
        client_ = std::make_unique<ScriptedClient>(loop_, path_.clientAddress(), ledger_);
      }
      client_->onIdle = [then, told = std::make_shared<bool>(false)] {
        if (!std::exchange(*told, true)) then();
      };
      client_->send(requests);
    });
  }

  EventLoop& loop_;
  Random random_;
  int left_;
  std::function<void()> done_;
  RequestLedger ledger_;
  ProxyPath path_;
  std::unique_ptr<ScriptedClient> client_;
};

template <class Play>
Outcome onSockets(std::size_t plays, int rounds, std::size_t firstAddress) {
  auto& loop = *new EventLoop;  // stays, with what is on it
  auto& all = *new std::vector<std::unique_ptr<Play>>;
  std::size_t running = plays;
  for (std::size_t i = 0; i < plays; ++i) {
    all.push_back(std::make_unique<Play>(loop, firstAddress + i, i % 2 == 0, rounds, [&] {
      if (--running == 0) loop.stop();
    }));
  }
  loop.after(fromMillis(kEndMs), [&loop] { loop.stop(); });
  loop.run();
  Outcome out;
  if (running > 0) out.wrong.push_back(std::to_string(running) + " plays hang");
  for (const auto& play : all) play->tell(out);
  return out;
}

int run(std::uint64_t seeds) {
  std::size_t wrong = 0;
  const auto tell = [&](const char* name, const Outcome& out, double least) {
    std::cout << name << ": " << out.right << " of " << out.asked << " honest requests served, "
              << out.wrong.size() << " violations\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(out.wrong.size(), 20); ++i) {
      std::cout << "  " << out.wrong[i] << "\n";
    }
    const bool enough = static_cast<double>(out.right) >= least * static_cast<double>(out.asked);
    wrong += out.wrong.size() + (enough && out.asked > 0 ? 0 : 1);
  };
  tell("bad callers", onSockets<BadCallers>(16, static_cast<int>(seeds), 0), 1.0);
  tell("bad servers", onSockets<BadServers>(64, static_cast<int>(seeds / 8), 100), 0.8);
  MessageCounts messages;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    playHostileGossip(seed, messages);
    playHostileRegister(seed, messages);
  }
  // A few kilobytes that stand for more than any configuration.
  const auto bomb = config::ConfigText::create(std::string(70U << 20, 'x'));
  if (config::ConfigText::fromPacked(bomb->packed(), bomb->id())) ++wrong;
  std::cout << "messages of nodes: " << messages.received << " read, " << messages.rejected
            << " refused\n";
  const bool someRejected = messages.rejected > 0 && messages.rejected < messages.received * 3;
  return wrong == 0 && someRejected ? 0 : 1;
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const int code = merlingauge::test::run(argc > 1 ? std::stoull(argv[1]) : 100);
  std::cout.flush();
  std::_Exit(code);
}
