// The command line of the one program, merlingauge.
#include <Poco/AutoPtr.h>
#include <Poco/ConsoleChannel.h>
#include <Poco/Exception.h>
#include <Poco/FormattingChannel.h>
#include <Poco/Logger.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/PatternFormatter.h>
#include <Poco/StreamCopier.h>
#include <Poco/Util/Application.h>
#include <Poco/Util/HelpFormatter.h>
#include <Poco/Util/Option.h>
#include <Poco/Util/OptionSet.h>
#include <malloc.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/route_table.hpp"
#include "event/event_loop.hpp"
#include "node/node.hpp"
#include "node/settings.hpp"
#include "storage/state_snapshot.hpp"

namespace {

using merlingauge::event::EventLoop;
using Poco::Util::Application;
using Poco::Util::Option;

std::atomic<int> gSignals{0};
std::atomic<int> gWake{-1};
constexpr int kTerm = 1;
constexpr int kHup = 2;

extern "C" void onSignal(int number) {
  gSignals |= number == SIGHUP ? kHup : kTerm;
  const char byte = 1;
  [[maybe_unused]] const auto sent = ::write(gWake, &byte, 1);
}

class MerlingaugeApplication : public Application {
 public:
  MerlingaugeApplication() { setUnixOptions(true); }

 protected:
  void defineOptions(Poco::Util::OptionSet& options) override {
    Application::defineOptions(options);
    options.addOption(Option("help", "h", "show this help"));
    options.addOption(Option("version", "V", "show the version"));
    options.addOption(
        Option("log-level", "l", "error, warning, information or debug").argument("LEVEL"));
    options.addOption(
        Option("node", "n", "control address of a node, for config").argument("HOST:PORT"));
    options.addOption(Option("data", "d", "data directory of a node, for state").argument("DIR"));
    options.addOption(Option("force", "f", "put back over state that is there"));
    options.addOption(Option("base", "b", "version that a config builds on").argument("REVISION"));
  }

  void handleOption(const std::string& name, const std::string& value) override {
    if (name == "help") help_ = true;
    if (name == "version") version_ = true;
    if (name == "log-level") level_ = value;
    if (name == "node") node_ = value;
    if (name == "base") base_ = value;
    if (name == "data") data_ = value;
    if (name == "force") force_ = true;
    if (name == "help" || name == "version") stopOptionsProcessing();
  }

  int main(const ArgVec& args) override {
    if (version_) {
      std::cout << "merlingauge " << MERLINGAUGE_VERSION << "\n";
      return EXIT_OK;
    }
    if (help_ || args.empty()) {
      usage();
      return help_ ? EXIT_OK : EXIT_USAGE;
    }
    if (args[0] == "node" && args.size() == 1) return node();
    if (args[0] == "check" && args.size() == 2) return check(args[1]);
    if (args[0] == "config" && args.size() == 2 && args[1] == "get") return configGet();
    if (args[0] == "config" && args.size() == 3 && args[1] == "put") return configPut(args[2]);
    if (args[0] == "state" && args.size() == 3) {
      if (args[1] == "show") return told(merlingauge::storage::showSnapshot(args[2]));
      if (args[1] == "save" && !data_.empty()) {
        return told(merlingauge::storage::saveSnapshot(args[2], data_));
      }
      if (args[1] == "restore" && !data_.empty()) {
        return told(merlingauge::storage::restoreSnapshot(args[2], data_, force_));
      }
    }
    if (args[0] == "status" && args.size() == 1) return get("/v1/Status");
    usage();
    return EXIT_USAGE;
  }

 private:
  void usage() const {
    Poco::Util::HelpFormatter formatter(options());
    formatter.setUnixStyle(true);
    formatter.setCommand("merlingauge");
    formatter.setUsage("[options] COMMAND");
    formatter.setHeader(
        "\nnode             run a node; MERLINGAUGE_SETTINGS names its settings file\n"
        "check FILE       check a settings file or a configuration\n"
        "config get       print the configuration in place (--node)\n"
        "config put FILE  put a configuration in place (--node, --base)\n"
        "state save FILE     save a voter's state as a snapshot (--data)\n"
        "state restore FILE  put a snapshot into an empty data directory (--data, --force)\n"
        "state show FILE     print the configuration in a snapshot\n"
        "status           print what a node knows (--node)\n");
    formatter.format(std::cout);
  }

  int node() {
    // One loop thread and one for the disk: more arenas would only cost memory.
    ::mallopt(M_ARENA_MAX, 1);
    openLog();
    const char* path = std::getenv("MERLINGAUGE_SETTINGS");
    auto read = merlingauge::node::loadSettings(path == nullptr ? "" : path);
    if (!read.settings) {
      std::cerr << "merlingauge: " << read.error << "\n";
      return EXIT_CONFIG;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
      EventLoop loop;
      gWake = loop.wakeDescriptor();
      std::signal(SIGTERM, onSignal);
      std::signal(SIGINT, onSignal);
      std::signal(SIGHUP, onSignal);
      merlingauge::node::Node node(loop, *read.settings, path);
      loop.setTurnHook([&node] {
        const int signals = gSignals.exchange(0);
        if ((signals & kTerm) != 0) node.stop();
        if ((signals & kHup) != 0) node.reloadSettings();
      });
      node.start();
      loop.run();
    } catch (const Poco::Exception& problem) {
      std::cerr << "merlingauge: " << problem.displayText() << "\n";
      return EXIT_SOFTWARE;
    } catch (const std::exception& problem) {
      std::cerr << "merlingauge: " << problem.what() << "\n";
      return EXIT_SOFTWARE;
    }
    return EXIT_OK;
  }

