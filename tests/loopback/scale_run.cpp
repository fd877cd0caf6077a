// The scale run: real core nodes, real sidecars with stand-in servers and some load, and hollow
// nodes, many in a process, all on loopback addresses. Counts what control costs while nothing
// happens, while the configuration changes and while nodes are restarted; one line of JSON a run.
#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <sstream>

#include "loopback/lightweight_node.hpp"
#include "loopback/play.hpp"

namespace merlingauge::test {
namespace {

constexpr int kMostProcesses = 200;
constexpr double kCoreMb = 40;  // with the largest books seen; the estimate errs on the safe side
constexpr double kRealMb = 30;
constexpr double kHollowMb = 0.5;
constexpr double kItemKb = 1.6;  // of a node's book, per node or server known
constexpr int kWrongSize = 64;

struct Sizes {
  int cores = 3;
  int real = 2;
  int hollow = 20;
  int services = 4;
  int routes = 20;
  int zones = 3;
  int perProcess = 50;
  int changes = 1;   // a second, while they last
  int restarts = 1;  // a second, while they last
  int seconds = 5;   // of each part
  int settle = 3;    // before the first
  int limit = 120;   // for everybody to know of everybody
  int calls = 50;    // to tell what the path adds to one
  [[nodiscard]] int processes() const {
    return cores + real + (hollow + perProcess - 1) / perProcess;
  }
  [[nodiscard]] int nodes() const { return cores + real + hollow; }
  [[nodiscard]] double megabytes() const {
    const double book = kItemKb / 1024 * (nodes() + real + hollow);
    return cores * (kCoreMb + book) + real * (kRealMb + book) + hollow * (kHollowMb + book);
  }
};

struct Field {
  const char* name;
  int Sizes::*at;
  int least;
  int most;
};
constexpr Field kFields[] = {{"cores", &Sizes::cores, 1, 99},
                             {"real", &Sizes::real, 0, 99},
                             {"hollow", &Sizes::hollow, 1, 20000},
                             {"services", &Sizes::services, 1, 2000},
                             {"routes", &Sizes::routes, 1, 20000},
                             {"zones", &Sizes::zones, 1, 99},
                             {"per-process", &Sizes::perProcess, 1, 1000},
                             {"changes", &Sizes::changes, 0, 20},
                             {"restarts", &Sizes::restarts, 0, 100},
                             {"seconds", &Sizes::seconds, 1, 60},
                             {"settle", &Sizes::settle, 0, 60},
                             {"limit", &Sizes::limit, 1, 300},
                             {"calls", &Sizes::calls, 0, 20000}};

double machineMb() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  double kb = 0;
  file >> name >> kb;
  return kb / 1024;
}

// Empty where the arguments are sound.
std::string readSizes(int argc, char** argv, Sizes& sizes) {
  for (int i = 2; i < argc; ++i) {
    const std::string arg = argv[i];
    const auto equals = arg.find('=');
    const auto* field = std::find_if(std::begin(kFields), std::end(kFields), [&](const Field& f) {
      return arg.rfind("--", 0) == 0 && arg.substr(2, equals - 2) == f.name;
    });
    if (equals == std::string::npos || field == std::end(kFields))
      return "no such argument: " + arg;
    char* end = nullptr;
    const long value = std::strtol(arg.c_str() + equals + 1, &end, 10);
    if (end == arg.c_str() + equals + 1 || *end != '\0' || value < field->least ||
        value > field->most) {
      return arg + ": a whole number from " + std::to_string(field->least) + " to " +
             std::to_string(field->most) + " is wanted";
    }
    sizes.*(field->at) = static_cast<int>(value);
  }
  if (sizes.processes() > kMostProcesses) {
    return std::to_string(sizes.processes()) + " processes, at most " +
           std::to_string(kMostProcesses) + " are started: raise --per-process";
  }
  if (sizes.megabytes() > machineMb() / 2) {
    return "about " + std::to_string(static_cast<int>(sizes.megabytes())) +
           " MB, more than half of this machine's memory";
  }
  return "";
}

std::string hollowIp(int i) {
  return "127.93." + std::to_string(1 + i / 200) + "." + std::to_string(1 + i % 200);
}
std::string coreIp(int i) { return "127.93.0." + std::to_string(1 + i); }
std::string realIp(int i) { return "127.93.0." + std::to_string(101 + i); }
// Service 0 is that of the stand-in servers beside the real nodes.
std::string serviceName(int i) { return i == 0 ? "echo" : "svc" + std::to_string(i); }
std::string zoneName(int i, const Sizes& sizes) { return "z" + std::to_string(i % sizes.zones); }

std::int64_t nowUs() { return event::EventLoop::readClock().time_since_epoch().count(); }

// ---- a process full of hollow nodes: `restart N` and `tell` on its input, a line for each `tell`

using RevisionTimes = std::map<std::int64_t, std::int64_t>;  // when the last node learned each
using LightweightNodes = std::vector<std::unique_ptr<LightweightNode>>;

LightweightNodeOptions lightweightNodeOptions(int i, const Sizes& sizes, RevisionTimes& learned) {
  LightweightNodeOptions options;
  options.id = NodeId(hollowIp(i));
  options.zone = ZoneName(zoneName(i, sizes));
  options.service = ServiceName(serviceName(1 + i % sizes.services));
  for (int c = 0; c < std::min(3, sizes.cores); ++c) options.seeds.emplace_back(coreIp(c));
  options.port = kInner;
  options.onRevision = [&learned](std::int64_t revision) { learned[revision] = nowUs(); };
  return options;
}

// One line of JSON: what the nodes of this process know, and what they have sent so far.
void printReport(const LightweightNodes& nodes, const RevisionTimes& learned) {
  std::size_t fewest = SIZE_MAX;
  std::int64_t oldest = INT64_MAX;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  for (const auto& node : nodes) {
    fewest = std::min(fewest, node->nodes());
    oldest = std::min(oldest, node->revision());
    messages += node->messages();
    bytes += node->allBytes();
  }
  json times = json::object();
  for (const auto& [revision, at] : learned) {
    times[std::to_string(revision)] = at;
  }
  std::cout << json{{"fewest", fewest},
                    {"oldest", oldest},
                    {"messages", messages},
                    {"bytes", bytes},
                    {"learned", times}}
                   .dump()
            << std::endl;
}

int hollowMain(int first, int count, const Sizes& sizes) {
  event::EventLoop loop;
  RevisionTimes learned;
  LightweightNodes nodes;
  for (int i = first; i < first + count; ++i) {
    nodes.push_back(
        std::make_unique<LightweightNode>(loop, lightweightNodeOptions(i, sizes, learned)));
  }
  std::vector<std::function<void()>> ticks(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    ticks[i] = [&, i] {
      nodes[i]->tick();
      loop.after(std::chrono::milliseconds(100), ticks[i]);
    };
    // They come one after the other, as machines do.
    loop.after(std::chrono::milliseconds(5 * i), ticks[i]);
  }
  ::fcntl(0, F_SETFL, ::fcntl(0, F_GETFL) | O_NONBLOCK);
  Poco::Net::StreamSocket input(new Poco::Net::StreamSocketImpl(0));
  std::string text;
  loop.watch(input, Poco::Net::PollSet::POLL_READ, [&](int) {
    char chunk[256];
    ssize_t n = 0;
    while ((n = ::read(0, chunk, sizeof chunk)) > 0)
      text.append(chunk, static_cast<std::size_t>(n));
    if (n == 0) std::_Exit(0);
    for (std::size_t end = 0; (end = text.find('\n')) != std::string::npos;) {
      std::istringstream words(text.substr(0, end));
      text.erase(0, end + 1);
      std::string what;
      std::size_t which = 0;
      words >> what >> which;
      if (what == "tell") printReport(nodes, learned);
      if (what == "restart") nodes[which % nodes.size()]->restart();
    }
  });
  loop.run();
  return 0;
}

// ---- the run

// Ticks of processor time that a process has used.
double cpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  const auto end = text.rfind(')');
  if (end == std::string::npos) return 0;
  std::istringstream words(text.substr(end + 2));
  std::string word;
  double ticks = 0;
  for (int i = 0; words >> word; ++i) {
    if (i == 11 || i == 12) ticks += std::stod(word);
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double peakMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

class HollowProcess {
 public:
  HollowProcess(const std::string& self, int first, int count,
                const std::vector<std::string>& args) {
    int in[2];
    int out[2];
    if (::pipe2(in, O_CLOEXEC) != 0 || ::pipe2(out, O_CLOEXEC) != 0) throw Failure{"no pipe"};
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(in[0], 0);
      ::dup2(out[1], 1);
      std::vector<std::string> all = {self, "hollow", std::to_string(first), std::to_string(count)};
      all.insert(all.end(), args.begin(), args.end());
      std::vector<char*> raw;
      for (auto& arg : all) raw.push_back(arg.data());
      raw.push_back(nullptr);
      ::execv(self.c_str(), raw.data());
      ::_exit(127);
    }
    ::close(in[0]);
    ::close(out[1]);
    to_ = in[1];
    from_ = ::fdopen(out[0], "r");
  }
  ~HollowProcess() {
    ::close(to_);  // the end of its input ends it
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    ::fclose(from_);
  }
  HollowProcess(const HollowProcess&) = delete;
  HollowProcess& operator=(const HollowProcess&) = delete;

  void say(const std::string& line) {
    const auto text = line + "\n";
    if (::write(to_, text.data(), text.size()) < 0) throw Failure{"a hollow process is gone"};
  }
  json ask() {
    say("tell");
    std::string line;
    for (int c = 0; (c = std::fgetc(from_)) != '\n';) {
      if (c == EOF) throw Failure{"a hollow process is gone"};
      line.push_back(static_cast<char>(c));
    }
    return json::parse(line);
  }
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
  int to_ = -1;
  std::FILE* from_ = nullptr;
};

double median(std::vector<double> all) {
  if (all.empty()) return 0;
  std::sort(all.begin(), all.end());
  return all[all.size() / 2];
}

// What one part of the run cost, per node and second, by role.
struct Mark {
  double cpu = 0;
  double messages = 0;
  double bytes = 0;
  double syncs = 0;
};

class Run {
 public:
  Run(std::string self, std::string program, const Sizes& sizes, std::vector<std::string> args)
      : self_(std::move(self)),
        sizes_(sizes),
        args_(std::move(args)),
        mesh_(std::move(program), "127.93") {}

