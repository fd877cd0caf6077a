#include "control/config_operations.hpp"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "control/control_requests.hpp"
#include "control/json_response.hpp"
#include "control/logger.hpp"

namespace merlingauge::control {

using consensus::Proposer;
using consensus::RegisterValue;
using http::ServerExchange;
using nlohmann::json;

namespace {
// The time of a proposal for a caller: below one second, so that the answer leaves before a caller
// that waits for a second gives up.
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
constexpr const char* kBaseRevisionHeader = "Base-Revision";

void respondToChange(const ServerExchange::Ptr& exchange, const json& document,
                     const Proposer::Result& result) {
  const auto& revision = document["revision"];
  const auto name = "version " + std::to_string(revision.get<std::int64_t>());
  if (!result.succeeded) {
    logger().information(name + " is not committed: " + responseFor(result.error).message);
    exchange->respondError(result.error, result.detail);
    return;
  }
  logger().information(name + " is committed");
  respondWithJson(exchange, json{{"revision", revision}}.dump());
}

void respondToDescribe(const ServerExchange::Ptr& exchange, const Proposer::Result& result) {
  if (!result.succeeded || !result.value) {
    exchange->respondError(ErrorKind::noQuorum);
  } else if (!result.value->config) {
    exchange->respondError(ErrorKind::noConfiguration);
  } else {
    respondWithJson(exchange, result.value->config->text());
  }
}
}  // namespace

ConfigOperations::ConfigOperations(RegisterService& registerService,
                                   const ConfigChangeLimits& limits)
    : registerService_(registerService), limits_(limits) {}

void ConfigOperations::change(const ServerExchange::Ptr& exchange, ConfigChange::Kind kind,
                              const std::string& body) {
  auto parsed = parseConfigChange(kind, exchange->request.get(kBaseRevisionHeader, ""), body);
  if (const auto* const error = std::get_if<RequestError>(&parsed)) {
    exchange->respondError(error->kind, error->detail);
    return;
  }
  auto change = std::get<ConfigChange>(std::move(parsed));
  if (const auto violation = findViolation(change); !violation.empty()) {
    logger().information("configuration change rejected: " + violation);
    exchange->respondError(ErrorKind::invalidConfig, violation);
    return;
  }
  const auto document = change.document;
  registerService_.propose(
      [change = std::move(change), limits = limits_](const RegisterValue& current,
                                                     RegisterValue& next) {
        return toProposerDecision(decideChange(change, limits, current), next);
      },
      kCallTimeout + consensus::extraRoundTime(body.size()),
      [exchange, document](const Proposer::Result& result) {
        respondToChange(exchange, *document, result);
      });
}

void ConfigOperations::describe(const ServerExchange::Ptr& exchange) {
  registerService_.read(kCallTimeout, [exchange](const Proposer::Result& result) {
    respondToDescribe(exchange, result);
  });
}

}  // namespace merlingauge::control