  void openLog() const {
    Poco::AutoPtr<Poco::ConsoleChannel> console(new Poco::ConsoleChannel);
    Poco::AutoPtr<Poco::PatternFormatter> pattern(new Poco::PatternFormatter);
    pattern->setProperty("pattern", "%s: %t");
    Poco::AutoPtr<Poco::FormattingChannel> channel(new Poco::FormattingChannel(pattern, console));
    Poco::Logger::root().setChannel(channel);
    Poco::Logger::root().setLevel(level_);
  }

  static int told(const merlingauge::storage::SnapshotResult& done) {
    using End = merlingauge::storage::SnapshotResult::Status;
    if (done.status == End::ok) {
      std::cout << done.message << "\n";
      return EXIT_OK;
    }
    std::cerr << "merlingauge: " << done.message << "\n";
    switch (done.status) {
      case End::inputMissing:
        return EXIT_NOINPUT;
      case End::corrupt:
        return EXIT_DATAERR;
      case End::directoryNotEmpty:
        return EXIT_CANTCREAT;
      case End::directoryInUse:
        return EXIT_TEMPFAIL;
      default:
        return EXIT_IOERR;
    }
  }

  static std::string contents(const std::string& path, bool& ok) {
    std::ifstream file(path);
    ok = static_cast<bool>(file);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  static int check(const std::string& path) {
    bool ok = false;
    const auto text = contents(path, ok);
    if (!ok) {
      std::cerr << "merlingauge: can't read " << path << "\n";
      return EXIT_NOINPUT;
    }
    const auto document = nlohmann::json::parse(text, nullptr, false);
    std::string problem;
    if (document.is_object() && document.contains("route_rules")) {
      problem = merlingauge::config::RouteTable::parse(document).error;
    } else {
      problem = merlingauge::node::parseSettings(text).error;
    }
    if (!problem.empty()) {
      std::cerr << "merlingauge: " << path << ": " << problem << "\n";
      return EXIT_DATAERR;
    }
    std::cout << path << ": ok\n";
    return EXIT_OK;
  }

  // EXIT_TEMPFAIL: an order that was sent and got no clear answer; it may be taken or not.
  int exchange(Poco::Net::HTTPRequest& request, const std::string& body) const {
    const bool order = request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST;
    bool sent = false;
    try {
      const Poco::Net::SocketAddress address(node_);
      Poco::Net::HTTPClientSession session(address);
      session.setTimeout(Poco::Timespan(10, 0));
      request.setContentLength(static_cast<std::streamsize>(body.size()));
      auto& out = session.sendRequest(request);
      sent = true;
      out << body;
      Poco::Net::HTTPResponse response;
      auto& stream = session.receiveResponse(response);
      const int status = response.getStatus();
      const bool good = status == 200;
      Poco::StreamCopier::copyStream(stream, good ? std::cout : std::cerr);
      (good ? std::cout : std::cerr) << "\n";
      if (good) return EXIT_OK;
      if (order && status >= 500) return unclear();
      const bool invalid = status == Poco::Net::HTTPResponse::HTTP_BAD_REQUEST ||
                           status == Poco::Net::HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
      return order && invalid ? EXIT_DATAERR : EXIT_UNAVAILABLE;
    } catch (const Poco::Exception& problem) {
      std::cerr << "merlingauge: " << problem.displayText() << "\n";
      return order && sent ? unclear() : EXIT_UNAVAILABLE;
    }
  }

  static int unclear() {
    std::cerr << "merlingauge: no clear answer, send the same again\n";
    return EXIT_TEMPFAIL;
  }

  int get(const std::string& call) const {
    Poco::Net::HTTPRequest request("GET", call, "HTTP/1.1");
    return exchange(request, "");
  }

  int configGet() const { return get("/v1/Configuration.Describe"); }

  int configPut(const std::string& path) const {
    bool ok = false;
    const auto text = contents(path, ok);
    if (!ok) {
      std::cerr << "merlingauge: can't read " << path << "\n";
      return EXIT_NOINPUT;
    }
    Poco::Net::HTTPRequest request("POST", "/v1/Configuration.Replace", "HTTP/1.1");
    request.setContentType("application/json");
    request.set("Base-Revision", base_);
    return exchange(request, text);
  }

  bool help_ = false;
  bool version_ = false;
  std::string level_ = "information";
  std::string node_ = "127.0.0.1:8146";
  std::string base_ = "0";
  std::string data_;
  bool force_ = false;
};

}  // namespace

POCO_APP_MAIN(MerlingaugeApplication)
