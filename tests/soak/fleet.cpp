// fleet.cpp: the processes, servers, relays and faults of a soak run.
#include "soak/fleet.hpp"

#include <algorithm>
#include <chrono>
#include <future>

#include "loopback/polling.hpp"

namespace merlingauge::test {

namespace {
constexpr int kIngressBehindRelay = 21830;
constexpr int kServerBehindRelay = 21831;
constexpr int kMetrics = 21832;
// Above the grace period of the nodes' settings.
constexpr int kRestartMs = 6500;
const std::string kMetricsPath = "/metrics";
const std::string kViolationMetric = "merlingauge_invariant_violations_total{";
}  // namespace

SoakFleet::SoakFleet(const std::string& program, bool gateway, SoakLedger& ledger,
                     std::uint64_t seed)
    : gateway_(gateway),
      ledger_(ledger),
      random_(seed),
      hosts_(hostsOfThisProcess()),
      nodes_(program, hosts_),
      control_{hosts_ + ".0.1", hosts_ + ".0.2", hosts_ + ".0.3"},
      fronts_{hosts_ + ".0.11", hosts_ + ".0.12"} {
  nodes_.arguments = {"--metrics=" + std::to_string(kMetrics) + kMetricsPath};
  nodes_.adjust = [this](json& settings) {
    const std::string ip = settings["self_node"]["ip_address"];
    const bool isFront = std::find(fronts_.begin(), fronts_.end(), ip) != fronts_.end();
    const bool isControl = std::find(control_.begin(), control_.end(), ip) != control_.end();
    if (isFront) settings["self_node"]["target_service"] = "front";
    if (isFront || isControl || gateway_) return;
    settings["network"]["listeners"]["ingress"] = at(ip, kIngressBehindRelay);
  };
  loopThread_ = std::thread([this] { loop_.run(); });
  for (const auto& ip : control_) startNode(ip, true);
  for (const auto& ip : fronts_) startNode(ip, true);
  for (int i = 21; i <= 23; ++i) {
    backs_.push_back(std::make_unique<Back>());
    auto& back = *backs_.back();
    back.ip = hosts_ + ".0." + std::to_string(i);
    if (!gateway_) startNode(back.ip, true);
    addRelays(back);
    startServer(back);
  }
}

SoakFleet::~SoakFleet() {
  for (const auto& back : backs_) back->server.reset();
  onLoop([this] {
    backs_.clear();
    loop_.stop();
  });
  loopThread_.join();
}

int SoakFleet::draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

void SoakFleet::startNode(const std::string& ip, bool first) {
  using Kind = NodeProcesses::Kind;
  const bool isControl = std::find(control_.begin(), control_.end(), ip) != control_.end();
  nodes_.start(ip, isControl ? Kind::core : gateway_ ? Kind::edge : Kind::sidecar, first);
}

void SoakFleet::startServer(Back& back) {
  std::vector<std::string> control;
  if (gateway_) {
    for (const auto& ip : control_) control.push_back(at(ip, kControl));
  } else {
    control.push_back(at(back.ip, kControl));
  }
  const auto instance = "i-" + back.ip + "-" + std::to_string(++back.incarnation);
  back.server = std::make_unique<SoakServer>(at(back.ip, kServerBehindRelay), at(back.ip, kApp),
                                             instance, control, ledger_, random_());
}

void SoakFleet::addRelays(Back& back) {
  onLoop([this, &back] {
    back.serverRelay = std::make_unique<SoakRelay>(loop_, SocketAddress(at(back.ip, kApp)),
                                                   SocketAddress(at(back.ip, kServerBehindRelay)));
    if (gateway_) return;
    back.ingressRelay =
        std::make_unique<SoakRelay>(loop_, SocketAddress(at(back.ip, kIngress)),
                                    SocketAddress(at(back.ip, kIngressBehindRelay)));
  });
}

void SoakFleet::onLoop(const std::function<void()>& task) {
  std::promise<void> done;
  loop_.post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

std::vector<std::string> SoakFleet::callerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& ip : fronts_) addresses.push_back(at(ip, kEgress));
  return addresses;
}

bool SoakFleet::waitUntilServing() {
  const bool configured = becomesTrue([this] {
    changeConfiguration();
    return acknowledgedRevision_ > 0;
  });
  return configured && becomesTrue([this] {
           return std::all_of(fronts_.begin(), fronts_.end(), [](const auto& ip) {
             return call(at(ip, kReady), "GET", "/v1/readiness").status == 200;
           });
         });
}

void SoakFleet::changeConfiguration() {
  const auto& ip = control_[static_cast<std::size_t>(draw(static_cast<int>(control_.size())))];
  const auto known = call(at(ip, kControl), "GET", "/v1/Configuration.Describe");
  const auto document = json::parse(known.body, nullptr, false);
  const int base = known.status == 200 && document.is_object() ? document.value("revision", 0) : 0;
  if (base < acknowledgedRevision_ && known.status == 200) {
    ledger_.addViolation("config: revision " + std::to_string(base) + " is read, " +
                         std::to_string(acknowledgedRevision_) + " is acknowledged");
  }
  lastRevision_ = std::max(lastRevision_, base) + 1;
  const auto reply =
      call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
           {{"Base-Revision", std::to_string(base)}}, config(lastRevision_, "/once/"));
  ledger_.count("configuration change " + std::to_string(reply.status));
  if (reply.status == 200) acknowledgedRevision_ = lastRevision_;
}

