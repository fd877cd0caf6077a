// office: the calls of servers and operators.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "connection/guest.hpp"
#include "process/council.hpp"
#include "version/chart.hpp"
#include "version/guestbook.hpp"

namespace merlin::hut {

class Office {
 public:
  struct Parts {
    Bell& bell;
    Council& council;
    cairn::Guestbook& guestbook;
    std::function<void(const cairn::Server&)> serverHeard;  // before the acknowledgement leaves
    std::function<void()> news;
    // Calls back once the word on that server survives the losses to be borne, or can't in time.
    std::function<void(const InstanceId&, std::function<void(bool)>)> whenHeld;
    // Where that server should send its beats; empty: here.
    std::function<std::string(const InstanceId&)> beatTarget;
    std::function<nlohmann::json()> status;
    std::function<bool()> ready;
    std::size_t fewestVoters = 1;  // below which no change is taken
    std::function<void(const std::string&)> log;
    std::size_t mostConfig = SIZE_MAX;  // bytes
  };
  explicit Office(Parts parts) : parts_(std::move(parts)) {}
  void visit(const saddle::Visit::Ptr& visit);

 private:
  void acknowledgeLeaving(const saddle::Visit::Ptr& visit, const std::string& id);
  void heartbeat(const saddle::Visit::Ptr& visit, const std::string& id, const std::string& body);
  void deregister(const saddle::Visit::Ptr& visit, const std::string& id);
  void change(const saddle::Visit::Ptr& visit, const std::string& body, bool whole);
  void describe(const saddle::Visit::Ptr& visit);
  Parts parts_;
};

}  // namespace merlin::hut
