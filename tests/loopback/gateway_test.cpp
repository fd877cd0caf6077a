// The real program as a gateway: three core nodes, an edge, stand-in servers that it reaches
// directly, one of which stutters.
#include <atomic>

#include "loopback/play.hpp"

namespace merlingauge::test {
namespace {

// A server that answers each request twice: the second answer comes late, where the next is due.
class Stutterer {
 public:
  Stutterer(const std::string& ip, std::string id)
      : id_(std::move(id)), socket_(net::SocketAddress(at(ip, kApp))) {
    thread_ = std::thread([this] { serve(); });
  }
  ~Stutterer() {
    stop_ = true;
    thread_.join();
    for (auto& thread : talks_) thread.join();
  }
  std::map<std::string, int> runs() {
    const std::lock_guard<std::mutex> hold(lock_);
    return runs_;
  }

 private:
  void serve() {
    while (!stop_) {
      if (!socket_.poll(Poco::Timespan(0, 50000), net::Socket::SELECT_READ)) continue;
      talks_.emplace_back([this, peer = socket_.acceptConnection()] { talk(peer); });
    }
  }

  void talk(net::StreamSocket peer) {
    std::string in;
    std::string surplus;
    char chunk[4096];
    while (!stop_) {
      if (!peer.poll(Poco::Timespan(0, 50000), net::Socket::SELECT_READ)) continue;
      int got = 0;
      try {
        got = peer.receiveBytes(chunk, sizeof chunk);
      } catch (const Poco::Exception&) {
        return;
      }
      if (got <= 0) return;
      in.append(chunk, static_cast<std::size_t>(got));
      const auto end = in.find("\r\n\r\n");
      if (end == std::string::npos) continue;
      const auto mark = in.find("Attempt-Id: ");
      const auto id = in.substr(mark + 12, in.find('\r', mark) - mark - 12);
      in.clear();
      {
        const std::lock_guard<std::mutex> hold(lock_);
        ++runs_[id];
      }
      const auto own = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                       "\r\nResponse-Seal: s\r\nContent-Length: " + std::to_string(id.size()) +
                       "\r\n\r\n" + id;
      // What is left of the last exchange goes first.
      const auto out = surplus + own;
      surplus = own;
      peer.sendBytes(out.data(), static_cast<int>(out.size()));
    }
  }

