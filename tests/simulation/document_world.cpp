// document_world: one line in, one verdict out: message heads and bodies, configurations, settings,
// the error table.
#include <map>
#include <optional>
#include <set>

#include "base/errors.hpp"
#include "config/config_update.hpp"
#include "config/route_table.hpp"
#include "http/body_framing.hpp"
#include "http/message_head.hpp"
#include "node/settings.hpp"
#include "proxy/direct_transport.hpp"
#include "proxy/mesh_transport.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

namespace {

using proxy::AttemptOutcome;

std::string unescaped(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 >= text.size()) {
      out += text[i];
      continue;
    }
    ++i;
    out += text[i] == 'r' ? '\r' : text[i] == 'n' ? '\n' : text[i] == '0' ? '\0' : text[i];
  }
  return out;
}

// How a connection takes these bytes: complete, incomplete, 400, 413, 431; complete+ where bytes
// are left over.
std::string requestVerdict(const std::string& bytes, std::size_t headLimit, std::size_t bodyLimit) {
  const auto [found, size] = http::findHead(bytes, headLimit);
  switch (found) {
    case http::HeadParseResult::incomplete:
      return "incomplete";
    case http::HeadParseResult::tooLarge:
      return std::to_string(responseFor(ErrorKind::headersTooLarge).status);
    case http::HeadParseResult::malformed:
      return std::to_string(responseFor(ErrorKind::malformedRequest).status);
    case http::HeadParseResult::complete:
      break;
  }
  std::string malformed = std::to_string(responseFor(ErrorKind::malformedRequest).status);
  Poco::Net::HTTPRequest request;
  const auto head = bytes.substr(0, size);
  const auto plan = http::parseRequestHead(head, request);
  if (!plan) return malformed;
  if (plan->kind == http::FramingKind::contentLength && plan->length > bodyLimit) {
    return std::to_string(responseFor(ErrorKind::bodyTooLarge).status);
  }
  http::BodyReader reader(*plan);
  std::string rest = bytes.substr(size);
  std::string body;
  std::string pending;
  // Byte by byte: where the cuts fall must not matter.
  for (const char c : rest) {
    if (reader.state() == http::BodyReader::State::done) return "complete+";
    pending += c;
    reader.consume(pending, body);
  }
  if (reader.state() == http::BodyReader::State::malformed) return malformed;
  return reader.state() == http::BodyReader::State::done ? "complete" : "incomplete";
}

const char* nameOf(AttemptOutcome rejection) {
  switch (rejection) {
    case AttemptOutcome::overloaded:
      return "overloaded";
    case AttemptOutcome::unavailable:
      return "unavailable";
    case AttemptOutcome::unreachable:
      return "unreachable";
    case AttemptOutcome::notExecuted:
      return "notExecuted";
    case AttemptOutcome::maybeExecuted:
      return "maybeExecuted";
  }
  return "?";
}

// What a response's head says of the attempt, by the transport that it came over.
std::string responseVerdict(const std::string& transportName, const std::string& status,
                            const std::vector<std::string>& headers) {
  const proxy::DirectTransport direct;
  const proxy::MeshTransport mesh(1);
  const proxy::UpstreamTransport& transport =
      transportName == "direct" ? static_cast<const proxy::UpstreamTransport&>(direct) : mesh;
  Poco::Net::HTTPResponse response;
  response.setStatus(status);
  for (const auto& header : headers) {
    const auto separator = header.find('=');
    response.set(header.substr(0, separator), header.substr(separator + 1));
  }
  const auto rejection = transport.readResponse(response).rejection;
  return rejection ? nameOf(*rejection) : "passed";
}

// Empty where the settings are valid.
std::string settingsProblem(const std::string& text) {
  const auto parsed = node::parseSettings(text);
  const auto* error = std::get_if<node::SettingsError>(&parsed);
  return error == nullptr ? "" : error->message();
}

// Empty where the configuration is valid.
std::string configProblem(const nlohmann::json& document) {
  const auto parsed = config::RouteTable::parse(document);
  return parsed.error ? parsed.error->message() : "";
}

// No row of the error table may promise what it can't.
void checkErrorTable() {
  // Calls of operators whose change may be committed or not: only a person reads these.
  const std::set<ErrorKind> unknownOutcome = {
      ErrorKind::noQuorum, ErrorKind::changeHistoryTruncated, ErrorKind::baseNotYetCommitted};
  const std::set<int> promisingStatuses = {408, 421, 429, 503};
  for (int index = 0; index <= static_cast<int>(ErrorKind::internal); ++index) {
    const auto kind = static_cast<ErrorKind>(index);
    const auto& row = responseFor(kind);
    require(
        !promisingStatuses.contains(row.status) || row.notExecuted != unknownOutcome.contains(kind),
        "a row promises too much or too little: " + std::string(row.message));
    require(row.status != 503 || row.retryAfterMs > 0, "a 503 without Retry-After");
  }
}

