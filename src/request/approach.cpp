#include "request/approach.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "request/hop.hpp"

namespace merlin::trail {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::SocketAddress;

namespace {
constexpr double kFullWaits = 4;  // a server that turns away has a queue of some length

// The first number of a list; nothing where there is none.
std::optional<double> firstOf(const std::string& text) {
  double out = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), out);
  if (read.ec != std::errc() || !std::isfinite(out)) return std::nullopt;
  return out;
}

// Running and waiting of `Instance-Load: running,waiting,slots`.
std::optional<double> jobsTold(const HTTPResponse& response) {
  const std::string text = response.get("Instance-Load", "");
  const auto comma = text.find(',');
  if (comma == std::string::npos) return std::nullopt;
  const auto running = firstOf(text);
  const auto waiting = firstOf(text.substr(comma + 1));
  if (!running || !waiting) return std::nullopt;
  return std::max(0.0, *running + *waiting);
}

bool serverFailed(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status == 500 || status == 502 || (status == 503 && !response.has("Not-Executed"));
}
}  // namespace

bool unsealed(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status >= 200 && status < 300 &&
         (!response.has("Response-Seal") || response.has("Content-Encoding"));
}

bool turnedAway(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status == 421 || (response.has("Not-Executed") && (status == 503 || status == 429));
}

SocketAddress ThroughIngress::address(const cairn::Server& server) const {
  return {SocketAddress(server.address).host(), port_};
}

void ThroughIngress::dress(const Errand& errand, HTTPRequest& request) const {
  request.set(hop::kRank, std::to_string(errand.rank));
  if (errand.mayWait) request.set(hop::kWait, "1");
  request.set(hop::kTarget, std::to_string(errand.leftToTarget.count() / 1000));
  if (errand.once) request.set(hop::kOnce, "1");
}

Reading ThroughIngress::read(const HTTPResponse& response) const {
  Reading out;
  if (const auto why = response.get(hop::kRefused, ""); !why.empty()) {
    out.refused = why == hop::kFull         ? Outcome::full
                  : why == hop::kTurnedAway ? Outcome::turnedAway
                                            : Outcome::notThere;
  } else if (response.has(hop::kUnclear)) {
    out.refused = Outcome::maybeRun;
  }
  if (!out.refused && unsealed(response)) out.refused = Outcome::maybeRun;
  out.load = firstOf(response.get(hop::kLoad, ""));
  // The node beside the server keeps the account of its failures.
  return out;
}

SocketAddress Direct::address(const cairn::Server& server) const {
  return SocketAddress(server.address);
}

void Direct::dress(const Errand& /*errand*/, HTTPRequest& /*request*/) const {}

Reading Direct::read(const HTTPResponse& response) const {
  Reading out;
  out.load = jobsTold(response);
  if (turnedAway(response)) {
    out.refused = Outcome::turnedAway;
    out.gone = response.getStatus() == 421;
    if (!out.gone && !out.load) out.load = kFullWaits;
    return out;
  }
  if (unsealed(response)) out.refused = Outcome::maybeRun;
  out.ownLoadIncluded = true;
  out.wellDone = !serverFailed(response) && !out.refused;
  return out;
}

}  // namespace merlin::trail
