// node_processes.hpp: node processes on loopback addresses, their settings and a configuration.
#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loopback/http_client.hpp"

namespace merlingauge::test {

using nlohmann::json;

/// The first half of addresses that no other running test uses, such as 127.131: this process holds
/// a socket there as long as it runs. Above those that tests name themselves.
inline std::string hostsOfThisProcess() {
  static net::ServerSocket held;
  static const std::string kHosts = [] {
    constexpr unsigned kFirst = 130;
    constexpr unsigned kCount = 100;
    for (auto n = static_cast<unsigned>(::getpid());; ++n) {
      auto hosts = "127." + std::to_string(kFirst + n % kCount);
      try {
        held.bind(net::SocketAddress(at(hosts + ".255.254", kInner)));
        held.listen();
        return hosts;
      } catch (const Poco::Exception&) {
        held = net::ServerSocket();
      }
    }
  }();
  return kHosts;
}

/// Node processes of one fleet, killed at the end with their folder removed. The first three
/// control nodes, at HOSTS.0.1 to HOSTS.0.3, are the seeds.
class NodeProcesses {
 public:
  /// `hosts` is the first half of all addresses, such as 127.91.
  NodeProcesses(std::string program, std::string hosts)
      : program_(std::move(program)), hosts_(std::move(hosts)) {
    folder_ = std::filesystem::temp_directory_path() / ("mesh-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
  }
  /// Ends the whole program as failed where a node has logged a violated invariant.
  ~NodeProcesses() {
    for (const auto& [ip, pid] : running_) ::kill(pid, SIGKILL);
    for (const auto& [ip, pid] : running_) ::waitpid(pid, nullptr, 0);
    const bool violated = hasViolatedInvariants();
    std::filesystem::remove_all(folder_);
    if (violated) std::abort();
  }

  /// Changes the settings of the nodes started from now on.
  std::function<void(json&)> adjust;
  /// Further arguments of the program, behind `node`.
  std::vector<std::string> arguments;
  [[nodiscard]] pid_t pidOf(const std::string& ip) const { return running_.at(ip); }

  enum class Kind { core, sidecar, edge };
  /// Starts a node; `first` says that it may found a new fleet.
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
      // Sockets of the test would outlive their ends in the nodes.
      ::close_range(STDERR_FILENO + 1, ~0U, 0);
      execute();
      ::_exit(127);
    }
    running_[ip] = pid;
  }

  /// Sends `signal` and waits for the end; the status of waitpid.
  int stop(const std::string& ip, int signal) {
    const pid_t pid = running_.at(ip);
    running_.erase(ip);
    ::kill(pid, signal);
    int status = 0;
    ::waitpid(pid, &status, 0);
    return status;
  }

  /// Suspends the process (SIGSTOP) or resumes it (SIGCONT).
  void pause(const std::string& ip, bool on) { ::kill(running_.at(ip), on ? SIGSTOP : SIGCONT); }

  [[nodiscard]] std::string dataOf(const std::string& ip) const { return (folder_ / ip).string(); }

  /// Removes what a stopped control node has stored.
  void wipe(const std::string& ip) { std::filesystem::remove_all(folder_ / ip); }

 private:
  // Prints the lines that say so.
  [[nodiscard]] bool hasViolatedInvariants() const {
    bool found = false;
    std::error_code gone;  // two objects of one process share the folder, and the first removes it
    for (const auto& entry : std::filesystem::directory_iterator(folder_, gone)) {
      if (entry.path().extension() != ".log") continue;
      std::ifstream log(entry.path());
      for (std::string line; std::getline(log, line);) {
        if (line.find("is violated: ") == std::string::npos) continue;
        found = true;
        std::cerr << entry.path().stem().string() << ": " << line << "\n";
      }
    }
    return found;
  }

  void execute() const {
    std::vector<std::string> words = {program_, "node"};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    for (auto& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    ::execv(program_.c_str(), argv.data());
  }

  std::string program_;
  std::string hosts_;
  std::filesystem::path folder_;
  std::map<std::string, pid_t> running_;
};

/// A configuration with a non-idempotent route on `prefix` and an idempotent one on `/safe/`, both
/// to the service echo, two attempts each.
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

}  // namespace merlingauge::test
