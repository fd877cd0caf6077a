// wire: JSON messages between the nodes, as HTTP posts to their internal port.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "connection/call.hpp"
#include "connection/guest.hpp"
#include "process/bell.hpp"
#include "units.hpp"

namespace merlin::hut {

// What this node has said to other nodes and heard from them, without heads.
struct Traffic {
  std::uint64_t asked = 0;  // calls of its own, and bytes either way
  std::uint64_t askedBytes = 0;
  std::uint64_t toldBytes = 0;
  std::uint64_t served = 0;  // calls of others
  std::uint64_t servedBytes = 0;
  std::uint64_t answeredBytes = 0;
};

class Wire {
 public:
  using Answer = std::function<void(std::optional<nlohmann::json>)>;
  Wire(Bell& bell, std::uint16_t port);
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;
  void post(const NodeId& to, const std::string& path, const nlohmann::json& body, Span limit,
            Answer answer);
  // Hands a caller's request on to another address and its answer back.
  struct Raw {
    int status = 0;
    std::string reason;
    std::string type;
    std::string body;
  };
  void pass(const Poco::Net::SocketAddress& to, const Poco::Net::HTTPRequest& request,
            const std::string& body, Span limit, std::function<void(std::optional<Raw>)> answer);
  // A call of another node's, and what it was answered.
  void served(std::size_t bytes) {
    ++traffic_.served;
    traffic_.servedBytes += bytes;
  }
  void answered(std::size_t bytes) { traffic_.answeredBytes += bytes; }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }

 private:
  struct Pending;
  void finish(std::uint64_t id, bool ok);
  Bell& bell_;
  std::uint16_t port_;
  saddle::Ropes ropes_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
  std::uint64_t lastId_ = 0;
  Traffic traffic_;
};

// Collects the whole body of a visit, then calls `then`.
void whenWhole(const saddle::Visit::Ptr& visit, std::function<void(const std::string&)> then);

}  // namespace merlin::hut
