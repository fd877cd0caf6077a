// The real program as a mesh: three core nodes, sidecars, stand-in servers. Waits for what it
// expects, up to a generous limit.
#include <atomic>
#include <thread>

#include "loopback/node_processes.hpp"

namespace merlingauge::test {
namespace {

// Nodes that stand still and go on again, with requests in their sockets.
void thaws(Mesh& mesh, App& app, const std::string& front, const std::string& back) {
  const auto ask = [&](const std::string& path, const std::string& id,
                       const std::string& deadline) {
    return call(at(front, kEgress), "POST", path,
                {{"Host", "echo.example"}, {"Attempt-Id", id}, {"Deadline-Ms", deadline}}, "x")
        .status;
  };
  const auto pause = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); };
  int status = 0;
  mesh.pause(back, true);
  std::thread waiting([&] { status = ask("/safe/1", "w1", "2000"); });
  pause(500);
  mesh.pause(back, false);
  waiting.join();
  require(status == 200, "with nowhere else to go, the answer of a silent node is waited for");
  require(app.runs()["w1"] == 1, "and it ran once");

  mesh.pause(back, true);
  require(ask("/a/1", "w2", "300") == 504, "what may have run is never promised not to have");
  mesh.pause(back, false);
  eventually("the node takes requests again", [&] { return ask("/a/1", "w3", "2000") == 200; });
  require(!app.runs().contains("w2"),
          "a node that goes on passes nothing on for callers that left");

  require(ask("/safe/drop", "w6", "2000") == 502 && app.runs()["w6"] == 1,
          "a server that breaks off at work isn't sent the request again by its own node");

  mesh.pause(front, true);
  {
    net::StreamSocket socket{net::SocketAddress(at(front, kEgress))};
    const std::string text =
        "POST /a/1 HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: w4\r\nContent-Length: 0\r\n\r\n";
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
  }
  mesh.pause(front, false);
  eventually("so does the first node", [&] { return ask("/a/1", "w5", "2000") == 200; });
  require(!app.runs().contains("w4"), "nor does the node that a caller gave up on");
}

void play(const std::string& program) {
  // Runs beside each other don't share addresses.
  const std::string hosts = "127." + std::to_string(20 + ::getpid() % 200);
  Mesh mesh(program, hosts);
  const std::vector<std::string> cores = {hosts + ".0.1", hosts + ".0.2", hosts + ".0.3"};
  const std::string front = hosts + ".0.11";
  const std::string back = hosts + ".0.12";
  const std::string other = hosts + ".0.13";
  for (const auto& ip : cores) mesh.start(ip, Mesh::Kind::core, true);
  for (const auto& ip : {front, back, other}) mesh.start(ip, Mesh::Kind::sidecar, true);
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
  // What another version of the program might say, and worse: refused, and the node lives on.
  const std::pair<const char*, const char*> foreign[] = {
      {"/news", "{\"x\":1}"},
      {"/news", "[1,2]"},
      {"/news", "{"},
      {"/news", R"({"from":"127.91.0.12","vector":{"127.91.0.12":[7,1]},"pages":[]})"},
      {"/news", R"({"f":"127.91.0.12","s":0,"w":"soon","d":0,"h":0})"},
      {"/news", R"({"f":"127.91.0.12","s":0,"w":0,"d":0,"h":0,"a":1,"v":{"y":"z"}})"},
      {"/register", R"({"kind":"prepare","ballot":7})"},
      {"/register", R"([])"},
      {"/register", R"({"k":1,"f":"x","b":[9,"x"],"l":{},"v":{"s":9,"e":0,"v":[],"h":7}})"},
      {"/register", R"({"k":1,"f":"x","b":[9,"x"],"l":{},"v":{"s":9,"e":0,"v":[],
                        "h":{"i":1,"f":-1,"s":1,"a":"BAAAAAAAAAAA"}}})"},
      {"/register", R"({"k":1,"f":"x","b":[9,"x"],"l":{},"v":{"s":9,"e":0,"v":[],
                        "h":{"i":1,"f":0,"s":1,"a":"BAAAAAAAAAAA"}}})"},
      {"/register", R"({"k":1,"f":"x","b":[9,"x"],"l":{},"v":{"s":9,"e":0,"v":[],
                        "h":{"i":1,"f":0,"s":1,"a":"*"}}})"},
      {"/pages", "{}"}};
  for (const auto& [path, text] : foreign) {
    const int status = call(at(cores[0], kInner), "POST", path, {}, text).status;
    require(status >= 400 && status < 500, std::string("a foreign message is refused: ") + text);
  }
  require(call(at(cores[0], kControl), "GET", "/v1/Status").status == 200,
          "the node is still there");
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
  thaws(mesh, app, front, back);
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
    second.beat("available");
    for (int i = 0; i < 10; ++i) {
      require(!second.runs().contains("f" + std::to_string(i)),
              "what was served elsewhere isn't run once the frozen node goes on");
    }
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
  mesh.start(cores[0], Mesh::Kind::core, false);
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
  // Requests go on to a server whose node is stopped: none is begun that the node can't end.
  std::vector<std::thread> callers;
  std::atomic<int> cut{0};
  std::atomic<int> whole{0};
  std::thread stopping([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    mesh.stop(back, SIGTERM);
  });
  for (int i = 0; i < 22; ++i) {
    callers.emplace_back([&, i] {
      const auto got =
          call(at(front, kEgress), "POST", "/c/slow",
               {{"Host", "echo.example"}, {"Attempt-Id", "q" + std::to_string(i)}}, "x");
      whole += got.status == 200 ? 1 : 0;
      cut += got.status == 200 || got.status == 503 ? 0 : 1;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(350));
  }
  for (auto& caller : callers) caller.join();
  stopping.join();
  require(whole > 0 && cut == 0, "a node that is stopped cuts nothing off");
  mesh.start(back, Mesh::Kind::sidecar, false);
  eventually("it is there again", [&] {
    app.beat("available");
    return call(at(front, kEgress), "POST", "/c/1",
                {{"Host", "echo.example"}, {"Attempt-Id", "t4"}}, "x")
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
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  return merlingauge::test::runPlay(argc, argv, merlingauge::test::play);
}
