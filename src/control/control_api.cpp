#include "control/control_api.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/config_schema.hpp"
#include "control/config_change.hpp"
#include "rpc/peer_rpc.hpp"

namespace merlingauge::control {

using config::RouteTable;
using consensus::Proposer;
using consensus::RegisterValue;
using http::ServerExchange;
using membership::Instance;
using nlohmann::json;

namespace {
constexpr Duration kCallLimit = std::chrono::milliseconds(900);
constexpr const char* kJson = "application/json";

}  // namespace

void ControlApi::handle(const ServerExchange::Ptr& exchange) {
  const auto& uri = exchange->request.getURI();
  const auto path = uri.substr(0, uri.find('?'));
  const auto& method = exchange->request.getMethod();
  struct Call {
    const char* prefix;
    bool tail;  // an id follows
    const char* method;
    std::function<void(const std::string& id, const std::string& body)> run;
  };
  const Call calls[] = {
      {"/v1/Instances.Heartbeat/", true, "POST",
       [this, exchange](const auto& id, const auto& body) { heartbeat(exchange, id, body); }},
      {"/v1/Instances.Deregister/", true, "POST",
       [this, exchange](const auto& id, const auto&) { deregister(exchange, id); }},
      {"/v1/Configuration.Replace", false, "POST",
       [this, exchange](const auto&, const auto& body) { change(exchange, body, true); }},
      {"/v1/Configuration.Update", false, "POST",
       [this, exchange](const auto&, const auto& body) { change(exchange, body, false); }},
      {"/v1/Configuration.Describe", false, "GET",
       [this, exchange](const auto&, const auto&) { describe(exchange); }},
      {"/v1/Status", false, "GET",
       [this, exchange](const auto&, const auto&) {
         exchange->respond(200, "OK", dependencies_.status().dump(), kJson);
       }},
      {"/v1/readiness", false, "GET",
       [this, exchange](const auto&, const auto&) {
         const bool ready = dependencies_.ready();
         exchange->respond(ready ? 200 : 503, ready ? "OK" : "Service Unavailable", "", "");
       }},
  };
  for (const auto& call : calls) {
    const std::string prefix = call.prefix;
    const bool hit =
        call.tail ? path.size() > prefix.size() && path.rfind(prefix, 0) == 0 : path == prefix;
    if (!hit) continue;
    if (method != call.method) {
      exchange->respondError(ErrorKind::methodNotAllowed, "", {{"Allow", call.method}});
      return;
    }
    const auto id = call.tail ? path.substr(prefix.size()) : "";
    // It goes into documents, which hold UTF-8 only.
    if (!std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; })) break;
    rpc::whenBodyComplete(exchange,
                          [run = call.run, id](const std::string& body) { run(id, body); });
    return;
  }
  exchange->respondError(ErrorKind::unknownOperation);
}

void ControlApi::heartbeat(const ServerExchange::Ptr& exchange, const std::string& id,
                           const std::string& body) {
  const auto read = config::parseDocument(body);
  if (!read) {
    exchange->respondError(ErrorKind::invalidJson);
    return;
  }
  const auto& document = *read;
  if (auto problem = config::schemaViolation(config::SchemaKind::heartbeat, document);
      !problem.empty()) {
    exchange->respondError(ErrorKind::invalidJson, problem);
    return;
  }
  const auto& info = document["node_info"];
  const auto& detail = document["status_detail"];
  Instance server;
  server.id = InstanceId(id);
  server.service = ServiceName(info["target_service"].get<std::string>());
  server.address = document["address"].get<std::string>();
  server.zone = ZoneName(info.value("zone", ""));
  server.capacity = info["capacity"].get<int>();
  server.status =
      detail["status"] == "draining" ? Instance::Status::draining : Instance::Status::available;
  server.sequence = detail["sequence"].get<std::uint64_t>();
  server.warmingUp = detail.value("warmup_left_s", 0.0) > 0;
  const auto target = dependencies_.heartbeatTarget(server.id);  // before this beat makes it ours
  const auto beat = dependencies_.registry.handleHeartbeat(server, dependencies_.loop.now());
  if (beat != membership::InstanceRegistry::HeartbeatResult::stale) {
    if (const auto now = dependencies_.registry.findInstance(server.id))
      dependencies_.onInstanceUpdate(*now);
  }
  if (beat == membership::InstanceRegistry::HeartbeatResult::changed) {
    dependencies_.log("server " + id +
                      (server.status == Instance::Status::draining ? " drains" : " beats"));
    dependencies_.onRegistryChanged();
  }
  const auto word = dependencies_.registry.findInstance(server.id);
  if (word && word->status != Instance::Status::available) {
    acknowledgeWhenReplicated(exchange, id);
    return;
  }
  json answer = json::object();
  if (!target.empty()) answer["heartbeat_target"] = target;
  exchange->respond(200, "OK", answer.dump(), kJson);
}

