// Writes the compatibility fixtures: what a version of the program stores and says, for the tests
// of later versions to read. Not a test itself; tests/fixtures/README.md tells how it is run.
//
// Two sources, told apart in messages/index.txt: `recorded` is what real nodes sent each other,
// caught by recorders between them; `library` is what the same code says in simulated time, for
// words that real nodes say only after minutes or by a fault.
#include <algorithm>
#include <fstream>
#include <iomanip>

#include "compatibility/recorder.hpp"
#include "consensus/acceptor.hpp"
#include "consensus/message_codec.hpp"
#include "gossip/gossip_service.hpp"

namespace merlingauge::test {
namespace {

namespace fs = std::filesystem;
using consensus::Acceptor;
using consensus::Ballot;
using consensus::RegisterRequest;
using membership::InstanceRegistry;

constexpr int kPortsApart = 10;
constexpr int kBackIngress = 21863;

void writeFile(const fs::path& path, const std::string& bytes) {
  fs::create_directories(path.parent_path());
  std::ofstream(path, std::ios::binary) << bytes;
}

// ---- Which messages are kept

struct Message {
  std::string name;
  std::string path;
  std::string source;  // recorded, library
  int status = 0;
  std::string ask;
  std::string answer;
};

using Fits = std::function<bool(const json& ask, const json& answer)>;
struct Wanted {
  const char* name;
  const char* path;
  Fits fits;
};

const json& partOf(const json& j, const char* key) {
  static const json kNone = json::object();
  return j.is_object() && j.contains(key) ? j.at(key) : kNone;
}

bool askIs(const json& ask, RegisterRequest::Kind kind) {
  return ask.at("k") == static_cast<int>(kind);
}

constexpr int kAnyStatus = -1;
bool tellsServer(const json& answer, int status = kAnyStatus) {
  const auto& items = partOf(answer, "i");
  return std::any_of(items.begin(), items.end(), [status](const auto& item) {
    return item.at(0) == "s" && (status == kAnyStatus || item.at(6) == status);
  });
}

std::vector<Wanted> joined(std::vector<Wanted> first, const std::vector<Wanted>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

// Discovery, probes and pulls with updates of nodes and instances.
std::vector<Wanted> wantedUpdates() {
  return {
      {"news-greeting", "/news",
       [](const json& ask, const json& answer) {
         return ask.contains("g") && partOf(answer, "c").size() >= 3;
       }},
      {"news-probe", "/news", [](const json& ask, const json&) { return ask.contains("p"); }},
      {"news-first-contact-of-core", "/news",
       [](const json& ask, const json& answer) {
         return ask.contains("a") && ask.contains("c") && answer.contains("i");
       }},
      {"news-first-contact-of-sidecar", "/news",
       [](const json& ask, const json& answer) {
         return ask.contains("a") && !ask.contains("c") && answer.contains("i") &&
                answer.contains("c");
       }},
      {"news-delta-server", "/news",
       [](const json& ask, const json& answer) {
         return !ask.contains("a") && ask.contains("t") && !answer.contains("c") &&
                tellsServer(answer);
       }},
      {"news-server-drains", "/news",
       [](const json&, const json& answer) { return tellsServer(answer, 1); }},
      {"news-server-has-left", "/news",
       [](const json&, const json& answer) { return tellsServer(answer, 2); }},
      {"news-delta-node", "/news",
       [](const json& ask, const json& answer) {
         return !ask.contains("a") && ask.contains("v") && answer.contains("i") &&
                !tellsServer(answer);
       }},
      {"news-nothing-new", "/news",
       [](const json& ask, const json& answer) {
         return ask.contains("w") && !ask.contains("a") && !answer.contains("i") &&
                !answer.contains("v") && !answer.contains("c") && answer.contains("e");
       }},
  };
}

// Quorum contact, register values and the repair of differences.
std::vector<Wanted> wantedValuesAndRepairs() {
  return {
      {"news-evidence-of-voter", "/news",
       [](const json&, const json& answer) { return answer.contains("y"); }},
      {"news-out-of-touch", "/news",
       [](const json&, const json& answer) { return answer.contains("u"); }},
      {"news-needs-whole-vector", "/news",
       [](const json&, const json& answer) { return answer.contains("q"); }},
      {"news-value-packed", "/news",
       [](const json&, const json& answer) { return partOf(answer, "c").contains("z"); }},
      {"news-value-delta", "/news",
       [](const json&, const json& answer) { return partOf(answer, "c").contains("d"); }},
      {"news-value-text-at-hand", "/news",
       [](const json&, const json& answer) {
         const auto& c = partOf(answer, "c");
         return c.contains("i") && !c.contains("d") && !c.contains("z") && !c.contains("c");
       }},
      {"news-value-changing-voters", "/news",
       [](const json&, const json& answer) { return partOf(answer, "c").contains("b"); }},
      {"news-turn-later", "/news",
       [](const json& ask, const json& answer) {
         return ask.contains("a") && answer.contains("l");
       }},
      {"news-range-digests", "/news",
       [](const json&, const json& answer) { return answer.contains("r"); }},
      {"news-mend-ranges", "/news",
       [](const json& ask, const json& answer) {
         return ask.contains("m") && ask.contains("i") && answer.contains("i");
       }},
      {"news-struck-lives", "/news",
       [](const json& ask, const json&) { return ask.contains("x"); }},
  };
}

const std::vector<Wanted>& wantedGossip() {
  static const std::vector<Wanted> kWanted = joined(wantedUpdates(), wantedValuesAndRepairs());
  return kWanted;
}

bool isPrepare(const json& ask) { return askIs(ask, RegisterRequest::Kind::prepare); }
bool isAccept(const json& ask) { return askIs(ask, RegisterRequest::Kind::accept); }
const json& valueOf(const json& message) { return partOf(message, "v"); }

std::vector<Wanted> wantedPrepares() {
  return {
      {"register-prepare-at-first", "/register",
       [](const json& ask, const json& answer) {
         return isPrepare(ask) && !ask.contains("h") && answer.at("o") == true &&
                !answer.contains("a");
       }},
      {"register-prepare-same", "/register",
       [](const json& ask, const json& answer) {
         return isPrepare(ask) && ask.contains("g") && answer.contains("i");
       }},
      {"register-prepare-value-text-at-hand", "/register",
       [](const json& ask, const json& answer) {
         const auto& v = valueOf(answer);
         return isPrepare(ask) && v.contains("i") && !v.contains("c") && !v.contains("d") &&
                !v.contains("z") && !v.contains("m");
       }},
      {"register-prepare-value-delta", "/register",
       [](const json& ask, const json& answer) {
         return isPrepare(ask) && valueOf(answer).contains("d");
       }},
      {"register-prepare-value-text-only-named", "/register",
       [](const json& ask, const json& answer) {
         return isPrepare(ask) && valueOf(answer).contains("m");
       }},
      {"register-prepare-refused", "/register",
       [](const json& ask, const json& answer) {
         return isPrepare(ask) && answer.at("o") == false && !answer.contains("z");
       }},
      {"register-prepare-asleep", "/register",
       [](const json& ask, const json& answer) { return isPrepare(ask) && answer.contains("z"); }},
      {"register-prepare-copied-value", "/register",
       [](const json& ask, const json& answer) {
         return isPrepare(ask) && answer.at("o") == true && answer.contains("c");
       }},
      {"register-prepare-lives-known", "/register",
       [](const json& ask, const json& answer) { return isPrepare(ask) && answer.contains("l"); }},
  };
}

std::vector<Wanted> wantedAccepts() {
  return {
      {"register-accept-text-short", "/register",
       [](const json& ask, const json&) { return isAccept(ask) && valueOf(ask).contains("c"); }},
      {"register-accept-text-packed", "/register",
       [](const json& ask, const json&) { return isAccept(ask) && valueOf(ask).contains("z"); }},
      {"register-accept-text-and-history-delta", "/register",
       [](const json& ask, const json&) {
         return isAccept(ask) && valueOf(ask).contains("d") &&
                partOf(valueOf(ask), "h").contains("o");
       }},
      {"register-accept-history-whole", "/register",
       [](const json& ask, const json&) {
         return isAccept(ask) && partOf(valueOf(ask), "h").contains("s");
       }},
      {"register-accept-changing-voters", "/register",
       [](const json& ask, const json&) { return isAccept(ask) && valueOf(ask).contains("b"); }},
      {"register-accept-refused", "/register",
       [](const json& ask, const json& answer) {
         return isAccept(ask) && answer.at("o") == false;
       }},
  };
}

std::vector<Wanted> wantedRejoinsAndFetches() {
  return {
      {"register-rejoin", "/register",
       [](const json& ask, const json& answer) {
         return askIs(ask, RegisterRequest::Kind::rejoin) && answer.at("o") == true &&
                answer.contains("k") && answer.contains("v");
       }},
      {"register-rejoin-value-packed", "/register",
       [](const json& ask, const json& answer) {
         return askIs(ask, RegisterRequest::Kind::rejoin) && valueOf(answer).contains("z");
       }},
      {"register-rejoin-asleep", "/register",
       [](const json& ask, const json& answer) {
         return askIs(ask, RegisterRequest::Kind::rejoin) && answer.contains("z");
       }},
      {"register-rejoin-life-is-over", "/register",
       [](const json& ask, const json& answer) {
         return askIs(ask, RegisterRequest::Kind::rejoin) && answer.at("o") == false &&
                answer.contains("k");
       }},
      {"register-fetch", "/register",
       [](const json& ask, const json& answer) {
         return askIs(ask, RegisterRequest::Kind::fetch) && answer.contains("v");
       }},
  };
}

const std::vector<Wanted>& wantedRegister() {
  static const std::vector<Wanted> kWanted =
      joined(joined(wantedPrepares(), wantedAccepts()), wantedRejoinsAndFetches());
  return kWanted;
}

class Collection {
 public:
  // Kept if it is the first of a kind that is wanted.
  void offer(const std::string& path, const std::string& ask, int status, const std::string& answer,
             const std::string& source) {
    const auto asked = json::parse(ask, nullptr, false);
    const auto said = json::parse(answer, nullptr, false);
    if (status != 200 || !asked.is_object() || !said.is_object()) return;
    for (const auto& wanted : path == "/news" ? wantedGossip() : wantedRegister()) {
      if (path != wanted.path || kept_.contains(wanted.name) || !wanted.fits(asked, said)) continue;
      kept_[wanted.name] = {wanted.name, path, source, status, ask, answer};
    }
  }
  void write(const fs::path& folder) const {
    std::string index = "# name path status source\n";
    for (const auto& [name, m] : kept_) {
      writeFile(folder / (name + ".ask.json"), m.ask);
      writeFile(folder / (name + ".answer.json"), m.answer);
      index += name + " " + m.path + " " + std::to_string(m.status) + " " + m.source + "\n";
    }
    writeFile(folder / "index.txt", index);
  }
  [[nodiscard]] std::vector<std::string> missing() const {
    std::vector<std::string> out;
    for (const auto* list : {&wantedGossip(), &wantedRegister()}) {
      for (const auto& wanted : *list) {
        if (!kept_.contains(wanted.name)) out.emplace_back(wanted.name);
      }
    }
    return out;
  }

 private:
  std::map<std::string, Message> kept_;
};

// ---- Real nodes with recorders between them

// Long enough to travel packed or as a delta. `family` is in every route.
std::string configurationOf(int revision, const std::string& family) {
  constexpr int kRoutes = 26;
  json routes = json::array();
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back({{"name", "r" + std::to_string(i)},
                      {"hostname", "echo.example"},
                      {"path_prefix", "/" + family + std::to_string(i) + "/"},
                      {"route_type", i % 2 == 0 ? "idempotent" : "non_idempotent"},
                      {"timeout_s", 2},
                      {"target_service", "echo"},
                      {"max_attempts", 2},
                      {"priority", i % 3}});
  }
  // What differs between two revisions of a family.
  routes.back()["path_prefix"] = "/last" + std::to_string(revision) + "/";
  return json{{"revision", revision},
              {"route_rules", routes},
              {"services", {{{"name", "echo"}}, {{"name", "front"}}}}}
      .dump();
}

class Site {
 public:
  explicit Site(const std::string& program)
      : program_(program), hosts_(hostsOfThisProcess()), mesh_(program, hosts_) {
    for (int n = 1; n <= 4; ++n) nodes_.push_back(core(n));
    nodes_.push_back(front());
    nodes_.push_back(back());
    // Each node takes all others to listen at its own internal port: there a recorder stands.
    for (const auto& from : nodes_) {
      for (const auto& to : nodes_) {
        if (from == to) continue;
        recorder_.relay(from, to, at(to, portOf(from)), at(to, portOf(to)));
      }
    }
    recorder_.relay(front(), back(), at(back(), kIngress), at(back(), kBackIngress));
    mesh_.adjust = [this](json& settings) {
      const auto ip = settings["self_node"]["ip_address"].get<std::string>();
      settings["network"]["internal_port_range"] = {portOf(ip), portOf(ip) + 1};
      if (ip == back()) settings["network"]["listeners"]["ingress"] = at(ip, kBackIngress);
    };
  }
  [[nodiscard]] std::string core(int n) const { return hosts_ + ".0." + std::to_string(n); }
  [[nodiscard]] std::string front() const { return hosts_ + ".0.11"; }
  [[nodiscard]] std::string back() const { return hosts_ + ".0.12"; }
  [[nodiscard]] const std::string& program() const { return program_; }
  NodeProcesses& mesh() { return mesh_; }
  Recorder& recorder() { return recorder_; }