  json play() {
    out_ = {{"cores", sizes_.cores},       {"real", sizes_.real},     {"hollow", sizes_.hollow},
            {"services", sizes_.services}, {"routes", sizes_.routes}, {"zones", sizes_.zones}};
    begin();
    std::this_thread::sleep_for(std::chrono::seconds(sizes_.settle));
    added();
    part(
        "rest", [](int) {}, 0);
    part(
        "changes", [this](int) { change(); }, sizes_.changes);
    delays();
    part(
        "restarts", [this](int i) { restart(i); }, sizes_.restarts);
    std::vector<double> core;
    std::vector<double> real;
    for (int i = 0; i < sizes_.cores; ++i) core.push_back(peakMb(mesh_.pidOf(coreIp(i))));
    for (int i = 0; i < sizes_.real; ++i) real.push_back(peakMb(mesh_.pidOf(realIp(i))));
    double hollow = 0;
    for (const auto& process : hollow_) hollow += peakMb(process->pid());
    out_["core_peak_mb"] = median(core);
    out_["real_peak_mb"] = median(real);
    out_["hollow_peak_mb"] = hollow / sizes_.hollow;
    return out_;
  }

 private:
  void begin() {
    mesh_.adjust = [this](json& settings) {
      auto& node = settings["self_node"];
      const auto ip = node["ip_address"].get<std::string>();
      const int i = std::stoi(ip.substr(ip.rfind('.') + 1));
      node["zone"] = zoneName(i, sizes_);
      node["limits"] = {{"file_descriptors", 16384}, {"disk_mb", 256}, {"cpu_share", 0.1}};
      if (node.contains("target_service")) node["target_service"] = "echo";
      settings["policy_terms"]["fault_tolerance"] = {{"machines", (sizes_.cores - 1) / 2}};
    };
    for (int i = 0; i < sizes_.cores; ++i) mesh_.start(coreIp(i), NodeProcesses::Kind::core, true);
    waitFor("the first configuration", [&] { return put("Replace", 0, whole().dump()) == 200; });
    const auto from = nowUs();
    for (int i = 0; i < sizes_.real; ++i)
      mesh_.start(realIp(i), NodeProcesses::Kind::sidecar, true);
    for (int first = 0; first < sizes_.hollow; first += sizes_.perProcess) {
      const int count = std::min(sizes_.perProcess, sizes_.hollow - first);
      hollow_.push_back(std::make_unique<HollowProcess>(self_, first, count, args_));
    }
    for (int i = 0; i < sizes_.real; ++i) {
      apps_.push_back(std::make_unique<StandInServer>(realIp(i), "i-real-" + std::to_string(i)));
    }
    beats_ = std::thread([this] {
      while (!over_) {
        for (int i = 0; i < sizes_.real; ++i) {
          apps_[static_cast<std::size_t>(i)]->sendHeartbeat("available");
        }
        load();
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
      }
    });
    waitFor("everybody knows everybody", [&] {
      for (const auto& process : hollow_) {
        if (process->ask()["fewest"] < sizes_.nodes()) return false;
      }
      return true;
    });
    out_["start_s"] = static_cast<double>(nowUs() - from) / 1e6;
  }