SoakFleet::Fault SoakFleet::strike(const std::map<std::string, int>& busy) {
  const auto isFree = [&busy](const std::string& target) { return !busy.contains(target); };
  // One control node at a time: a quorum is left.
  const bool controlIsFree = std::all_of(control_.begin(), control_.end(), isFree);
  auto& back = *backs_[static_cast<std::size_t>(draw(static_cast<int>(backs_.size())))];
  switch (draw(6)) {
    case 0: {
      const auto& ip = control_[static_cast<std::size_t>(draw(3))];
      if (controlIsFree) return strikeNode(ip);
      break;
    }
    case 1: {
      const auto& ip = fronts_[static_cast<std::size_t>(draw(2))];
      if (isFree(ip)) return strikeNode(ip);
      break;
    }
    case 2:
      if (!gateway_ && isFree(back.ip)) return strikeNode(back.ip);
      break;
    case 3:
      if (isFree("server " + back.ip)) return strikeServer(back);
      break;
    case 4:
      if (back.ingressRelay && isFree("ingress relay " + back.ip)) {
        return strikeRelay(back, *back.ingressRelay, "ingress relay");
      }
      break;
    default:
      if (isFree("server relay " + back.ip)) {
        return strikeRelay(back, *back.serverRelay, "server relay");
      }
      break;
  }
  return {};
}

SoakFleet::Fault SoakFleet::strikeNode(const std::string& ip) {
  switch (draw(3)) {
    case 0:
      nodes_.stop(ip, SIGKILL);
      return {"node killed", ip, 100 + draw(1500), [this, ip] { startNode(ip, false); }};
    case 1:
      nodes_.pause(ip, true);
      return {"node paused", ip, 100 + draw(1500), [this, ip] { nodes_.pause(ip, false); }};
    default:
      ::kill(nodes_.pidOf(ip), SIGTERM);
      return {"node restarted", ip, kRestartMs, [this, ip] {
                nodes_.stop(ip, SIGKILL);
                startNode(ip, false);
              }};
  }
}

SoakFleet::Fault SoakFleet::strikeServer(Back& back) {
  back.server.reset();
  return {"server killed", "server " + back.ip, 50 + draw(1500),
          [this, &back] { startServer(back); }};
}

SoakFleet::Fault SoakFleet::strikeRelay(Back& back, SoakRelay& relay, const std::string& name) {
  const auto target = name + " " + back.ip;
  switch (draw(5)) {
    case 0:
      onLoop([&relay] { relay.freeze(true); });
      return {name + " cut", target, 50 + draw(2500),
              [this, &relay] { onLoop([&relay] { relay.freeze(false); }); }};
    case 1:
      onLoop([&relay] { relay.loseResponses(true); });
      return {name + " loses responses", target, 20 + draw(300),
              [this, &relay] { onLoop([&relay] { relay.loseResponses(false); }); }};
    case 2:
      onLoop([&relay] { relay.resetAll(); });
      return {name + " resets", target, 1, [] {}};
    case 3:
      onLoop([&relay] { relay.closeAll(); });
      return {name + " closes", target, 1, [] {}};
    default:
      onLoop([&relay] { relay.halfCloseAll(); });
      return {name + " half-closes", target, 1, [] {}};
  }
}

std::vector<std::string> SoakFleet::allNodes() const {
  std::vector<std::string> all = control_;
  all.insert(all.end(), fronts_.begin(), fronts_.end());
  if (gateway_) return all;
  for (const auto& back : backs_) all.push_back(back->ip);
  return all;
}

std::string SoakFleet::statusAddress(const std::string& ip) const {
  const bool isEdge = gateway_ && std::find(fronts_.begin(), fronts_.end(), ip) != fronts_.end();
  return at(ip, isEdge ? kReady : kControl);
}

void SoakFleet::checkAtEnd() {
  for (const auto& ip : allNodes()) checkNode(ip);
  for (const auto& ip : control_) {
    const bool known = becomesTrue([&] {
      const auto reply = call(at(ip, kControl), "GET", "/v1/Configuration.Describe");
      const auto document = json::parse(reply.body, nullptr, false);
      return reply.status == 200 && document.value("revision", 0) >= acknowledgedRevision_;
    });
    if (!known) ledger_.addViolation("config: " + ip + " doesn't know what is acknowledged");
  }
}

void SoakFleet::checkNode(const std::string& ip) {
  json status;
  const bool answers = becomesTrue([&] {
    status = json::parse(call(statusAddress(ip), "GET", "/v1/Status").body, nullptr, false);
    return status.is_object() && status.contains("violations");
  });
  if (!answers) {
    ledger_.addViolation("status: " + ip + " gives none");
    return;
  }
  for (const auto& [invariant, count] : status["violations"].items()) {
    if (count == 0) continue;
    std::string text = "invariant ";
    ledger_.addViolation(text.append(invariant).append(" at ").append(ip));
  }
  const auto metrics = call(at(ip, kMetrics), "GET", kMetricsPath).body;
  std::istringstream lines(metrics);
  int seen = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(kViolationMetric, 0) != 0) continue;
    ++seen;
    if (line.ends_with(" 0")) continue;
    std::string text = "metric at ";
    ledger_.addViolation(text.append(ip).append(": ").append(line));
  }
  if (seen == 0) ledger_.addViolation("metrics: " + ip + " shows no invariants");
}

}  // namespace merlingauge::test
