// The real program as five core machines of which two may be lost at once: one is lost for good and
// replaced, and two more stop as soon as its successor has had its time; then one leaves as
// planned, and two more stop at once. Orders must go on being taken.
#include <algorithm>

#include "loopback/play.hpp"

namespace merlingauge::test {
namespace {

using Watch = std::chrono::steady_clock;

double since(Watch::time_point start) {
  return std::chrono::duration<double>(Watch::now() - start).count();
}

json status(const std::string& ip) {
  return json::parse(call(at(ip, kControl), "GET", "/v1/Status").body, nullptr, false);
}

bool votersAre(const std::string& ip, const std::vector<std::string>& voters) {
  const auto told = status(ip);
  return told.is_object() && told["voters"] == json(voters) && told["voters_before"].empty();
}

void play(const std::string& program) {
  NodeProcesses mesh(program, "127.95");
  mesh.adjust = [](json& settings) {
    settings["policy_terms"]["fault_tolerance"] = {{"machines", 2}};
  };
  const auto core = [](int n) { return "127.95.0." + std::to_string(n); };
  for (int n = 1; n <= 5; ++n) mesh.start(core(n), NodeProcesses::Kind::core, true);
  int revision = 0;
  // An operator sends the same again until it has an answer.
  const auto order = [&](const std::string& ip) {
    const auto base = std::to_string(revision);
    const auto body = config(revision + 1, "/v" + base + "/");
    const auto answer = call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
                             {{"Base-Revision", base}}, body);
    if (answer.status == 200) ++revision;
    return answer.status == 200;
  };
  eventually("five core machines take the first order", [&] { return order(core(2)); });
  eventually("all five vote", [&] {
    return votersAre(core(2), {core(1), core(2), core(3), core(4), core(5)});
  });

  // The first of the voters: the duty of keeping them is its own.
  mesh.stop(core(1), SIGKILL);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  mesh.start(core(6), NodeProcesses::Kind::core, false);
  const auto started = Watch::now();
  const std::vector<std::string> exchanged = {core(2), core(3), core(4), core(5), core(6)};
  eventually("the successor votes in place of the one that is lost",
             [&] { return votersAre(core(2), exchanged) && status(core(6))["votes"] == true; });
  std::cout << "it took " << since(started) << " s from the successor's start\n";
  require(since(started) < 8, "and that well before the lost one has been silent for ten seconds");
  std::this_thread::sleep_until(started + std::chrono::milliseconds(4500));
  mesh.pause(core(3), true);
  mesh.pause(core(4), true);
  eventually("with two more frozen an order is taken", [&] { return order(core(5)); });
  mesh.pause(core(3), false);
  mesh.pause(core(4), false);

  // A sixth is a spare: the voters stay odd.
  mesh.start(core(7), NodeProcesses::Kind::core, false);
  eventually("all are in touch again, with a spare", [&] {
    const auto told = status(core(2));
    int heard = 0;
    bool awake = false;
    for (const auto& node : told["nodes"]) {
      heard += node["heard"] == true ? 1 : 0;
      awake = awake || (node["node"] == core(7) && node["awake"] == true);
    }
    return heard == 6 && awake && told["margin"] == 2;
  });
  require(votersAre(core(2), exchanged), "which is no voter yet");
  const auto asked = Watch::now();
  const int end = mesh.stop(core(2), SIGTERM);
  std::cout << "the planned leaving took " << since(asked) << " s\n";
  require(WIFEXITED(end) && WEXITSTATUS(end) == 0, "the one that leaves ends in order");
  require(votersAre(core(5), {core(3), core(4), core(5), core(6), core(7)}),
          "and the spare votes in its place before it has ended");
  mesh.pause(core(3), true);
  mesh.pause(core(4), true);
  eventually("with two more frozen an order is taken", [&] { return order(core(6)); });
  mesh.pause(core(3), false);
  mesh.pause(core(4), false);
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  return merlingauge::test::runPlay(argc, argv, merlingauge::test::play);
}
