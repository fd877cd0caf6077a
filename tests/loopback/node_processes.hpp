// Real processes on loopback addresses and stand-in servers that speak the published protocol, for
// the tests that run the program itself.
#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace merlingauge::test {

using nlohmann::json;
namespace net = Poco::Net;

struct Failure {
  std::string what;
};

inline void require(bool ok, const std::string& what) {
  if (!ok) throw Failure{what};
  std::cout << "ok: " << what << "\n";
}

constexpr int kControl = 21801;
constexpr int kEgress = 21802;
constexpr int kIngress = 21803;
constexpr int kReady = 21804;
constexpr int kApp = 21805;
constexpr int kInner = 21810;

inline std::string at(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

struct Reply {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

inline Reply call(const std::string& address, const std::string& method, const std::string& path,
                  const std::map<std::string, std::string>& headers = {},
                  const std::string& body = "") {
  Reply reply;
  try {
    net::HTTPClientSession session{net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(3, 0));
    net::HTTPRequest request(method, path, "HTTP/1.1");
    for (const auto& [name, value] : headers) request.set(name, value);
    if (!body.empty()) request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    net::HTTPResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), reply.body);
    reply.status = response.getStatus();
    for (const auto& [name, value] : response) reply.headers[name] = value;
  } catch (const Poco::Exception&) {
    reply.status = 0;
  }
  return reply;
}