  // A little traffic through the real sidecars, so that they are what they are in use.
  void load() {
    for (int i = 0; i < sizes_.real && !over_; ++i) {
      const auto got = call(at(realIp(i), kEgress), "GET", "/p0/x",
                            {{"Host", "h.example"}, {"Attempt-Id", "a" + std::to_string(++sent_)}});
      served_ += got.status == 200 ? 1 : 0;
    }
  }

  // The same calls to a stand-in server itself and through the path, by turns, one at a time on
  // kept connections: what egress, ingress and two more hops on loopback add.
  void added() {
    if (sizes_.real < 2 || sizes_.calls == 0) return;
    net::HTTPClientSession direct{net::SocketAddress(at(realIp(1), kApp))};
    net::HTTPClientSession through{net::SocketAddress(at(realIp(0), kEgress))};
    std::vector<double> times[2];
    for (int i = 0; i < 2 * sizes_.calls; ++i) {
      auto& session = i % 2 == 0 ? direct : through;
      session.setKeepAlive(true);
      net::HTTPRequest request("GET", "/p0/x", "HTTP/1.1");
      request.set("Host", "h.example");
      request.set("Attempt-Id", "d" + std::to_string(i));
      request.set("Expected-Instance", "i-real-1");
      const auto from = nowUs();
      session.sendRequest(request);
      net::HTTPResponse response;
      std::string body;
      Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
      if (response.getStatus() != 200) continue;
      times[i % 2].push_back(static_cast<double>(nowUs() - from) / 1e3);
    }
    for (auto& list : times) std::sort(list.begin(), list.end());
    json out;
    for (const double share : {0.5, 0.9, 0.99}) {
      const auto of = [share](const std::vector<double>& list) {
        return list.empty()
                   ? 0.0
                   : list[static_cast<std::size_t>(share * static_cast<double>(list.size() - 1))];
      };
      out["p" + std::to_string(static_cast<int>(share * 100))] = {of(times[0]), of(times[1])};
    }
    out["served"] = {times[0].size(), times[1].size()};
    out_["direct_and_through_ms"] = std::move(out);
  }

