// The real program without a majority of its core, and cores that stood still for longer than their
// authority lasts. What lay in a socket meanwhile is not answered from what was known before.
#include <thread>

#include "loopback/play.hpp"

namespace merlingauge::test {
namespace {

// A connection that a node has taken and answered on: what is sent later lies there to be read.
class Kept {
 public:
  explicit Kept(const std::string& address) : socket_(net::SocketAddress(address)) {
    socket_.setReceiveTimeout(Poco::Timespan(20, 0));
  }
  void send(const std::string& method, const std::string& path) {
    const auto text = method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    socket_.sendBytes(text.data(), static_cast<int>(text.size()));
  }
  // The status of the next answer, which fits into one read.
  int status() {
    std::string head;
    char chunk[4096];
    while (head.find("\r\n\r\n") == std::string::npos) {
      const int n = socket_.receiveBytes(chunk, sizeof chunk);
      if (n <= 0) return 0;
      head.append(chunk, static_cast<std::size_t>(n));
    }
    return std::stoi(head.substr(9, 3));
  }

 private:
  net::StreamSocket socket_;
};

void play(const std::string& program) {
  NodeProcesses mesh(program, "127.98");
  const std::string a = "127.98.0.1";
  const std::string b = "127.98.0.2";
  const std::string c = "127.98.0.3";
  const std::string front = "127.98.0.11";
  for (const auto& ip : {a, b, c}) mesh.start(ip, NodeProcesses::Kind::core, true);
  mesh.start(front, NodeProcesses::Kind::sidecar, true);
  const auto put = [&](const std::string& ip, int base, const std::string& body) {
    return call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(base)}}, body)
        .status;
  };
  const auto ready = [](const std::string& ip, int port) {
    return call(at(ip, port), "GET", "/v1/readiness").status;
  };
  const auto unknownRoute = [&] {
    return call(at(front, kEgress), "GET", "/z/1", {{"Host", "echo.example"}}).status;
  };
  eventually("a configuration is taken", [&] { return put(a, 0, config(1, "/a/")) == 200; });
  eventually("all are ready", [&] {
    return ready(a, kControl) == 200 && ready(b, kControl) == 200 && ready(c, kControl) == 200 &&
           ready(front, kReady) == 200;
  });
  eventually("no route is 404", [&] { return unknownRoute() == 404; });
  StandInServer app("127.98.0.31", "i-1");
  require(app.sendHeartbeat("available", at(a, kControl)) == 200, "a server beats");
  Kept asks(at(a, kControl));
  Kept leaves(at(a, kControl));
  for (auto* kept : {&asks, &leaves}) {
    kept->send("GET", "/v1/readiness");
    require(kept->status() == 200, "a kept connection is there");
  }

  // One core stands still for longer than its authority lasts, the others go on.
  mesh.pause(a, true);
  asks.send("GET", "/v1/readiness");
  leaves.send("POST", "/v1/Instances.Deregister/i-1");
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  eventually("the others take a change", [&] { return put(b, 1, config(2, "/b/")) == 200; });
  mesh.pause(a, false);
  require(asks.status() == 503, "thawed, it is not ready on what it knew before");
  require(leaves.status() == 503, "nor does it acknowledge a leaving");
  eventually("it is in touch again",
             [&] { return ready(a, kControl) == 200 && unknownRoute() == 404; });

  // A majority stands still.
  mesh.pause(b, true);
  mesh.pause(c, true);
  eventually("without a majority a core is not ready", [&] { return ready(a, kControl) == 503; });
  const auto status = json::parse(call(at(a, kControl), "GET", "/v1/Status").body);
  require(status["authority"] == false && status["authority_age_ms"] > 3000,
          "and its status says so");
  require(app.sendHeartbeat("draining", at(a, kControl)) == 503,
          "it doesn't acknowledge a leaving");
  eventually("a sidecar that hears only that core doesn't say 404",
             [&] { return unknownRoute() == 503; });
  require(ready(front, kReady) == 200, "but goes on with what it has");
  mesh.pause(b, false);
  mesh.pause(c, false);
  eventually("afterwards all is as before",
             [&] { return ready(a, kControl) == 200 && unknownRoute() == 404; });
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  return merlingauge::test::runPlay(argc, argv, merlingauge::test::play);
}