void ControlApi::acknowledgeWhenReplicated(const ServerExchange::Ptr& exchange,
                                           const std::string& id) {
  dependencies_.whenReplicated(InstanceId(id), [exchange](bool held) {
    if (held) {
      exchange->respond(200, "OK", "{}", kJson);
    } else {
      exchange->respondError(ErrorKind::noQuorum);
    }
  });
}

void ControlApi::deregister(const ServerExchange::Ptr& exchange, const std::string& id) {
  if (dependencies_.registry.deregister(InstanceId(id), dependencies_.loop.now())) {
    dependencies_.log("server " + id + " has left");
    if (const auto now = dependencies_.registry.findInstance(InstanceId(id)))
      dependencies_.onInstanceUpdate(*now);
    dependencies_.onRegistryChanged();
  }
  acknowledgeWhenReplicated(exchange, id);
}

void ControlApi::change(const ServerExchange::Ptr& exchange, const std::string& body, bool whole) {
  auto asked = config::parseDocument(body);
  if (!asked) {
    exchange->respondError(ErrorKind::invalidConfig, "the body can't be read whole");
    return;
  }
  auto document = std::make_shared<json>(std::move(*asked));
  const auto baseText = exchange->request.get("Base-Revision", "");
  Revision base;
  const auto read = std::from_chars(baseText.data(), baseText.data() + baseText.size(), base.value);
  if (read.ec != std::errc() || read.ptr != baseText.data() + baseText.size()) {
    exchange->respondError(ErrorKind::invalidConfig, "Base-Revision: a whole number is wanted");
    return;
  }
  std::string problem;
  if (whole) {
    problem = RouteTable::parse(*document).error;
  } else {
    problem = config::schemaViolation(config::SchemaKind::update, *document);
  }
  if (!problem.empty()) {
    dependencies_.log("change refused, " + problem);
    exchange->respondError(ErrorKind::invalidConfig, problem);
    return;
  }
  const ConfigChange order{whole, base, changeDigest(whole, baseText, body), document,
                           whole ? config::ConfigText::create(body) : nullptr};
  dependencies_.registerService.propose(
      [order, terms = ConfigChangeLimits{dependencies_.minVoters},
       most = dependencies_.maxConfigBytes](const RegisterValue& current, RegisterValue& next) {
        auto verdict = decideChange(order, terms, current, next);
        if (verdict.kind == Proposer::Decision::Kind::write && next.config->text().size() > most) {
          verdict.kind = Proposer::Decision::Kind::reject;
          verdict.error = ErrorKind::invalidConfig;
          verdict.detail = "larger than the " + std::to_string(most) + " bytes that the disks take";
        }
        return verdict;
      },
      kCallLimit + consensus::extraRoundTime(body.size()),
      [this, exchange, document](const Proposer::Result& result) {
        const auto revision = std::to_string((*document)["revision"].get<std::int64_t>());
        if (!result.succeeded) {
          dependencies_.log("version " + revision +
                            " refused: " + responseFor(result.error).message);
          exchange->respondError(result.error, result.detail);
          return;
        }
        dependencies_.log("version " + revision + " taken");
        exchange->respond(200, "OK", json{{"revision", (*document)["revision"]}}.dump(), kJson);
      });
}

void ControlApi::describe(const ServerExchange::Ptr& exchange) {
  dependencies_.registerService.propose(
      [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; }, kCallLimit,
      [exchange](const Proposer::Result& result) {
        if (!result.succeeded || !result.valueKnown) {
          exchange->respondError(ErrorKind::noQuorum);
        } else if (!result.value.config) {
          exchange->respondError(ErrorKind::noConfiguration);
        } else {
          exchange->respond(200, "OK", result.value.config->text(), kJson);
        }
      });
}

}  // namespace merlingauge::control
