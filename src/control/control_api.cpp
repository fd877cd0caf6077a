#include "control/control_api.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

#include "control/json_response.hpp"
#include "rpc/request_body.hpp"

namespace merlingauge::control {

using http::ServerExchange;

/// One request whose body has arrived.
struct ControlApi::Call {
  ServerExchange::Ptr exchange;
  std::string instanceId;  ///< the rest of the path; empty where the operation takes none
  const std::string& body;
};

struct ControlApi::Operation {
  std::string_view path;
  bool takesInstanceId;  ///< an instance's id follows the path
  const char* method;
  void (ControlApi::*run)(const Call&);

  [[nodiscard]] bool matches(std::string_view requestPath) const {
    return takesInstanceId ? requestPath.size() > path.size() && requestPath.starts_with(path)
                           : requestPath == path;
  }
};

const ControlApi::Operation ControlApi::kOperations[] = {
    {"/v1/Instances.Heartbeat/", true, "POST", &ControlApi::heartbeat},
    {"/v1/Instances.Deregister/", true, "POST", &ControlApi::deregister},
    {"/v1/Configuration.Replace", false, "POST", &ControlApi::replaceConfiguration},
    {"/v1/Configuration.Update", false, "POST", &ControlApi::updateConfiguration},
    {"/v1/Configuration.Describe", false, "GET", &ControlApi::describeConfiguration},
    {"/v1/Status", false, "GET", &ControlApi::status},
    {"/v1/readiness", false, "GET", &ControlApi::readiness},
};

namespace {
// An instance id goes into JSON documents, which hold UTF-8 only, and into log lines.
bool isPrintableAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}
}  // namespace

ControlApi::ControlApi(event::EventLoop& loop, ControlApiHost& host,
                       RegisterService& registerService, membership::InstanceRegistry& registry,
                       const ConfigChangeLimits& limits)
    : host_(host), instances_(loop, host, registry), configuration_(registerService, limits) {}

void ControlApi::handle(const ServerExchange::Ptr& exchange) {
  const std::string& uri = exchange->request.getURI();
  const std::string path = uri.substr(0, uri.find('?'));
  const auto* const operation =
      std::find_if(std::begin(kOperations), std::end(kOperations),
                   [&path](const Operation& candidate) { return candidate.matches(path); });
  if (operation == std::end(kOperations)) {
    exchange->respondError(ErrorKind::unknownOperation);
    return;
  }
  if (exchange->request.getMethod() != operation->method) {
    exchange->respondError(ErrorKind::methodNotAllowed, "", {{"Allow", operation->method}});
    return;
  }
  const auto instanceId = path.substr(operation->path.size());
  if (!isPrintableAscii(instanceId)) {
    exchange->respondError(ErrorKind::unknownOperation);
    return;
  }
  rpc::whenBodyComplete(
      exchange, [this, exchange, run = operation->run, instanceId](const std::string& body) {
        (this->*run)(Call{exchange, instanceId, body});
      });
}

void ControlApi::heartbeat(const Call& call) {
  instances_.heartbeat(call.exchange, call.instanceId, call.body);
}

void ControlApi::deregister(const Call& call) {
  instances_.deregister(call.exchange, call.instanceId);
}

void ControlApi::replaceConfiguration(const Call& call) {
  configuration_.change(call.exchange, ConfigChange::Kind::replace, call.body);
}

void ControlApi::updateConfiguration(const Call& call) {
  configuration_.change(call.exchange, ConfigChange::Kind::update, call.body);
}

void ControlApi::describeConfiguration(const Call& call) { configuration_.describe(call.exchange); }

void ControlApi::status(const Call& call) { respondWithJson(call.exchange, host_.status().dump()); }

void ControlApi::readiness(const Call& call) {
  if (host_.isReady()) {
    call.exchange->respond(200, "OK", "", "");
  } else {
    call.exchange->respond(503, "Service Unavailable", "", "");
  }
}

}  // namespace merlingauge::control
