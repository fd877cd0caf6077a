// Ends of processes while they are at work, with the real program: SIGTERM in the middle of an
// answer, with pipelined requests behind it, at each kind of node that carries traffic; a server
// that drains in the middle of one; nodes frozen for longer than every limit, with requests in
// their sockets; hostile sizes. Judged by what servers saw and callers got.
#include <atomic>
#include <thread>

#include "loopback/play.hpp"

namespace merlingauge::test {
namespace {

// Answers in two halves, as long apart as the path says: /once/1000/big.
class Teller {
 public:
  Teller(const std::string& ip, std::string id, std::string beatsTo)
      : ip_(ip),
        id_(std::move(id)),
        beatsTo_(std::move(beatsTo)),
        socket_(net::SocketAddress(at(ip, kApp))) {
    threads_.emplace_back([this] { serve(); });
    threads_.emplace_back([this] {
      for (int i = 0; !stop_; std::this_thread::sleep_for(std::chrono::milliseconds(100))) {
        if (i++ % 8 == 0) sendHeartbeat();
      }
    });
  }
  ~Teller() {
    stop_ = true;
    for (auto& thread : threads_) thread.join();
    for (auto& thread : talks_) thread.join();
  }
  static std::string body(const std::string& id, bool big) {
    std::string out = id + " begins;";
    out.append(big ? 150000 : 300, '.');
    return out + id + " ends";
  }
  int sendHeartbeat() {
    const std::lock_guard<std::mutex> hold(beating_);
    const json body = {
        {"address", at(ip_, kApp)},
        {"node_info", {{"target_service", "echo"}, {"zone", "z"}, {"capacity", 16}}},
        {"status_detail",
         {{"status", drains ? "draining" : "available"}, {"sequence", ++sequence_}}}};
    return call(beatsTo_, "POST", "/v1/Instances.Heartbeat/" + id_, {}, body.dump()).status;
  }
  int runs(const std::string& id) {
    const std::lock_guard<std::mutex> hold(lock_);
    return runs_[id];
  }
  std::atomic<bool> drains{false};

 private:
  void serve() {
    while (!stop_) {
      if (!socket_.poll(Poco::Timespan(0, 50000), net::Socket::SELECT_READ)) continue;
      talks_.emplace_back([this, peer = socket_.acceptConnection()]() mutable { talk(peer); });
    }
  }
  void talk(net::StreamSocket& peer) {
    std::string in;
    char chunk[4096];
    try {
      while (!stop_) {
        if (!peer.poll(Poco::Timespan(0, 50000), net::Socket::SELECT_READ)) continue;
        const int got = peer.receiveBytes(chunk, sizeof chunk);
        if (got <= 0) return;
        in.append(chunk, static_cast<std::size_t>(got));
        const auto end = in.find("\r\n\r\n");
        if (end == std::string::npos) continue;
        const auto mark = in.find("Attempt-Id: ") + 12;
        const auto id = in.substr(mark, in.find('\r', mark) - mark);
        const auto pause = std::atoi(in.substr(in.find('/', in.find('/') + 1) + 1, 6).c_str());
        const auto all = body(id, in.find("/big") < in.find('\r'));
        in.clear();
        {
          const std::lock_guard<std::mutex> hold(lock_);
          ++runs_[id];
        }
        const auto out = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                         "\r\nResponse-Seal: s\r\nContent-Length: " + std::to_string(all.size()) +
                         "\r\n\r\n" + all;
        const auto half = out.size() - all.size() / 2;
        peer.sendBytes(out.data(), static_cast<int>(half));
        std::this_thread::sleep_for(std::chrono::milliseconds(pause));
        peer.sendBytes(out.data() + half, static_cast<int>(out.size() - half));
      }
    } catch (const Poco::Exception&) {
      // Its caller has gone.
    }
  }

