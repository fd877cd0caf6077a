// Words in, verdict out: heads and bodies, configurations, settings, the error table.
#include <algorithm>
#include <set>

#include "base/errors.hpp"
#include "config/route_table.hpp"
#include "http/body_framing.hpp"
#include "http/message_head.hpp"
#include "node/settings.hpp"
#include "proxy/direct_transport.hpp"
#include "proxy/mesh_transport.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

namespace {

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

// How a connection takes these bytes: whole, incomplete, 400, 413, 431.
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
  const std::string bad = std::to_string(responseFor(ErrorKind::malformedRequest).status);
  Poco::Net::HTTPRequest request;
  const auto head = bytes.substr(0, size);
  const auto plan = http::parseRequestHead(head, request);
  if (!plan) return bad;
  if (plan->kind == http::FramingKind::contentLength && plan->length > bodyLimit) {
    return std::to_string(responseFor(ErrorKind::bodyTooLarge).status);
  }
  http::BodyReader reader(*plan);
  std::string rest = bytes.substr(size);
  std::string body;
  std::string pending;
  // Byte by byte: where the cuts fall must not matter.
  for (const char c : rest) {
    if (reader.state() == http::BodyReader::State::done) return "whole+";
    pending += c;
    reader.consume(pending, body);
  }
  if (reader.state() == http::BodyReader::State::malformed) return bad;
  return reader.state() == http::BodyReader::State::done ? "whole" : "incomplete";
}

std::string answerVerdict(const std::vector<std::string>& w) {
  const proxy::DirectTransport direct;
  const proxy::MeshTransport ingress(1);
  const proxy::UpstreamTransport& transport =
      w[1] == "direct" ? static_cast<const proxy::UpstreamTransport&>(direct) : ingress;
  Poco::Net::HTTPResponse response;
  response.setStatus(w[3]);
  for (std::size_t i = 4; i < w.size(); ++i) {
    const auto at = w[i].find('=');
    response.set(w[i].substr(0, at), w[i].substr(at + 1));
  }
  const auto refused = transport.readResponse(response).rejection;
  if (!refused) return "passed";
  static const char* const kNames[] = {"full", "notThere", "unreachable", "turnedAway", "maybeRun"};
  return kNames[static_cast<int>(*refused)];
}

// Empty where the settings are valid.
std::string settingsProblem(const std::string& text) {
  const auto parsed = node::parseSettings(text);
  const auto* error = std::get_if<node::SettingsError>(&parsed);
  return error == nullptr ? "" : error->message();
}

}  // namespace

void playText(const Scenario& scenario) {
  int checks = 0;
  std::string block;
  const auto headLimit = static_cast<std::size_t>(number(scenario, "head_limit", 200));
  const auto bodyLimit = static_cast<std::size_t>(number(scenario, "body_limit", 1000));
  for (const auto& line : scenario.lines) {
    const auto& w = line.words;
    const auto rest = [&](std::size_t skip) {
      std::size_t at = 0;
      for (std::size_t i = 0; i < skip; ++i) at = line.text.find(w[i], at) + w[i].size();
      const auto from = line.text.find_first_not_of(' ', at);
      return from == std::string::npos ? std::string() : line.text.substr(from);
    };
    const auto told = "line " + std::to_string(line.number) + ": " + line.text;
    if (w[0] == "request") {  // request VERDICT bytes
      const auto verdict = requestVerdict(unescaped(rest(2)), headLimit, bodyLimit);
      require(verdict == w[1], told + ": got " + verdict);
      ++checks;
    } else if (w[0] == "answer") {  // answer direct|ingress OUTCOME STATUS HEADER=VALUE...
      require(answerVerdict(w) == w[2], told + ": got " + answerVerdict(w));
      ++checks;
    } else if (w[0] == "let") {  // let JSON: a block for the lines below
      block = rest(1);
    } else if (w[0] == "config" || w[0] == "settings") {
      // config ok|WORD JSON-PATCH: the block with the patch put over it; WORD must be named.
      auto document = nlohmann::json::parse(block);
      const auto patch = rest(2);
      if (!patch.empty()) document.merge_patch(nlohmann::json::parse(patch));
      const auto problem = w[0] == "config" ? config::RouteTable::parse(document).error
                                            : settingsProblem(document.dump());
      if (w[1] == "ok") {
        require(problem.empty(), told + ": " + problem);
      } else {
        require(problem.find(w[1]) != std::string::npos, told + ": got '" + problem + "'");
      }
      ++checks;
    } else if (w[0] == "route") {  // route HOST PATH NAME|none, in the block's configuration
      const auto read = config::RouteTable::parse(nlohmann::json::parse(block));
      require(read.table != nullptr, told + ": " + read.error);
      const auto* route = read.table->findRoute(w[1], w[2]);
      const std::string got = route == nullptr ? "none" : route->name;
      require(got == w[3], told + ": got " + got);
      ++checks;
    } else if (w[0] == "update") {  // update JSON: makes a new block of the block
      auto made = config::applyUpdate(nlohmann::json::parse(block), nlohmann::json::parse(rest(1)));
      require(made.error.empty(), told + ": " + made.error);
      block = made.config.dump();
    } else if (w[0] == "split") {  // split HOST PATH DRAW SERVICE
      const auto read = config::RouteTable::parse(nlohmann::json::parse(block));
      const auto got = read.table->findRoute(w[1], w[2])->pickService(std::stod(w[3])).str();
      require(got == w[4], told + ": got " + got);
      ++checks;
    } else if (w[0] == "promises") {  // no row of the table may promise what it can't
      // What only an operator reads and can't be told: an order that may be taken or not.
      const std::set<ErrorKind> unclear = {ErrorKind::noQuorum, ErrorKind::changeHistoryTruncated,
                                           ErrorKind::baseNotYetCommitted};
      for (int k = 0; k <= static_cast<int>(ErrorKind::internal); ++k) {
        const auto& row = responseFor(static_cast<ErrorKind>(k));
        const bool promising =
            row.status == 429 || row.status == 408 || row.status == 421 || row.status == 503;
        require(!promising || row.notExecuted != unclear.contains(static_cast<ErrorKind>(k)),
                "a row promises too much or too little: " + std::string(row.message));
        require(row.status != 503 || row.retryAfterMs > 0, "a 503 without Retry-After");
      }
      ++checks;
    }
  }
  require(checks > 0, "a scenario without an expectation proves nothing");
}

}  // namespace merlingauge::test