class DocumentWorld {
 public:
  explicit DocumentWorld(const Scenario& scenario)
      : scenario_(scenario),
        headLimit_(static_cast<std::size_t>(number(scenario, "head_limit", 200))),
        bodyLimit_(static_cast<std::size_t>(number(scenario, "body_limit", 1000))) {}

  void play() {
    for (const auto& line : scenario_.lines) playLine(line);
    require(checks_ > 0, "a scenario without an expectation proves nothing");
  }

 private:
  using LineHandler = void (DocumentWorld::*)(const Line& line);

  void playLine(const Line& line) {
    static const std::map<std::string, LineHandler> kHandlers = {
        {"request", &DocumentWorld::checkRequest},   {"response", &DocumentWorld::checkResponse},
        {"let", &DocumentWorld::setDocument},        {"config", &DocumentWorld::checkConfig},
        {"settings", &DocumentWorld::checkSettings}, {"route", &DocumentWorld::checkRoute},
        {"update", &DocumentWorld::applyUpdate},     {"split", &DocumentWorld::checkSplit},
        {"promises", &DocumentWorld::checkPromises},
    };
    const auto handler = kHandlers.find(line.words[0]);
    if (handler != kHandlers.end()) (this->*handler->second)(line);
  }

  // What follows the first `count` words of a line, as it is written.
  static std::string textAfter(const Line& line, std::size_t count) {
    std::size_t at = 0;
    for (std::size_t index = 0; index < count; ++index) {
      at = line.text.find(line.words[index], at) + line.words[index].size();
    }
    const auto from = line.text.find_first_not_of(' ', at);
    return from == std::string::npos ? std::string() : line.text.substr(from);
  }

  void expect(bool ok, const Line& line, const std::string& got) {
    require(ok, "line " + std::to_string(line.number) + ": " + line.text + ": got " + got);
    ++checks_;
  }

  // request VERDICT BYTES
  void checkRequest(const Line& line) {
    const auto verdict = requestVerdict(unescaped(textAfter(line, 2)), headLimit_, bodyLimit_);
    expect(verdict == line.words[1], line, verdict);
  }

  // response direct|ingress VERDICT STATUS HEADER=VALUE...
  void checkResponse(const Line& line) {
    const std::vector<std::string> headers(line.words.begin() + 4, line.words.end());
    const auto verdict = responseVerdict(line.words[1], line.words[3], headers);
    expect(verdict == line.words[2], line, verdict);
  }

  // let JSON: the document for the lines below
  void setDocument(const Line& line) { document_ = nlohmann::json::parse(textAfter(line, 1)); }

  // config|settings ok|WORD [JSON]: the document with a merge patch; the error has to contain WORD.
  void checkConfig(const Line& line) { checkProblem(line, configProblem(patchedDocument(line))); }
  void checkSettings(const Line& line) {
    checkProblem(line, settingsProblem(patchedDocument(line).dump()));
  }

  [[nodiscard]] nlohmann::json patchedDocument(const Line& line) const {
    auto document = document_;
    const auto patch = textAfter(line, 2);
    if (!patch.empty()) document.merge_patch(nlohmann::json::parse(patch));
    return document;
  }

  void checkProblem(const Line& line, const std::string& problem) {
    const auto& expected = line.words[1];
    const bool ok =
        expected == "ok" ? problem.empty() : problem.find(expected) != std::string::npos;
    expect(ok, line, "'" + problem + "'");
  }

  [[nodiscard]] const config::Route* findRoute(const std::string& host, const std::string& uri) {
    const auto parsed = config::RouteTable::parse(document_);
    require(!parsed.error, parsed.error ? parsed.error->message() : "");
    table_ = parsed.table;
    return table_->findRoute(host, uri);
  }

  // route HOST PATH NAME|none
  void checkRoute(const Line& line) {
    const auto* route = findRoute(line.words[1], line.words[2]);
    const std::string name = route == nullptr ? "none" : route->name;
    expect(name == line.words[3], line, name);
  }

  // split HOST PATH DRAW SERVICE
  void checkSplit(const Line& line) {
    const auto* route = findRoute(line.words[1], line.words[2]);
    require(route != nullptr, "no route: " + line.text);
    const auto& service = route->pickService(std::stod(line.words[3])).str();
    expect(service == line.words[4], line, service);
  }

  // update JSON: what the update makes of the document is the document for the lines below.
  void applyUpdate(const Line& line) {
    const auto updated = config::applyUpdate(document_, nlohmann::json::parse(textAfter(line, 1)));
    require(!updated.error, updated.error ? updated.error->message() : "");
    document_ = updated.config;
  }

  void checkPromises(const Line&) {
    checkErrorTable();
    ++checks_;
  }

  const Scenario& scenario_;
  std::size_t headLimit_;
  std::size_t bodyLimit_;
  int checks_ = 0;
  nlohmann::json document_;
  config::RouteTable::Ptr table_;  // owns the routes that findRoute returns
};

}  // namespace

void playText(const Scenario& scenario) { DocumentWorld(scenario).play(); }

}  // namespace merlingauge::test
