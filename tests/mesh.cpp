// The real program on loopback addresses: three core nodes, two sidecars, stand-in servers that
// speak the published protocol. Waits for what it expects, up to a generous limit.
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using nlohmann::json;
namespace net = Poco::Net;

struct Failure {
  std::string what;
};

void require(bool ok, const std::string& what) {
  if (!ok) throw Failure{what};
  std::cout << "ok: " << what << "\n";
}

constexpr int kControl = 21801;
constexpr int kEgress = 21802;
constexpr int kIngress = 21803;
constexpr int kReady = 21804;
constexpr int kApp = 21805;
constexpr int kInner = 21810;

std::string at(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

struct Reply {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

Reply call(const std::string& address, const std::string& method, const std::string& path,
           const std::map<std::string, std::string>& headers = {}, const std::string& body = "") {
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

  int beat(const std::string& status) {
    const json body = {
        {"address", at(ip_, kApp)},
        {"node_info",
         {{"target_service", "echo"}, {"revision", "v1"}, {"zone", "z"}, {"capacity", 2}}},
        {"status_detail", {{"status", status}, {"sequence", ++sequence_}, {"warmup_left_s", 0}}}};
    return call(at(ip_, kControl), "POST", "/v1/Instances.Heartbeat/" + id_, {}, body.dump())
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
      response.set("Response-Seal", "sealed");
      response.setChunkedTransferEncoding(true);
      response.send() << json{
          {"by", app.id_},
          {"caller", request.get("Caller-Service", "")},
          {"path", request.getURI()},
          {"hut", request.has("Hut-Rank")},
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
  explicit Mesh(std::string program) : program_(std::move(program)) {
    folder_ = std::filesystem::temp_directory_path() / ("mesh-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
  }
  ~Mesh() {
    for (const auto& [ip, pid] : running_) ::kill(pid, SIGKILL);
    for (const auto& [ip, pid] : running_) ::waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }

  void start(const std::string& ip, bool core, bool first) {
    const auto data = folder_ / ip;
    if (core) std::filesystem::create_directories(data);
    json listeners = {{"control_plane", at(ip, kControl)}};
    if (!core) {
      listeners["egress"] = at(ip, kEgress);
      listeners["ingress"] = at(ip, kIngress);
      listeners["readiness"] = at(ip, kReady);
    }
    json settings = {
        {"self_node",
         {{"node_name", "node-" + ip},
          {"serves", json::array({core ? "control_plane" : "sidecar"})},
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
           {at("127.91.0.1", kControl), at("127.91.0.2", kControl), at("127.91.0.3", kControl)}}}},
        {"policy_terms",
         {{"timing_bounds",
           {{"drain_timeout_s", 1}, {"grace_period_s", 6}, {"retry_budget_slack", 60}}}}}};
    if (!core) {
      settings["self_node"]["app_address"] = at(ip, kApp);
      settings["self_node"]["target_service"] = ip == "127.91.0.11" ? "front" : "echo";
    }
    const auto path = (folder_ / (ip + ".json")).string();
    std::ofstream(path) << settings.dump();
    const auto log = (folder_ / (ip + ".log")).string();
    const pid_t pid = ::fork();
    if (pid == 0) {
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

  void wipe(const std::string& ip) { std::filesystem::remove_all(folder_ / ip); }

 private:
  std::string program_;
  std::filesystem::path folder_;
  std::map<std::string, pid_t> running_;
};

std::string config(int revision, const std::string& prefix) {
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

std::string raw(const std::string& address, const std::string& bytes) {
  net::StreamSocket socket{net::SocketAddress(address)};
  socket.setReceiveTimeout(Poco::Timespan(3, 0));
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string out;
  char chunk[1024];
  try {
    for (int n = 0; (n = socket.receiveBytes(chunk, sizeof chunk)) > 0;)
      out.append(chunk, static_cast<std::size_t>(n));
  } catch (const Poco::Exception&) {
    out += "(open)";
  }
  return out;
}

void play(const std::string& program) {
  Mesh mesh(program);
  const std::vector<std::string> cores = {"127.91.0.1", "127.91.0.2", "127.91.0.3"};
  const std::string front = "127.91.0.11";
  const std::string back = "127.91.0.12";
  const std::string other = "127.91.0.13";
  for (const auto& ip : cores) mesh.start(ip, true, true);
  for (const auto& ip : {front, back, other}) mesh.start(ip, false, true);
  eventually("a node without a configuration is not ready",
             [&] { return call(at(front, kReady), "GET", "/v1/readiness").status == 503; });
  const auto put = [&](const std::string& ip, int base, const std::string& body) {
    return call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(base)}}, body)
        .status;
  };
  eventually("the first configuration is taken",
             [&] { return put(cores[1], 0, config(3, "/a/")) == 200; });
  require(put(cores[2], 0, config(3, "/a/")) == 200, "the same again through another node is 200");
  require(put(cores[0], 0, config(4, "/b/")) == 412, "another on the same version is 412");
  require(put(cores[0], 3, config(2, "/b/")) == 400, "a revision that doesn't rise is 400");
  require(put(cores[0], 3, "{\"revision\":") == 400, "half a document is 400");
  require(call(at(cores[0], kControl), "GET", "/v1/Configuration.Replace").status == 405,
          "wrong method is 405");
  require(call(at(cores[0], kControl), "GET", "/v1/Nothing").status == 404, "no such call is 404");
  require(call(at(cores[0], kControl), "POST", "/v1/Instances.Heartbeat/x", {}, "{").status == 400,
          "a bad beat is 400");
  require(call(at(cores[0], kInner), "POST", "/news", {}, "{\"x\":1}").status == 400,
          "a foreign message is 400");
  eventually("the sidecars are ready", [&] {
    return call(at(front, kReady), "GET", "/v1/readiness").status == 200 &&
           call(at(back, kReady), "GET", "/v1/readiness").status == 200;
  });

  const std::map<std::string, std::string> head = {
      {"Host", "echo.example"},        {"Attempt-Id", "t1"}, {"Caller-Service", "forged"},
      {"Expected-Instance", "forged"}, {"Hut-Refused", "x"}, {"Deadline-Ms", "2000"}};
  const auto none = call(at(front, kEgress), "POST", "/a/1", head, "x");
  require(none.status == 503 && none.headers.contains("Retry-After"),
          "without a server: 503 and when to come back");
  require(call(at(front, kEgress), "GET", "/z/1", {{"Host", "echo.example"}}).status == 404,
          "no route is 404");
  App app(back, "i-1");
  require(app.beat("available") == 200, "the beat is acknowledged");
  Reply reply;
  eventually("a request reaches the server", [&] {
    reply = call(at(front, kEgress), "POST", "/a/1?q=2", head, std::string(200000, 'x'));
    return reply.status == 200;
  });
  const auto body = json::parse(reply.body);
  require(body["caller"] == "front" && body["path"] == "/a/1?q=2" && body["body"] == 200000 &&
              body["hut"] == false,
          "with its own caller, path and body, and nothing of ours");
  require(reply.headers["Response-Seal"] == "sealed", "the seal comes back");
  for (const auto& [id, runs] : app.runs()) require(runs == 1, "it ran once");
  {
    App second(other, "i-2");
    second.beat("available");
    const auto safe = [&](const std::string& id) {
      return call(at(front, kEgress), "GET", "/safe/1",
                  {{"Host", "echo.example"}, {"Attempt-Id", id}});
    };
    eventually("a second server takes its part", [&] {
      app.beat("available");
      second.beat("available");
      safe("s0");
      return second.runs().contains("s0");
    });
    mesh.pause(other, true);
    int served = 0;
    for (int i = 0; i < 10; ++i) served += safe("f" + std::to_string(i)).status == 200 ? 1 : 0;
    require(served == 10, "with its node frozen, repeatable requests are all served elsewhere");
    mesh.pause(other, false);
    eventually("its leave is acknowledged", [&] {
      return call(at(other, kControl), "POST", "/v1/Instances.Deregister/i-2").status == 200;
    });
  }
  const auto smuggled =
      raw(at(front, kEgress),
          "POST /a/1 HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: t2\r\nContent-Length: "
          "4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  require(smuggled.rfind("HTTP/1.1 400", 0) == 0 && smuggled.find("(open)") == std::string::npos,
          "two lengths: 400 and closed");
  require(!app.runs().contains("t2"), "and nothing ran");

  require(mesh.stop(cores[0], SIGKILL) != 0, "a core node is killed and its disk wiped");
  mesh.wipe(cores[0]);
  require(put(cores[1], 3, config(5, "/c/")) == 200, "two of three still take a change");
  mesh.start(cores[0], true, false);
  eventually("the wiped node votes again", [&] {
    const auto status =
        json::parse(call(at(cores[0], kControl), "GET", "/v1/Status").body, nullptr, false);
    return status.is_object() && status["votes"] == true && status["revision"] == 5;
  });
  mesh.stop(cores[1], SIGKILL);
  eventually("and reads back what was acknowledged without it", [&] {
    const auto read = call(at(cores[0], kControl), "GET", "/v1/Configuration.Describe");
    return read.status == 200 && json::parse(read.body)["revision"] == 5;
  });
  eventually("the new route is in force at the sidecar", [&] {
    return call(at(front, kEgress), "POST", "/c/1",
                {{"Host", "echo.example"}, {"Attempt-Id", "t3"}}, "x")
               .status == 200;
  });
  require(app.beat("draining") == 200, "the drain is acknowledged");
  eventually("a drained server gets nothing more", [&] {
    return call(at(front, kEgress), "POST", "/c/1", {{"Host", "echo.example"}}, "x").status == 503;
  });
  const int status = mesh.stop(front, SIGTERM);
  require(WIFEXITED(status) && WEXITSTATUS(status) == 0, "SIGTERM ends a node in order");
}

}  // namespace

int main(int argc, char** argv) {
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