  std::string ip_;
  std::string id_;
  std::string beatsTo_;
  net::ServerSocket socket_;
  std::atomic<bool> stop_{false};
  std::mutex beating_;
  int sequence_ = 0;
  std::mutex lock_;
  std::map<std::string, int> runs_;
  std::vector<std::thread> threads_;
  std::vector<std::thread> talks_;
};

std::string ask(const std::string& path, const std::string& id, int deadlineMs = 5500) {
  return "POST " + path + " HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nContent-Length: 0\r\n\r\n";
}

using Tellers = std::vector<std::unique_ptr<Teller>>;
int runs(const Tellers& tellers, const std::string& id) {
  int sum = 0;
  for (const auto& teller : tellers) sum += teller->runs(id);
  return sum;
}

struct Asked {
  std::vector<std::string> ids;
  std::vector<std::string> kinds;
  std::string wire;
  bool big = false;
  std::string got;
};

// Requests of every kind under way at `way`, pipelined behind each other, while `then` happens;
// whatever a server has seen must come back whole, and nothing that is promised not to run may have
// run.
void underWay(const std::string& name, const std::string& way, const Tellers& tellers,
              const std::function<void()>& then) {
  std::vector<Asked> all;
  for (const bool big : {false, true}) {
    for (const std::string first : {"safe", "once"}) {
      for (const std::string second : {"safe", "once"}) {
        Asked asked;
        asked.big = big;
        const std::string tail = big ? "/1000/big" : "/1000/small";
        const auto id = name + std::to_string(all.size());
        for (const auto& [kind, n] :
             {std::pair(first, "a"), std::pair(second, "b"), std::pair(first, "c")}) {
          asked.ids.push_back(id + n);
          asked.kinds.push_back(kind);
          asked.wire += ask("/" + kind + tail, id + n);
        }
        all.push_back(asked);
      }
    }
  }
  std::vector<std::thread> callers;
  for (auto& asked : all)
    callers.emplace_back([&] { asked.got = raw(way, asked.wire, asked.ids.back() + " ends"); });
  eventually(name + ": the first of each are being answered", [&] {
    return std::all_of(all.begin(), all.end(),
                       [&](const auto& a) { return runs(tellers, a.ids[0]) > 0; });
  });
  then();
  for (auto& caller : callers) caller.join();
  std::size_t whole = 0;
  for (const auto& asked : all) {
    std::size_t from = 0;
    for (std::size_t i = 0; i < asked.ids.size(); ++i) {
      const auto& id = asked.ids[i];
      const int ran = runs(tellers, id);
      const auto at = asked.got.find(Teller::body(id, asked.big), from);
      const bool served = at != std::string::npos;
      if (served) from = at;
      whole += served ? 1 : 0;
      const auto told = name + ": " + id + " ran " + std::to_string(ran) + " times, " +
                        (served ? "whole" : "not whole, got: " + asked.got.substr(0, 300));
      if ((asked.kinds[i] == "once" && ran > 1) || (ran > 0) != served) throw Failure{told};
    }
  }
  require(whole >= all.size(),
          name + ": all that servers began came back whole, " + std::to_string(whole) + " answers");
}

void play(const std::string& program) {
  NodeProcesses mesh(program, "127.96");
  const std::vector<std::string> cores = {"127.96.0.1", "127.96.0.2", "127.96.0.3"};
  const std::string front = "127.96.0.11";
  const std::string edge = "127.96.0.21";
  const std::vector<std::string> backs = {"127.96.0.12", "127.96.0.13", "127.96.0.14"};
  for (const auto& ip : cores) mesh.start(ip, NodeProcesses::Kind::core, true);
  mesh.start(front, NodeProcesses::Kind::sidecar, true);
  for (const auto& ip : backs) mesh.start(ip, NodeProcesses::Kind::sidecar, true);
  mesh.start(edge, NodeProcesses::Kind::edge, true);
  auto routes = json::parse(config(3, "/once/"));
  for (auto& rule : routes["route_rules"]) rule["timeout_s"] = 5.5;
  eventually("the configuration is taken", [&] {
    return call(at(cores[0], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", "0"}}, routes.dump())
               .status == 200;
  });
  Tellers tellers;
  for (const auto& ip : backs)
    tellers.push_back(std::make_unique<Teller>(ip, "i-" + ip, at(ip, kControl)));
  const auto served = [&](const std::string& way) {
    return raw(way, ask("/safe/0", "w"), "w ends").find("w ends") != std::string::npos;
  };
  eventually("servers are reached through egress and edge",
             [&] { return served(at(front, kEgress)) && served(at(edge, kEgress)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));  // all of them are known by then

  underWay("egress", at(front, kEgress), tellers, [&] {
    const int status = mesh.stop(front, SIGTERM);
    require(WIFEXITED(status) && WEXITSTATUS(status) == 0, "it ends in order");
  });
  mesh.start(front, NodeProcesses::Kind::sidecar, false);
  underWay("edge", at(edge, kEgress), tellers, [&] {
    const int status = mesh.stop(edge, SIGTERM);
    require(WIFEXITED(status) && WEXITSTATUS(status) == 0, "it ends in order");
  });
  eventually("the egress is back", [&] { return served(at(front, kEgress)); });
  underWay("ingress", at(front, kEgress), tellers, [&] { mesh.stop(backs[0], SIGTERM); });
  mesh.start(backs[0], NodeProcesses::Kind::sidecar, false);
  underWay("drain", at(front, kEgress), tellers, [&] {
    tellers[1]->drains = true;
    require(tellers[1]->sendHeartbeat() == 200, "the drain is acknowledged");
  });

  // Frozen for longer than every limit, thawed with whatever lies in its sockets.
  const auto frozen = [&](const std::string& name, const std::string& ip, const std::string& way) {
    std::vector<Asked> all(24);
    mesh.pause(ip, true);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const auto id = name + "-" + std::to_string(i);
      const std::string kind = i % 2 == 0 ? "/once/0" : "/safe/0";
      all[i].ids = {id};
      callers.emplace_back(
          [&, i, id, kind] { all[i].got = raw(way, ask(kind, id, 2000), id + " ends"); });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(3200));
    mesh.pause(ip, false);
    for (auto& caller : callers) caller.join();
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    std::size_t whole = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const auto& id = all[i].ids[0];
      const auto status = all[i].got.substr(0, 12);
      const bool promised =
          status == "HTTP/1.1 503" || status == "HTTP/1.1 429" || status == "HTTP/1.1 408";
      const int ran = runs(tellers, id);
      const bool done = all[i].got.find(Teller::body(id, false)) != std::string::npos;
      whole += done ? 1 : 0;
      const bool sound = (i % 2 != 0 || ran <= 1) && !(promised && ran > 0) && (!done || ran > 0);
      if (!sound)
        throw Failure{name + ": " + id + " ran " + std::to_string(ran) + " times, got " +
                      all[i].got.substr(0, 200)};
    }
    require(true, name + " frozen and thawed: no promise broken, none twice, " +
                      std::to_string(whole) + " served");
  };
  frozen("egress", front, at(front, kEgress));
  frozen("ingress", backs[2], at(front, kEgress));
  require(mesh.stop(front, SIGTERM) == 0, "the egress ends in order");

  // Documents that nest a million deep, a server whose name is no text.
  const std::string deep = std::string(1000000, '[') + std::string(1000000, ']');
  const auto refused = [&](int port, const std::string& path, const std::string& text) {
    const int status =
        call(at(cores[0], port), "POST", path, {{"Base-Revision", "3"}}, text).status;
    require(status >= 400 && status < 500, path.substr(0, 26) + ": refused");
  };
  const auto rule = routes["route_rules"][0].dump();
  const auto deepRule = rule.substr(0, rule.size() - 1) + ",\"x\":" + deep + "}";
  refused(kInner, "/news", R"({"f":"x","s":0,"w":0,"d":0,"h":0,"i":)" + deep + "}");
  refused(kInner, "/register", R"({"k":0,"v":)" + deep + "}");
  refused(kControl, "/v1/Configuration.Update",
          R"({"revision":4,"upserts":{"route_rules":[)" + deepRule + "]}}");
  refused(kControl, "/v1/Configuration.Replace",
          R"({"revision":4,"services":[{"name":"echo"}],"route_rules":[)" + deepRule + "]}");
  refused(kControl, "/v1/Instances.Heartbeat/a\xff",
          R"({"address":"127.96.0.99:1","node_info":{"target_service":"echo","capacity":1},)"
          R"("status_detail":{"status":"available","sequence":1}})");
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  for (const auto& ip : cores) {
    require(mesh.stop(ip, SIGTERM) == 0, "a core has lived through them all");
  }
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  return merlingauge::test::runPlay(argc, argv, merlingauge::test::play);
}
