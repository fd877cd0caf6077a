// example: plays the files of deploy/example as its README tells: three nodes, a server, the first
// configuration, a request, the status.
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <gtest/gtest.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): kill() is of POSIX, not of <csignal>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace merlingauge::test {
namespace {

using nlohmann::json;

const std::string kProgram = MERLINGAUGE_PROGRAM;
const std::string kServer = EXAMPLE_SERVER;
const std::string kExample = EXAMPLE_DIRECTORY;
constexpr const char* kDataDirectory = "/tmp/merlingauge-example";  // as in control.json
constexpr const char* kCallerEgress = "127.0.10.2:8141";
constexpr const char* kCallerControl = "127.0.10.2:8146";
constexpr const char* kControl = "127.0.10.1:8146";
// The whole play takes some seconds; a busy machine gets more.
constexpr auto kDeadline = std::chrono::seconds(60);
constexpr auto kPollInterval = std::chrono::milliseconds(100);

class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command, const std::string& settings) {
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // however the test ends, its processes do too
    if (!settings.empty()) ::setenv("MERLINGAUGE_SETTINGS", settings.c_str(), 1);
    std::vector<char*> arguments;
    for (const auto& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  ~ChildProcess() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  int wait() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid_ = -1;
};

struct Response {
  int status = 0;  // 0: none came
  std::string body;
};

Response get(const std::string& address, const std::string& path, const std::string& host) {
  Response result;
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(3, 0));
    Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
    request.setHost(host);
    request.set("Attempt-Id", "1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), result.body);
    result.status = response.getStatus();
  } catch (const Poco::Exception&) {
    result.status = 0;
  }
  return result;
}

bool eventually(const std::function<bool()>& holds) {
  const auto deadline = std::chrono::steady_clock::now() + kDeadline;
  while (std::chrono::steady_clock::now() < deadline) {
    if (holds()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

int run(const std::vector<std::string>& command) { return ChildProcess(command, "").wait(); }

TEST(Example, FilesOfTheExampleMakeAMeshThatServesARequest) {
  std::filesystem::remove_all(kDataDirectory);
  std::filesystem::create_directories(kDataDirectory);
  for (const char* file : {"control.json", "caller.json", "greeter.json", "configuration.json"}) {
    EXPECT_EQ(run({kProgram, "check", kExample + "/" + file}), 0) << file;
  }
  const ChildProcess control({kProgram, "node"}, kExample + "/control.json");
  const ChildProcess caller({kProgram, "node"}, kExample + "/caller.json");
  const ChildProcess greeter({kProgram, "node"}, kExample + "/greeter.json");
  const ChildProcess server({kServer, "127.0.10.3:8147", "127.0.10.3:8146", "greeter"}, "");

  EXPECT_TRUE(eventually([] {
    return run({kProgram, "config", "put", kExample + "/configuration.json",
                std::string("--node=") + kControl, "--base=0"}) == 0;
  })) << "the configuration is taken";
  EXPECT_TRUE(eventually([] {
    const auto response = get(kCallerEgress, "/greet/world", "greeter.example");
    return response.status == 200 &&
           json::parse(response.body).at("path").get<std::string>() == "/greet/world";
  })) << "a request beside the caller reaches the server of the service";

  const auto status = get(kCallerControl, "/v1/Status", "status");
  ASSERT_EQ(status.status, 200);
  EXPECT_EQ(json::parse(status.body).at("in_force"), 1);
  EXPECT_EQ(run({kProgram, "config", "get", std::string("--node=") + kControl}), 0);
  std::filesystem::remove_all(kDataDirectory);
}

}  // namespace
}  // namespace merlingauge::test
