// approach: how a chosen server is reached, the one seam between the two deployments: through the
// node beside it, or directly. All else of the path is shared.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <optional>
#include <string>

#include "request/ascent.hpp"
#include "units.hpp"
#include "version/guestbook.hpp"

namespace merlin::trail {

// What one try says of itself on its way.
struct Errand {
  InstanceId to;
  int rank = 0;
  bool mayWait = false;
  bool once = false;
  Span leftToTarget{};
};

// What an answer's head says.
struct Reading {
  std::optional<Outcome> refused;  // not an answer for the caller
  std::optional<double> load;      // jobs at the server, as told
  bool ownLoadIncluded = false;    // the request that it answers is still counted in
  bool gone = false;               // another server is there now
  bool wellDone = true;            // not a failure of the server's own
};

class Approach {
 public:
  virtual ~Approach() = default;
  [[nodiscard]] virtual Poco::Net::SocketAddress address(const cairn::Server& server) const = 0;
  // The connection belongs to this life of the server; empty: to the node there.
  [[nodiscard]] virtual std::string life(const InstanceId& id) const = 0;
  virtual void dress(const Errand& errand, Poco::Net::HTTPRequest& request) const = 0;
  [[nodiscard]] virtual Reading read(const Poco::Net::HTTPResponse& response) const = 0;
  // The other side says at once that it has the request.
  [[nodiscard]] virtual bool givesSign() const = 0;
};

// Mesh: the ingress beside the server admits, queues and knows its exact load.
class ThroughIngress : public Approach {
 public:
  explicit ThroughIngress(std::uint16_t port) : port_(port) {}
  [[nodiscard]] Poco::Net::SocketAddress address(const cairn::Server& server) const override;
  [[nodiscard]] std::string life(const InstanceId&) const override { return ""; }
  void dress(const Errand& errand, Poco::Net::HTTPRequest& request) const override;
  [[nodiscard]] Reading read(const Poco::Net::HTTPResponse& response) const override;
  [[nodiscard]] bool givesSign() const override { return true; }

 private:
  std::uint16_t port_;
};

// Gateway: the server itself. It answers for itself who it is.
class Direct : public Approach {
 public:
  [[nodiscard]] Poco::Net::SocketAddress address(const cairn::Server& server) const override;
  [[nodiscard]] std::string life(const InstanceId& id) const override { return id.str(); }
  void dress(const Errand& errand, Poco::Net::HTTPRequest& request) const override;
  [[nodiscard]] Reading read(const Poco::Net::HTTPResponse& response) const override;
  [[nodiscard]] bool givesSign() const override { return false; }
};

// A success that is not whole as the server sends it: it must not reach a caller.
bool unsealed(const Poco::Net::HTTPResponse& response);
// The server says that it did not run the request.
bool turnedAway(const Poco::Net::HTTPResponse& response);

}  // namespace merlin::trail