  static json status(const std::string& ip) {
    auto told = json::parse(call(at(ip, kControl), "GET", "/v1/Status").body, nullptr, false);
    return told.is_object() ? told : json::object();  // empty where the node doesn't answer
  }
  static int put(const std::string& ip, int base, const std::string& text) {
    return call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(base)}}, text)
        .status;
  }
  // Sends the same again until it is taken, and keeps the text.
  void change(const std::string& ip, int revision, const std::string& family) {
    const auto text = configurationOf(revision, family);
    eventually("revision " + std::to_string(revision) + " is taken",
               [&] { return put(ip, inPlace_, text) == 200; });
    inPlace_ = revision;
    texts_[revision] = text;
  }
  void waitForAll(const std::vector<std::string>& ips) {
    eventually("all know revision " + std::to_string(inPlace_), [&] {
      return std::all_of(ips.begin(), ips.end(), [&](const auto& ip) {
        auto told = status(ip);
        return told.is_object() && told["revision"] == inPlace_;
      });
    });
  }
  // A message as if from that node, through the recorder.
  void sendAs(const std::string& from, const std::string& to, const std::string& path,
              const std::string& body) const {
    call(at(to, portOf(from)), "POST", path, {}, body);
  }
  [[nodiscard]] int inPlace() const { return inPlace_; }
  void nowInPlace(int revision, const std::string& text) {
    inPlace_ = revision;
    texts_[revision] = text;
  }
  [[nodiscard]] const std::map<int, std::string>& texts() const { return texts_; }

 private:
  [[nodiscard]] int portOf(const std::string& ip) const {
    const auto place = std::find(nodes_.begin(), nodes_.end(), ip) - nodes_.begin();
    return kInner + 10 + kPortsApart * static_cast<int>(place);
  }
  std::string program_;
  std::string hosts_;
  std::vector<std::string> nodes_;
  Recorder recorder_;
  NodeProcesses mesh_;
  int inPlace_ = 0;
  std::map<int, std::string> texts_;
};