  json whole() const {
    json routes = json::array();
    for (int i = 0; i < sizes_.routes; ++i) routes.push_back(route(i, 2));
    json services = json::array();
    for (int i = 0; i <= sizes_.services; ++i) services.push_back({{"name", serviceName(i)}});
    return {{"revision", 1}, {"route_rules", routes}, {"services", services}};
  }

  [[nodiscard]] json route(int i, double timeout) const {
    // The first route leads to the stand-in servers.
    return {{"name", "r" + std::to_string(i)},
            {"hostname", "h.example"},
            {"path_prefix", "/p" + std::to_string(i) + "/"},
            {"route_type", "idempotent"},
            {"timeout_s", timeout},
            {"target_latency_s", 0.4},
            {"priority", 1},
            {"max_attempts", 2},
            {"target_service", serviceName(i == 0 ? 0 : 1 + i % sizes_.services)}};
  }

  int put(const std::string& what, int base, const std::string& body) {
    return call(at(coreIp(turn_++ % sizes_.cores), kControl), "POST", "/v1/Configuration." + what,
                {{"Base-Revision", std::to_string(base)}}, body)
        .status;
  }

  void change() {
    const int next = revision_ + 1;
    const json body = {
        {"revision", next},
        {"upserts",
         {{"route_rules", json::array({route(next % sizes_.routes, 2 + next * 0.001)})}}},
        {"removals", json::object()}};
    const auto from = nowUs();
    if (put("Update", revision_, body.dump()) != 200) {
      ++refused_;
      return;
    }
    took_.push_back(static_cast<double>(nowUs() - from) / 1e3);
    acked_[next] = nowUs();
    revision_ = next;
  }

