// office: the calls of servers and operators.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "config/route_table.hpp"
#include "control/register_service.hpp"
#include "http/server_connection.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::control {

class ControlApi {
 public:
  struct Dependencies {
    event::EventLoop& loop;
    RegisterService& registerService;
    membership::InstanceRegistry& registry;
    std::function<void(const membership::Instance&)>
        onInstanceUpdate;  // before the acknowledgement leaves
    std::function<void()> onRegistryChanged;
    // Calls back once the word on that server survives the losses to be borne, or can't in time.
    std::function<void(const InstanceId&, std::function<void(bool)>)> whenReplicated;
    // Where that server should send its beats; empty: here.
    std::function<std::string(const InstanceId&)> heartbeatTarget;
    std::function<nlohmann::json()> status;
    std::function<bool()> ready;
    std::size_t minVoters = 1;  // below which no change is taken
    std::function<void(const std::string&)> log;
    std::size_t maxConfigBytes = SIZE_MAX;  // bytes
  };
  explicit ControlApi(Dependencies parts) : dependencies_(std::move(parts)) {}
  void handle(const http::ServerExchange::Ptr& exchange);

 private:
  void acknowledgeWhenReplicated(const http::ServerExchange::Ptr& exchange, const std::string& id);
  void heartbeat(const http::ServerExchange::Ptr& exchange, const std::string& id,
                 const std::string& body);
  void deregister(const http::ServerExchange::Ptr& exchange, const std::string& id);
  void change(const http::ServerExchange::Ptr& exchange, const std::string& body, bool whole);
  void describe(const http::ServerExchange::Ptr& exchange);
  Dependencies dependencies_;
};

}  // namespace merlingauge::control