void pauseFor(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

int run(const std::string& program, const std::vector<std::string>& arguments) {
  const pid_t pid = ::fork();
  if (pid == 0) {
    std::vector<char*> words = {const_cast<char*>(program.c_str())};
    for (const auto& argument : arguments) words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    ::execv(program.c_str(), words.data());
    ::_exit(127);
  }
  int status = 0;
  ::waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

// A first configuration, a change of voters, two changes: then the files of a voter.
void writeStore(Site& site, const fs::path& folder) {
  auto& mesh = site.mesh();
  site.change(site.core(1), 3, "alpha");
  site.waitForAll({site.core(1), site.core(2), site.core(3)});
  mesh.start(site.core(4), NodeProcesses::Kind::core, false);
  eventually("the spare has read the voters' promises", [&] {
    auto told = Site::status(site.core(2));
    for (const auto& node : told["nodes"]) {
      if (node["node"] == site.core(4) && node["awake"] == true) return true;
    }
    return false;
  });
  site.change(site.core(2), 4, "alpha");
  mesh.stop(site.core(3), SIGTERM);
  eventually("the spare votes in place of the one that left", [&] {
    auto told = Site::status(site.core(1));
    return told["voters_before"].empty() &&
           told["voters"] == json{site.core(1), site.core(2), site.core(4)};
  });
  site.change(site.core(1), 7, "alpha");
  site.waitForAll({site.core(1), site.core(2), site.core(4)});
  const auto snapshot = (folder / "voter.snapshot").string();
  require(
      run(site.program(), {"state", "save", snapshot, "--data", mesh.dataOf(site.core(1))}) == 0,
      "a snapshot is saved beside the running voter");
  const int end = mesh.stop(site.core(1), SIGTERM);
  require(WIFEXITED(end) && WEXITSTATUS(end) == 0, "the voter ends in order");
  fs::create_directories(folder / "store");
  fs::copy(mesh.dataOf(site.core(1)) + "/register", folder / "store" / "register");
  mesh.start(site.core(1), NodeProcesses::Kind::core, false);
  mesh.start(site.core(3), NodeProcesses::Kind::core, false);
  eventually("both are back", [&] {
    return Site::status(site.core(1))["revision"] == 7 &&
           Site::status(site.core(3))["revision"] == 7;
  });
}

// Two orders at once through two nodes: one of them takes the other's turn.
void contend(Site& site) {
  for (int i = 0; i < 6; ++i) {
    const int base = site.inPlace();
    const auto mine = configurationOf(base + 1, "alpha");
    const auto theirs = configurationOf(base + 2, "alpha");
    std::atomic<int> first{0};
    std::atomic<int> second{0};
    std::thread other([&] { second = Site::put(site.core(2), base, theirs); });
    first = Site::put(site.core(4), base, mine);
    other.join();
    eventually("the rivals come to an end", [&] {
      const auto told = call(at(site.core(2), kControl), "GET", "/v1/Configuration.Describe");
      if (told.status != 200) return false;
      const auto text = told.body;
      site.nowInPlace(json::parse(text)["revision"].get<int>(), text);
      return true;
    });
  }
}

// One voter sleeps through a change to a wholly other text, and is asked for the next change before
// anybody has told it: it learns of the text from the promises, by its name only.
void fetchText(Site& site) {
  const auto apart = site.core(2);
  auto& recorder = site.recorder();
  recorder.cut([apart](const auto& from, const auto& to, const auto&) {
    return from == apart || to == apart;
  });
  site.change(site.core(1), site.inPlace() + 1, "beta");
  recorder.cut([apart](const auto& from, const auto& to, const auto& path) {
    return path == "/news" && (from == apart || to == apart);
  });
  site.change(apart, site.inPlace() + 1, "beta");
  recorder.cut(nullptr);
}

void beatAll(Site& site, StandInServer& app) {
  app.sendHeartbeat("available");
  const json other = {
      {"address", at(site.back(), kApp)},
      {"node_info",
       {{"target_service", "echo"}, {"revision", "v1"}, {"zone", "z"}, {"capacity", 2}}},
      {"status_detail", {{"status", "available"}, {"sequence", 1}, {"warmup_left_s", 0}}}};
  require(
      call(at(site.back(), kControl), "POST", "/v1/Instances.Heartbeat/another", {}, other.dump())
              .status == 200,
      "a second life at the address of the first is heard");
}

int ask(Site& site, const std::string& path) {
  return call(at(site.front(), kEgress), "POST", path,
              {{"Host", "echo.example"}, {"Attempt-Id", "fixture" + path}, {"Deadline-Ms", "2000"}},
              "x")
      .status;
}

// Requests through egress and ingress: answered, refused in each way, and left unclear.
void request(Site& site, StandInServer& app) {
  eventually("a request is served", [&] {
    app.sendHeartbeat("available");
    return ask(site, "/alpha0/plain") == 200;
  });
  ask(site, "/alpha1/once");
  ask(site, "/alpha1/drop");
  beatAll(site, app);
  const auto direct = [&](const std::string& id) {
    call(at(site.back(), kIngress), "POST", "/alpha0/slow",
         {{"Host", "echo.example"},
          {"Expected-Instance", id},
          {"Attempt-Id", "direct-" + id},
          {"Deadline-Ms", "2000"}},
         "x");
  };
  for (int i = 0; i < 6; ++i) ask(site, "/alpha2/turned");
  direct("another");
  app.sendHeartbeat("available");
  std::vector<std::thread> many;
  for (int i = 0; i < 8; ++i) {
    many.emplace_back([&site] { ask(site, "/alpha0/slow"); });
  }
  for (auto& one : many) one.join();
  // Said to the ingress directly: an egress doesn't ask for servers that it doesn't know, nor for
  // more than it knows a server to take.
  direct("nobody");
  many.clear();
  app.sendHeartbeat("available");
  for (int i = 0; i < 4; ++i) many.emplace_back([&] { direct("i-1"); });
  for (auto& one : many) one.join();
}

// A voter that lost its disk reads the others first, and then votes with a value copied from them.
void wipeVoter(Site& site) {
  site.mesh().stop(site.core(2), SIGKILL);
  site.mesh().wipe(site.core(2));
  site.mesh().start(site.core(2), NodeProcesses::Kind::core, false);
  eventually("the voter votes again", [&] { return Site::status(site.core(2))["votes"] == true; });
  site.change(site.core(1), site.inPlace() + 1, "beta");
}

// A pull said long ago: the core has heard more since, and wants to be told anew.
void pullAgain(Site& site) {
  for (const auto& e : site.recorder().exchanges()) {
    const auto pull = json::parse(e.ask, nullptr, false);
    const bool delta = pull.is_object() && !pull.contains("a") && pull.contains("v");
    if (e.path != "/news" || e.from != site.front() || e.to != site.core(1) || !delta) continue;
    site.sendAs(e.from, e.to, e.path, e.ask);
    return;
  }
}

// At the end: voters lose their disks, and one of three doesn't come back.
void loseVoters(Site& site) {
  auto& mesh = site.mesh();
  site.waitForAll({site.core(1), site.core(2), site.core(4)});
  auto told = Site::status(site.core(1));
  require(told["voters"].size() == 3, "there are three voters");
  // One with an empty disk, while the third doesn't answer, stays asleep.
  mesh.stop(site.core(3), SIGKILL);
  mesh.stop(site.core(4), SIGKILL);
  mesh.stop(site.core(2), SIGKILL);
  mesh.wipe(site.core(2));
  mesh.start(site.core(2), NodeProcesses::Kind::core, false);
  mesh.wipe(site.core(4));
  mesh.start(site.core(4), NodeProcesses::Kind::core, false);
  pauseFor(3000);
  Site::put(site.core(1), site.inPlace(), configurationOf(site.inPlace() + 1, "beta"));
  pauseFor(4000);
}

std::string headOf(const std::vector<std::pair<std::string, std::string>>& headers) {
  std::string out;
  for (const auto& [name, value] : headers) {
    out.append(name).append(": ").append(value).append("\n");
  }
  return out;
}

// The heads between egress and ingress, as they were; the first of each kind.
std::string hopText(const std::vector<Exchange>& exchanges) {
  std::set<std::string> kinds;
  std::string out;
  for (const auto& e : exchanges) {
    if (e.path == "/news" || e.path == "/register") continue;
    const bool direct =
        e.ask.empty()
            ? false
            : e.askHeaders.end() !=
                  std::find_if(e.askHeaders.begin(), e.askHeaders.end(),
                               [](const auto& h) { return h.second.rfind("direct-", 0) == 0; });
    std::string kind = direct ? "direct" : "";
    for (const auto& [name, value] : e.askHeaders) {
      if (name.rfind("Hut-", 0) == 0) kind += " " + name;
    }
    kind += " " + std::to_string(e.status);
    for (const auto& [name, value] : e.answerHeaders) {
      if (name.rfind("Hut-", 0) == 0) kind += " " + name;
      if (name == "Hut-Refused") kind += "=" + value;
    }
    if (!kinds.insert(kind).second) continue;
    out += std::string("request") + (direct ? " (of the fixture writer)" : "") + "\n";
    out += headOf(e.askHeaders);
    for (const int sign : e.signs) out += "sign " + std::to_string(sign) + "\n";
    out += "answer " + std::to_string(e.status) + "\n";
    out += headOf(e.answerHeaders) + "\n";
  }
  return out;
}

void recordRealNodes(const std::string& program, const fs::path& folder, Collection& collection) {
  Site site(program);
  for (int n = 1; n <= 3; ++n) site.mesh().start(site.core(n), NodeProcesses::Kind::core, true);
  for (const auto& ip : {site.front(), site.back()}) {
    site.mesh().start(ip, NodeProcesses::Kind::sidecar, true);
  }
  writeStore(site, folder);
  // One that comes to a mesh that has a configuration.
  site.mesh().stop(site.front(), SIGKILL);
  site.mesh().start(site.front(), NodeProcesses::Kind::sidecar, false);
  contend(site);
  {
    StandInServer app(site.back(), "i-1");
    request(site, app);
    app.sendHeartbeat("draining");
    pauseFor(500);  // else others hear of both at once
    require(call(at(site.back(), kControl), "POST", "/v1/Instances.Deregister/i-1").status == 200,
            "a server leaves");
  }
  fetchText(site);
  pullAgain(site);
  wipeVoter(site);
  loseVoters(site);
  const auto exchanges = site.recorder().exchanges();
  std::cout << exchanges.size() << " messages between nodes\n";
  for (const auto& e : exchanges) {
    if (e.path == "/news" || e.path == "/register") {
      collection.offer(e.path, e.ask, e.status, e.answer, "recorded");
    }
  }
  writeFile(folder / "hop-headers.txt", hopText(exchanges));
  for (const auto& [revision, text] : site.texts()) {
    writeFile(folder / "configurations" / ("revision-" + std::to_string(revision) + ".json"), text);
  }
}

// ---- The same code in simulated time

class Simulation {
 public:
  explicit Simulation(Collection& collection) : collection_(collection) {}

  void add(const std::string& id, bool core) {
    auto node = std::make_unique<Node>();
    auto& n = *node;
    n.id = NodeId(id);
    n.up = true;
    n.book = std::make_unique<InstanceRegistry>(
        membership::NodeInfo{n.id, ZoneName("z"), core, false, false, 0, Incarnation{}},
        Incarnation{nextLife_++});
    nodes_[id] = std::move(node);
    n.environment = std::make_unique<Environment>(*this, n);
    n.replica = std::make_unique<Replica>(*this, n);
    gossip::GossipOptions options;
    options.self = n.id;
    options.zone = ZoneName("z");
    options.seeds = seeds_;
    options.isControlNode = core;
    options.fullSyncInterval = std::chrono::milliseconds(300);
    n.gossipService = std::make_unique<gossip::GossipService>(
        gossip::GossipDependencies{*n.environment, *n.book, *n.replica, n.evidence},
        std::move(options), observer_);
  }
  // Seeds are named before the nodes that are to know them.
  void seed(const std::string& id) { seeds_.emplace_back(id); }
  InstanceRegistry& book(const std::string& id) { return *nodes_.at(id)->book; }
  void stop(const std::string& id) { nodes_.at(id)->up = false; }
  void hold(const std::string& id, const consensus::RegisterValue& value) {
    nodes_.at(id)->known = value;
    nodes_.at(id)->gossipService->notifyUpdate();
  }
  void probe(const std::string& by, const std::string& whom) {
    nodes_.at(by)->gossipService->probe(NodeId(whom), [](bool) {});
  }
  [[nodiscard]] TimePoint now() const { return now_; }

  void run(Duration length) {
    const TimePoint end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      while (!timers_.empty() && timers_.begin()->first.first <= now_) {
        timers_.extract(timers_.begin()).mapped()();
      }
      for (auto& [id, node] : nodes_) {
        if (!node->up) continue;
        node->book->expireInstances(now_, std::chrono::hours(1), std::chrono::seconds(60));
        node->gossipService->tick();
      }
    }
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(50);
  struct Node {
    NodeId id;
    bool up = false;
    std::unique_ptr<InstanceRegistry> book;
    consensus::RegisterValue known;
    std::string text;
    consensus::StalenessBound evidence;
    std::unique_ptr<gossip::Environment> environment;
    std::unique_ptr<consensus::RegisterReplica> replica;
    std::unique_ptr<gossip::GossipService> gossipService;
  };

  class Environment final : public gossip::Environment {
   public:
    Environment(Simulation& simulation, Node& node) : simulation_(simulation), node_(node) {}
    [[nodiscard]] TimePoint now() const override { return simulation_.now_; }
    [[nodiscard]] TimePoint readClock() const override { return simulation_.now_; }
    TimerId runAfter(Duration delay, std::function<void()> task) override {
      const auto timer = ++simulation_.lastTimer_;
      simulation_.timers_.emplace(std::make_pair(simulation_.now_ + delay, timer), std::move(task));
      return timer;
    }
    void cancel(TimerId timer) override {
      std::erase_if(simulation_.timers_,
                    [&](const auto& entry) { return entry.first.second == timer; });
    }
    void sendPull(const NodeId& to, const json& message, Duration timeout,
                  ResponseCallback onResponse) override {
      simulation_.post(node_, to, message.dump(), timeout, std::move(onResponse));
    }

   private:
    Simulation& simulation_;
    Node& node_;
  };

  class Replica final : public consensus::RegisterReplica {
   public:
    Replica(const Simulation& simulation, Node& node) : simulation_(simulation), node_(node) {}
    [[nodiscard]] const consensus::RegisterValue& committedValue() const override {
      return node_.known;
    }
    [[nodiscard]] const std::string& committedValueJson(std::uint64_t) override {
      node_.text = toJson(node_.known).dump();
      return node_.text;
    }
    [[nodiscard]] consensus::RegisterValue decodeValue(const json& encoded) const override {
      return consensus::valueFromJson(encoded);
    }
    void learn(const consensus::RegisterValue& value) override {
      if (value.sequence > node_.known.sequence) node_.known = value;
    }
    [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override {
      return simulation_.now_;
    }

   private:
    const Simulation& simulation_;
    Node& node_;
  };

  void post(Node& from, const NodeId& to, const std::string& body, Duration limit,
            std::function<void(std::optional<json>)> answer) {
    auto told = std::make_shared<bool>(false);
    const auto finish = [told, answer = std::move(answer), &from](std::optional<json> said) {
      if (std::exchange(*told, true) || !from.up) return;
      answer(std::move(said));
    };
    timers_.emplace(std::make_pair(now_ + limit, ++lastTimer_), [finish] { finish(std::nullopt); });
    const auto it = nodes_.find(to.str());
    if (it == nodes_.end() || !it->second->up) return;
    it->second->gossipService->handlePull(
        json::parse(body), [this, body, finish](const std::string& said) {
          collection_.offer("/news", body, 200, said, "library");
          timers_.emplace(std::make_pair(now_, ++lastTimer_),
                          [finish, said] { finish(json::parse(said)); });
        });
  }

  Collection& collection_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t nextLife_ = 1000;
  std::uint64_t lastTimer_ = 0;
  std::vector<NodeId> seeds_;
  gossip::GossipObserver observer_;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> timers_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
};

membership::Instance serverOf(int n) {
  membership::Instance server;
  server.id = InstanceId("i" + std::to_string(n));
  server.service = ServiceName("echo");
  server.address = "10.0.0." + std::to_string(n) + ":8080";
  server.zone = ZoneName("z");
  server.capacity = 4;
  server.sequence = 1;
  return server;
}

// A core that loses an item, a node that is gone for minutes, and many newcomers at once.
void simulateNews(Collection& collection) {
  Simulation simulation(collection);
  simulation.seed("10.0.1.1");
  simulation.seed("10.0.1.2");
  simulation.add("10.0.1.1", true);
  simulation.add("10.0.1.2", true);
  simulation.run(std::chrono::seconds(2));
  simulation.probe("10.0.1.1", "10.0.1.2");
  simulation.book("10.0.1.1").handleHeartbeat(serverOf(1), simulation.now());
  simulation.run(std::chrono::seconds(5));
  simulation.book("10.0.1.2").loseInstance(InstanceId("i1"));
  simulation.run(std::chrono::seconds(5));
  simulation.add("10.0.1.3", true);
  simulation.run(std::chrono::seconds(2));
  simulation.stop("10.0.1.3");
  simulation.book("10.0.1.1").markNodeUnresponsive(NodeId("10.0.1.3"));
  simulation.run(std::chrono::seconds(400));
  consensus::RegisterValue half;
  half.sequence = 1;
  half.epoch = 1;
  half.uniqueId = "10.0.1.1/1";
  half.voters = {NodeId("10.0.1.1"), NodeId("10.0.1.2")};
  half.previousVoters = {NodeId("10.0.1.1"), NodeId("10.0.1.3")};
  simulation.hold("10.0.1.1", half);
  simulation.run(std::chrono::seconds(3));
  constexpr int kNewcomers = 24;
  for (int i = 0; i < kNewcomers; ++i) simulation.add("10.0.2." + std::to_string(i), false);
  simulation.run(std::chrono::seconds(20));
  simulation.add("10.0.3.1", false);
  simulation.add("10.0.3.2", false);
  simulation.run(std::chrono::seconds(10));
}

// Words that real voters say only when messages cross in a rare way.
void simulateRegister(const std::map<int, std::string>& texts, Collection& collection) {
  Acceptor voter(NodeId("10.0.1.1"), consensus::firstIncarnation(7), true);
  config::ConfigTextCache textCache;
  const auto say = [&](const RegisterRequest& ask) {
    const auto body = toJson(ask, {}, &textCache).dump();
    const auto out = voter.handle(consensus::requestFromJson(json::parse(body), &textCache));
    collection.offer("/register", body, 200,
                     toJson(out.reply, consensus::receiverStateOf(ask), &textCache).dump(),
                     "library");
    consensus::cacheTexts(textCache, voter.value());
  };
  const auto prepare = [](std::uint64_t number) {
    RegisterRequest ask;
    ask.sender = NodeId("10.0.1.2");
    ask.ballot = Ballot{number, ask.sender};
    return ask;
  };
  const auto accept = [&](std::uint64_t number, const config::ConfigText::Ptr& text, int revision) {
    RegisterRequest ask = prepare(number);
    ask.kind = RegisterRequest::Kind::accept;
    ask.value.sequence = number;
    ask.value.uniqueId = "10.0.1.2/" + std::to_string(number);
    ask.value.config = text;
    ask.value.configRevision = Revision{revision};
    ask.value.history = std::make_shared<config::ChangeHistory>(Revision{revision});
    ask.value.voters = {NodeId("10.0.1.1"), NodeId("10.0.1.2")};
    return ask;
  };
  const auto large = config::ConfigText::create(texts.rbegin()->second);
  say(prepare(1));
  say(accept(2, config::ConfigText::create(config(2, "/short/")), 2));
  say(accept(3, large, texts.rbegin()->first));
  say(prepare(4));
  say(prepare(2));
  say(accept(2, large, texts.rbegin()->first));
  RegisterRequest reads = prepare(5);
  reads.knownValueId = "another stamp";
  reads.cachedTextId = large->id();
  say(reads);
  RegisterRequest rejoin;
  rejoin.kind = RegisterRequest::Kind::rejoin;
  rejoin.sender = NodeId("10.0.1.2");
  const auto older = consensus::nextIncarnation(Incarnation{}, 11);
  rejoin.incarnation = consensus::nextIncarnation(older, 12);
  say(rejoin);
  rejoin.incarnation = older;
  say(rejoin);
  RegisterRequest fetch;
  fetch.kind = RegisterRequest::Kind::fetch;
  fetch.sender = NodeId("10.0.1.2");
  fetch.wantedTextId = large->id();
  say(fetch);
}

int write(const std::string& program, const fs::path& folder) {
  Collection collection;
  fs::create_directories(folder);
  recordRealNodes(program, folder, collection);
  simulateNews(collection);
  std::map<int, std::string> texts;
  for (const auto& entry : fs::directory_iterator(folder / "configurations")) {
    std::ifstream in(entry.path());
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    texts[json::parse(text)["revision"].get<int>()] = text;
  }
  simulateRegister(texts, collection);
  collection.write(folder / "messages");
  for (const auto& name : collection.missing()) std::cerr << "MISSING: " << name << "\n";
  return collection.missing().empty() ? 0 : 1;
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "fixture_writer PROGRAM EMPTY-FOLDER\n";
    return 2;
  }
  try {
    return merlingauge::test::write(argv[1], argv[2]);
  } catch (const merlingauge::test::Failure& failure) {
    std::cerr << "FAILED: " << failure.what << "\n";
  } catch (const std::exception& problem) {
    std::cerr << "FAILED: " << problem.what() << "\n";
  }
  return 1;
}