template <class Test>
void eventually(const std::string& what, Test test) {
  for (int i = 0; i < 300; ++i) {
    if (test()) {
      require(true, what);
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  require(false, what);
}

// A server of the users': answers what it was sent, sealed, and counts what it runs.
class App {
 public:
  App(std::string ip, std::string id) : ip_(std::move(ip)), id_(std::move(id)) {
    net::ServerSocket socket(net::SocketAddress(at(ip_, kApp)));
    server_ =
        std::make_unique<net::HTTPServer>(new Factory(*this), socket, new net::HTTPServerParams);
    server_->start();
  }
  ~App() { server_->stopAll(true); }

  // To the node beside it, or to another control address.
  int beat(const std::string& status, const std::string& to = "") {
    const json body = {
        {"address", at(ip_, kApp)},
        {"node_info",
         {{"target_service", "echo"}, {"revision", "v1"}, {"zone", "z"}, {"capacity", 2}}},
        {"status_detail", {{"status", status}, {"sequence", ++sequence_}, {"warmup_left_s", 0}}}};
    return call(to.empty() ? at(ip_, kControl) : to, "POST", "/v1/Instances.Heartbeat/" + id_, {},
                body.dump())
        .status;
  }

  std::map<std::string, int> runs() {
    const std::lock_guard<std::mutex> hold(lock_);
    return runs_;
  }

 private:
  struct Handler : net::HTTPRequestHandler {
    explicit Handler(App& a) : app(a) {}
    void handleRequest(net::HTTPServerRequest& request,
                       net::HTTPServerResponse& response) override {
      std::string body;
      Poco::StreamCopier::copyToString(request.stream(), body);
      if (request.has("Attempt-Id")) response.set("Attempt-Id", request.get("Attempt-Id"));
      if (request.get("Expected-Instance", "") != app.id_) {
        response.setStatusAndReason(static_cast<net::HTTPResponse::HTTPStatus>(421));
        response.send();
        return;
      }
      {
        const std::lock_guard<std::mutex> hold(app.lock_);
        ++app.runs_[request.get("Attempt-Id", "?")];
      }
      if (request.getURI().find("slow") != std::string::npos) {
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
      }
      if (request.getURI().find("drop") != std::string::npos) {
        // Runs it for a while, then closes without a word.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        static_cast<net::HTTPServerRequestImpl&>(request).detachSocket();
        return;
      }
      response.set("Response-Seal", "sealed");
      response.setChunkedTransferEncoding(true);
      response.send() << json{
          {"by", app.id_},
          {"caller", request.get("Caller-Service", "")},
          {"path", request.getURI()},
          {"hut", request.has("Hut-Rank")},
          {"id", request.get("Attempt-Id", "")},
          {"body",
           body.size()}}.dump();
    }
    App& app;
  };
  struct Factory : net::HTTPRequestHandlerFactory {
    explicit Factory(App& a) : app(a) {}
    net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override {
      return new Handler(app);
    }
    App& app;
  };
  std::string ip_;
  std::string id_;
  int sequence_ = 0;
  std::mutex lock_;
  std::map<std::string, int> runs_;
  std::unique_ptr<net::HTTPServer> server_;
};

class Mesh {
 public:
  // `hosts` is the front of all addresses, such as 127.91.
  Mesh(std::string program, std::string hosts)
      : program_(std::move(program)), hosts_(std::move(hosts)) {
    folder_ = std::filesystem::temp_directory_path() / ("mesh-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
  }
  ~Mesh() {
    for (const auto& [ip, pid] : running_) ::kill(pid, SIGKILL);
    for (const auto& [ip, pid] : running_) ::waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }

  // Changes the settings of the nodes started from now on.
  std::function<void(json&)> adjust;
  [[nodiscard]] pid_t pidOf(const std::string& ip) const { return running_.at(ip); }

  enum class Kind { core, sidecar, edge };
  void start(const std::string& ip, Kind kind, bool first) {
    const bool core = kind == Kind::core;
    const auto data = folder_ / ip;
    if (core) std::filesystem::create_directories(data);
    json listeners = json::object();
    if (kind != Kind::edge) listeners["control_plane"] = at(ip, kControl);
    if (kind == Kind::edge) {
      listeners["frontend"] = at(ip, kEgress);
      listeners["readiness"] = at(ip, kReady);
    } else if (!core) {
      listeners["egress"] = at(ip, kEgress);
      listeners["ingress"] = at(ip, kIngress);
      listeners["readiness"] = at(ip, kReady);
    }
    json settings = {
        {"self_node",
         {{"node_name", "node-" + ip},
          {"serves", json::array({core                 ? "control_plane"
                                  : kind == Kind::edge ? "edge"
                                                       : "sidecar"})},
          {"ip_address", ip},
          {"zone", "z"},
          {"quorum_member", core},
          {"bootstrap", first},
          {"data_directory", core ? json(data.string()) : json(nullptr)},
          {"limits", {{"file_descriptors", 1024}, {"disk_mb", 64}}}}},
        {"network",
         {{"listeners", listeners},
          {"internal_port_range", {kInner, kInner + 5}},
          {"seed_nodes",
           {at(hosts_ + ".0.1", kControl), at(hosts_ + ".0.2", kControl),
            at(hosts_ + ".0.3", kControl)}}}},
        {"policy_terms",
         {{"timing_bounds",
           {{"drain_timeout_s", 1}, {"grace_period_s", 6}, {"retry_budget_slack", 60}}}}}};
    if (kind == Kind::sidecar) {
      settings["self_node"]["app_address"] = at(ip, kApp);
      settings["self_node"]["target_service"] = ip == hosts_ + ".0.11" ? "front" : "echo";
    }
    if (adjust) adjust(settings);
    const auto path = (folder_ / (ip + ".json")).string();
    std::ofstream(path) << settings.dump();
    const auto log = (folder_ / (ip + ".log")).string();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // however the test ends, its nodes do too
      ::setenv("MERLINGAUGE_SETTINGS", path.c_str(), 1);
      if (std::freopen(log.c_str(), "a", stderr) == nullptr) ::_exit(126);
      ::execl(program_.c_str(), program_.c_str(), "node", nullptr);
      ::_exit(127);
    }
    running_[ip] = pid;
  }

  int stop(const std::string& ip, int signal) {
    const pid_t pid = running_.at(ip);
    running_.erase(ip);
    ::kill(pid, signal);
    int status = 0;
    ::waitpid(pid, &status, 0);
    return status;
  }

  void pause(const std::string& ip, bool on) { ::kill(running_.at(ip), on ? SIGSTOP : SIGCONT); }

  [[nodiscard]] std::string dataOf(const std::string& ip) const { return (folder_ / ip).string(); }

  void wipe(const std::string& ip) { std::filesystem::remove_all(folder_ / ip); }

 private:
  std::string program_;
  std::string hosts_;
  std::filesystem::path folder_;
  std::map<std::string, pid_t> running_;
};

inline std::string config(int revision, const std::string& prefix) {
  const json route = {{"name", "r"},           {"hostname", "echo.example"},
                      {"path_prefix", prefix}, {"route_type", "non_idempotent"},
                      {"timeout_s", 2},        {"target_service", "echo"},
                      {"max_attempts", 2}};
  json safe = route;
  safe["name"] = "safe";
  safe["path_prefix"] = "/safe/";
  safe["route_type"] = "idempotent";
  return json{{"revision", revision},
              {"route_rules", json::array({route, safe})},
              {"services", {{{"name", "echo"}}, {{"name", "front"}}}}}
      .dump();
}

// What comes back, up to the end, to `until` or to three seconds of silence.
inline std::string raw(const std::string& address, const std::string& bytes,
                       const std::string& until = "") {
  net::StreamSocket socket{net::SocketAddress(address)};
  socket.setReceiveTimeout(Poco::Timespan(3, 0));
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string out;
  char chunk[1024];
  try {
    for (int n = 0; (n = socket.receiveBytes(chunk, sizeof chunk)) > 0;) {
      out.append(chunk, static_cast<std::size_t>(n));
      if (!until.empty() && out.find(until) != std::string::npos) break;
    }
  } catch (const Poco::Exception&) {
    out += "(open)";
  }
  return out;
}

template <class Play>
int runPlay(int argc, char** argv, Play play) {
  if (argc != 2) return 2;
  try {
    play(argv[1]);
    return 0;
  } catch (const Failure& failure) {
    std::cerr << "FAILED: " << failure.what << "\n";
  } catch (const Poco::Exception& problem) {
    std::cerr << "FAILED: " << problem.displayText() << "\n";
  }
  return 1;
}

}  // namespace merlingauge::test