  void restart(int i) {
    // By turns through the processes, and through the nodes of each.
    const auto at = static_cast<std::size_t>(i) % hollow_.size();
    hollow_[at]->say("restart " + std::to_string(static_cast<std::size_t>(i) / hollow_.size()));
  }

  // From the acknowledgement of a change until the last of the hollow nodes has it.
  void delays() {
    if (acked_.empty()) return;
    waitFor("everybody has the newest configuration", [&] {
      for (const auto& process : hollow_) {
        if (process->ask()["oldest"] < revision_) return false;
      }
      return true;
    });
    std::map<int, std::int64_t> last;
    for (const auto& process : hollow_) {
      const auto told = process->ask();
      for (const auto& [revision, at] : told["learned"].items()) {
        auto& latest = last[std::stoi(revision)];
        latest = std::max(latest, at.get<std::int64_t>());
      }
    }
    std::vector<double> all;
    for (const auto& [revision, when] : acked_) {
      if (last.contains(revision)) {
        all.push_back(std::max(0.0, static_cast<double>(last[revision] - when) / 1e3));
      }
    }
    out_["change_ms"] = median(took_);
    out_["everywhere_ms"] = median(all);
    out_["everywhere_most_ms"] = all.empty() ? 0 : *std::max_element(all.begin(), all.end());
    out_["changes_refused"] = refused_;
  }

  std::vector<Mark> marks() {
    std::vector<Mark> out;
    const auto real = [&](const std::string& ip) {
      Mark mark;
      mark.cpu = cpuSeconds(mesh_.pidOf(ip));
      const auto status =
          json::parse(call(at(ip, kControl), "GET", "/v1/Status").body, nullptr, false);
      if (status.is_object()) {
        const auto& c = status["control"];
        mark.messages = c["asked"].get<double>() + c["served"].get<double>();
        mark.bytes = c["asked_bytes"].get<double>() + c["told_bytes"].get<double>() +
                     c["served_bytes"].get<double>() + c["answered_bytes"].get<double>();
        mark.syncs = c.value("syncs", 0.0);
      }
      out.push_back(mark);
    };
    for (int i = 0; i < sizes_.cores; ++i) real(coreIp(i));
    for (int i = 0; i < sizes_.real; ++i) real(realIp(i));
    for (const auto& process : hollow_) {
      const auto told = process->ask();
      out.push_back({cpuSeconds(process->pid()), told["messages"].get<double>(),
                     told["bytes"].get<double>(), 0});
    }
    return out;
  }

  // One part: `work` so many times a second; what it cost per node and second.
  void part(const std::string& name, const std::function<void(int)>& work, int rate) {
    const auto before = marks();
    const auto from = nowUs();
    const auto end = from + sizes_.seconds * 1000000LL;
    int done = 0;
    while (nowUs() < end) {
      if (rate > 0 && nowUs() >= from + done * 1000000LL / rate) {
        work(done++);
      } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    }
    const auto after = marks();
    const double seconds = static_cast<double>(nowUs() - from) / 1e6;
    json roles = {{"times", done}, {"seconds", seconds}};
    const auto cores = static_cast<std::size_t>(sizes_.cores);
    const auto real = cores + static_cast<std::size_t>(sizes_.real);
    roles["core"] = cost(before, after, 0, cores, static_cast<double>(cores), seconds);
    if (sizes_.real > 0) roles["real"] = cost(before, after, cores, real, sizes_.real, seconds);
    roles["hollow"] = cost(before, after, real, after.size(), sizes_.hollow, seconds);
    out_[name] = std::move(roles);
  }

