// command_line_test: exit statuses and messages of the program for wrong command lines and files.
// Runs the program itself, whose path is the macro MERLINGAUGE_PROGRAM.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "loopback/one_answer_server.hpp"

namespace merlingauge::test {
namespace {

struct ProgramRun {
  int status = -1;
  std::string output;  // standard output and standard error
};

ProgramRun run(const std::string& arguments) {
  const std::string line =
      std::string("env -u MERLINGAUGE_SETTINGS ") + MERLINGAUGE_PROGRAM + " " + arguments + " 2>&1";
  ProgramRun result;
  FILE* pipe = ::popen(line.c_str(), "r");
  if (pipe == nullptr) return result;
  std::array<char, 4096> buffer{};
  std::size_t count = 0;
  while ((count = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0) {
    result.output.append(buffer.data(), count);
  }
  const int status = ::pclose(pipe);
  if (WIFEXITED(status)) result.status = WEXITSTATUS(status);
  return result;
}

void expectRun(const std::string& arguments, int status, const std::string& named) {
  const auto result = run(arguments);
  EXPECT_EQ(result.status, status) << arguments << ": " << result.output;
  EXPECT_NE(result.output.find(named), std::string::npos) << arguments << ": " << result.output;
}

// A file that is gone at the end of the test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) { std::ofstream(path_) << text; }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  [[nodiscard]] std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_ = std::filesystem::temp_directory_path() /
                                ("merlingauge-command-line-" + std::to_string(::getpid()));
};

TEST(CommandLine, AWrongOneNamesTheOptionAndEndsWith64) {
  expectRun("", 64, "no command");
  expectRun("nod", 64, "'nod'");
  expectRun("node extra", 64, "node: takes no arguments");
  expectRun("check", 64, "check: expects one argument, FILE");
  expectRun("config", 64, "'get' or 'put FILE'");
  expectRun("config put", 64, "config put: expects one argument, FILE");
  expectRun("state save file", 64, "--data=DIR");
  expectRun("state restore file", 64, "--data=DIR");
  expectRun("state shred file", 64, "'save FILE', 'restore FILE' or 'show FILE'");
  expectRun("--bogus", 64, "bogus");
  expectRun("--node", 64, "HOST:PORT");
  expectRun("status --node=10.0.0.1", 64, "HOST:PORT");
  expectRun("config put file --base=new", 64, "--base: 'new'");
  expectRun("node --log-level=loud", 64, "--log-level: 'loud'");
}

TEST(CommandLine, HelpAndVersionEndWith0) {
  expectRun("--help", 0, "state restore FILE");
  expectRun("--version", 0, "merlingauge " MERLINGAUGE_VERSION);
}

TEST(CommandLine, AFileThatCantBeReadEndsWith66) {
  expectRun("check /nonexistent/file", 66, "can't read /nonexistent/file");
  expectRun("config put /nonexistent/file", 66, "can't read /nonexistent/file");
  expectRun("state show /nonexistent/file", 66, "can't read /nonexistent/file");
}

TEST(CommandLine, AFileThatIsNotValidEndsWith65) {
  {
    const TemporaryFile settings("{}");
    expectRun("check " + settings.path(), 65, "self_node");
  }
  const TemporaryFile configuration(R"({"revision":0,"route_rules":[],"services":[]})");
  expectRun("check " + configuration.path(), 65, "revision");
  expectRun("state show " + configuration.path(), 65, configuration.path());
}

TEST(CommandLine, ANodeThatCantBeReachedEndsWith69) {
  expectRun("status --node=127.0.0.1:1", 69, "merlingauge: ");
  expectRun("config get --node=127.0.0.1:1", 69, "merlingauge: ");
}

TEST(CommandLine, MissingSettingsEndWith78) {
  expectRun("node", 78, "MERLINGAUGE_SETTINGS is not set");
}

// Half a configuration that is printed as if it were whole could be edited and put back.
TEST(CommandLine, APartOfAnAnswerIsNoAnswer) {
  {
    const OneAnswerServer whole("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    expectRun("config get --node=" + whole.address().toString(), 0, "{}");
  }
  {
    const OneAnswerServer part("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n{\"revision\":");
    expectRun("config get --node=" + part.address().toString(), 69, "broke off");
  }
  {
    const OneAnswerServer part("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n");
    expectRun("config get --node=" + part.address().toString(), 69, "broke off");
  }
  {
    const OneAnswerServer unframed("HTTP/1.1 200 OK\r\n\r\n{\"revision\":");
    expectRun("status --node=" + unframed.address().toString(), 69, "broke off");
  }
}

TEST(CommandLine, MetricsWantAPortAndAPath) {
  const TemporaryFile settings("{}");
  for (const auto* wrong : {"9464", "/metrics", "x/metrics", "0/metrics", "70000/metrics"}) {
    expectRun(std::string("node --metrics=") + wrong, 64, "PORT/PATH");
  }
}

}  // namespace
}  // namespace merlingauge::test