  std::string id_;
  net::ServerSocket socket_;
  std::atomic<bool> stop_{false};
  std::mutex lock_;
  std::map<std::string, int> runs_;
  std::vector<std::thread> talks_;
  std::thread thread_;
};

std::string get(const std::string& path, const std::string& id, const std::string& more = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: " + id + "\r\n" + more +
         "\r\n";
}

void play(const std::string& program) {
  NodeProcesses mesh(program, "127.92");
  const std::vector<std::string> cores = {"127.92.0.1", "127.92.0.2", "127.92.0.3"};
  const std::string edge = "127.92.0.11";
  for (const auto& ip : cores) mesh.start(ip, NodeProcesses::Kind::core, true);
  mesh.start(edge, NodeProcesses::Kind::edge, true);
  eventually("an edge without a configuration is not ready",
             [&] { return call(at(edge, kReady), "GET", "/v1/readiness").status == 503; });
  eventually("the first configuration is taken", [&] {
    return call(at(cores[0], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", "0"}}, config(3, "/once/"))
               .status == 200;
  });
  eventually("the edge is ready",
             [&] { return call(at(edge, kReady), "GET", "/v1/readiness").status == 200; });

  auto app = std::make_unique<StandInServer>("127.92.0.21", "i-1");
  eventually("a beat to a core is acknowledged",
             [&] { return app->sendHeartbeat("available", at(cores[1], kControl)) == 200; });
  const std::map<std::string, std::string> head = {
      {"Host", "echo.example"}, {"Attempt-Id", "a1"}, {"Caller-Service", "forged"}};
  Reply reply;
  eventually("a request reaches the server directly", [&] {
    reply = call(at(edge, kEgress), "POST", "/once/1?q=2", head, "x");
    return reply.status == 200;
  });
  const auto body = json::parse(reply.body);
  require(body["caller"] == "" && body["path"] == "/once/1?q=2" && body["id"] == "a1",
          "with its path and id, and no caller's name that it made up");

  const auto began = std::chrono::steady_clock::now();
  const auto piped = raw(at(edge, kEgress), get("/safe/slow1", "p1") + get("/safe/slow2", "p2") +
                                                get("/safe/3", "p3", "Connection: close\r\n") +
                                                get("/safe/4", "p4"));
  const auto took = std::chrono::steady_clock::now() - began;
  const auto first = piped.find("\"id\":\"p1\"");
  const auto second = piped.find("\"id\":\"p2\"");
  const auto third = piped.find("\"id\":\"p3\"");
  require(first < second && second < third && third != std::string::npos,
          "pipelined answers come in the order of their requests");
  require(took < std::chrono::milliseconds(1150), "and their requests ran at the same time");
  require(piped.find("p4") == std::string::npos && !app->runs().contains("p4"),
          "what stands behind a closing answer is not passed on");
  raw(at(edge, kEgress),
      get("/safe/slow3", "p5", "Connection: close\r\n") +
          "POST /once/2 HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: p6\r\nContent-Length: "
          "0\r\n\r\n");
  require(!app->runs().contains("p6"), "nor anything that must not run twice");

  {
    require(app->sendHeartbeat("draining", at(cores[1], kControl)) == 200,
            "a leaving is acknowledged");
    mesh.stop(cores[1], SIGKILL);
    mesh.start(cores[1], NodeProcesses::Kind::core, false);
    eventually("with the core that heard it lost at once, the edge sends nothing more", [&] {
      return call(at(edge, kEgress), "GET", "/safe/5", {{"Host", "echo.example"}}).status == 503;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto before = app->runs().size();
    for (int i = 0; i < 5; ++i)
      call(at(edge, kEgress), "GET", "/safe/5", {{"Host", "echo.example"}});
    require(app->runs().size() == before, "and goes on sending nothing");
  }

  Stutterer stutterer("127.92.0.22", "i-2");
  const json beat = {{"address", at("127.92.0.22", kApp)},
                     {"node_info", {{"target_service", "echo"}, {"zone", "z"}, {"capacity", 2}}},
                     {"status_detail", {{"status", "available"}, {"sequence", 1}}}};
  eventually("the stutterer is known", [&] {
    return call(at(cores[2], kControl), "POST", "/v1/Instances.Heartbeat/i-2", {}, beat.dump())
                   .status == 200 &&
           call(at(edge, kEgress), "GET", "/safe/0",
                {{"Host", "echo.example"}, {"Attempt-Id", "x"}})
                   .status == 200;
  });
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    const auto id = "g" + std::to_string(i);
    const auto got =
        call(at(edge, kEgress), i % 2 == 0 ? "GET" : "POST", i % 2 == 0 ? "/safe/1" : "/once/1",
             {{"Host", "echo.example"}, {"Attempt-Id", id}}, i % 2 == 0 ? "" : "x");
    if (got.status != 200) continue;
    require(got.body == id, "a server that stutters: every answer is its own request's");
    ++served;
  }
  require(served > 0, "and some are served");
  for (const auto& [id, runs] : stutterer.runs()) {
    require(runs == 1 || id[0] != 'g' || (id.back() - '0') % 2 == 0, "and none runs twice");
  }
  const int status = mesh.stop(edge, SIGTERM);
  require(WIFEXITED(status) && WEXITSTATUS(status) == 0, "SIGTERM ends an edge in order");
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  return merlingauge::test::runPlay(argc, argv, merlingauge::test::play);
}