  static json cost(const std::vector<Mark>& before, const std::vector<Mark>& after,
                   std::size_t from, std::size_t to, double nodes, double seconds) {
    Mark sum;
    double most = 0;
    for (std::size_t i = from; i < to; ++i) {
      const double cpu = after[i].cpu - before[i].cpu;
      sum.cpu += cpu;
      most = std::max(most, cpu);
      sum.messages += after[i].messages - before[i].messages;
      sum.bytes += after[i].bytes - before[i].bytes;
      sum.syncs += after[i].syncs - before[i].syncs;
    }
    const double by = nodes * seconds;
    json out = {{"cpu_ms", sum.cpu * 1e3 / by},
                {"messages", sum.messages / by},
                {"kb", sum.bytes / 1024 / by}};
    if (nodes == static_cast<double>(to - from)) out["cpu_ms_most"] = most * 1e3 / seconds;
    if (sum.syncs > 0) out["syncs"] = sum.syncs / by;
    return out;
  }

  template <class Test>
  void waitFor(const std::string& what, Test test) {
    const auto end = nowUs() + sizes_.limit * 1000000LL;
    while (!test()) {
      if (nowUs() > end)
        throw Failure{"not within " + std::to_string(sizes_.limit) + " s: " + what};
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

 public:
  ~Run() {
    over_ = true;
    if (beats_.joinable()) beats_.join();
  }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;
  [[nodiscard]] int served() const { return served_; }

 private:
  std::string self_;
  Sizes sizes_;
  std::vector<std::string> args_;
  json out_;
  NodeProcesses mesh_;
  std::vector<std::unique_ptr<HollowProcess>> hollow_;
  std::vector<std::unique_ptr<StandInServer>> apps_;
  std::thread beats_;
  std::atomic<bool> over_{false};
  std::atomic<int> served_{0};
  int sent_ = 0;
  int turn_ = 0;
  int revision_ = 1;
  int refused_ = 0;
  std::map<int, std::int64_t> acked_;
  std::vector<double> took_;
};

}  // namespace

int scaleMain(int argc, char** argv) {
  Sizes sizes;
  if (argc >= 4 && std::strcmp(argv[1], "hollow") == 0) {
    std::vector<char*> rest = {argv[0], argv[1]};
    rest.insert(rest.end(), argv + 4, argv + argc);
    if (!readSizes(static_cast<int>(rest.size()), rest.data(), sizes).empty()) return kWrongSize;
    return hollowMain(std::atoi(argv[2]), std::atoi(argv[3]), sizes);
  }
  if (argc < 2) {
    std::cerr << "scale: usage: scale_run PROGRAM [--NAME=NUMBER ...]\n";
    return kWrongSize;
  }
  if (const auto problem = readSizes(argc, argv, sizes); !problem.empty()) {
    std::cerr << "scale: " << problem << "\n";
    return kWrongSize;
  }
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  ::signal(SIGPIPE, SIG_IGN);
  try {
    Run run(std::filesystem::canonical(argv[0]).string(), argv[1], sizes, {argv + 2, argv + argc});
    auto line = run.play();
    line["served"] = run.served();
    std::cout << line.dump() << std::endl;
    return sizes.real == 0 || run.served() > 0 ? 0 : 1;
  } catch (const Failure& failure) {
    std::cerr << "scale: " << failure.what << "\n";
  } catch (const Poco::Exception& problem) {
    std::cerr << "scale: " << problem.displayText() << "\n";
  } catch (const std::exception& problem) {
    std::cerr << "scale: " << problem.what() << "\n";
  }
  return 1;
}

}  // namespace merlingauge::test

int main(int argc, char** argv) { return merlingauge::test::scaleMain(argc, argv); }
