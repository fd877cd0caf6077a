// The real program: five core nodes, one change after the other, and orders of long ago sent again
// through any of them. `change_history_test PROGRAM [CHANGES]`; with many changes it also prints
// what one costs.
#include "loopback/play.hpp"

namespace merlingauge::test {
namespace {

int changes = 60;

struct Cost {
  double bytes = 0;
  double syncs = 0;
  double ticks = 0;  // of processor time
};

void play(const std::string& program) {
  NodeProcesses mesh(program, "127.97");
  mesh.adjust = [](json& settings) {
    settings["policy_terms"]["fault_tolerance"] = {{"machines", 2}};
  };
  std::vector<std::string> cores;
  for (int i = 1; i <= 5; ++i) cores.push_back("127.97.0." + std::to_string(i));
  for (const auto& ip : cores) mesh.start(ip, NodeProcesses::Kind::core, true);
  // Some numbers are left out, as operators do.
  const auto revision = [](int n) { return n * 3 + n % 2; };
  const auto body = [&](int n) { return config(revision(n), "/p" + std::to_string(n) + "/"); };
  const auto send = [&](std::size_t node, int n, const std::string& text) {
    return call(at(cores[node % cores.size()], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(n == 1 ? 0 : revision(n - 1))}}, text);
  };
  // Sent again while no majority answers in time: how busy the machine is must not matter.
  const auto answer = [&](std::size_t node, int n, const std::string& text) {
    Reply reply;
    for (int tries = 0; tries < 200; ++tries) {
      reply = send(node, n, text);
      const bool busy = reply.status == 503 && (reply.body.find("majority") != std::string::npos ||
                                                reply.body.find("voters") != std::string::npos);
      if (reply.status != 0 && !busy) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return reply;
  };
  const auto taken = [&](int n) {
    return answer(static_cast<std::size_t>(n), n, body(n)).status == 200;
  };
  const auto spent = [&] {
    Cost cost;
    for (const auto& ip : cores) {
      const auto status = json::parse(call(at(ip, kControl), "GET", "/v1/Status").body);
      const auto& control = status["control"];
      cost.bytes += control["asked_bytes"].get<double>() + control["told_bytes"].get<double>();
      cost.syncs += control["syncs"].get<double>();
      std::ifstream stat("/proc/" + std::to_string(mesh.pidOf(ip)) + "/stat");
      std::string word;
      for (int field = 1; stat >> word; ++field) {
        if (field == 14 || field == 15) cost.ticks += std::stod(word);
      }
    }
    return cost;
  };
  eventually("the first configuration is taken", [&] { return send(0, 1, body(1)).status == 200; });
  const auto before = spent();
  const auto began = std::chrono::steady_clock::now();
  bool all = true;
  for (int n = 2; n <= changes; ++n) all = all && taken(n);
  require(all, "one change after the other is taken");
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  const auto after = spent();
  const double n = changes - 1;
  const double perTick = 1e3 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::cout << "per change: " << (after.bytes - before.bytes) / n << " bytes, "
            << (after.syncs - before.syncs) / n << " syncs, "
            << (after.ticks - before.ticks) * perTick / n << " ms of processor time, "
            << seconds * 1e3 / n << " ms\n";
  for (const int ago : {1, 8, 31, 40, 100, 250, 500, 510, 550}) {
    if (ago >= changes) break;
    const auto which = std::to_string(ago);
    const int old = changes - ago;
    const auto node = static_cast<std::size_t>(ago);
    const int wanted = ago < 512 ? 200 : 503;
    require(answer(node, old, body(old)).status == wanted,
            "one taken " + which + " changes ago, sent again: " + std::to_string(wanted));
    const auto rival = answer(node + 1, old, config(revision(old), "/rival/")).status;
    require(rival == (wanted == 200 ? 412 : 503),
            "another order with its base and number: " + std::to_string(rival));
  }
  const auto early = answer(3, changes + 5, body(changes + 5));
  require(early.status == 503 && early.headers.contains("Retry-After"),
          "one on a version that isn't there yet is not refused");
  // The same at the command line.
  const auto put = [&](int base, const std::string& text) {
    const auto file =
        std::filesystem::temp_directory_path() / ("order-" + std::to_string(::getpid()));
    std::ofstream(file) << text;
    const auto line = program + " config put " + file.string() +
                      " --node=" + at(cores[1], kControl) + " --base=" + std::to_string(base) +
                      " >/dev/null 2>&1";
    const int status = std::system(line.c_str());
    std::filesystem::remove(file);
    return WEXITSTATUS(status);
  };
  eventually("config put of an order that was taken ends with 0",
             [&] { return put(revision(changes - 2), body(changes - 1)) == 0; });
  eventually("of a rival with 69", [&] { return put(revision(changes - 2), body(changes)) == 69; });
  require(put(revision(changes), "{}") == 65, "of what is no configuration with 65");
  require(put(revision(changes) + 5, body(changes + 5)) == 75, "without a clear answer with 75");
  // On disks and through a loss of two of them.
  for (const auto& ip : cores) mesh.stop(ip, SIGKILL);
  mesh.wipe(cores[0]);
  mesh.wipe(cores[3]);
  for (const auto& ip : cores) mesh.start(ip, NodeProcesses::Kind::core, false);
  const int oldest = std::max(1, changes - 400);
  eventually("after a kill of all and the loss of two disks the oldest is known again",
             [&] { return send(0, oldest, body(oldest)).status == 200; });
  require(taken(changes + 1), "and the next change is taken");
  require(answer(3, oldest, body(oldest)).status == 200, "by a node that lost its disk too");
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  if (argc > 2) merlingauge::test::changes = std::stoi(argv[2]);
  return merlingauge::test::runPlay(std::min(argc, 2), argv, merlingauge::test::play);
}
