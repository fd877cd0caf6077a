// ingress_request.hpp: one request at the instance beside this node.
#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <memory>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "http/client_exchange.hpp"
#include "http/server_exchange.hpp"
#include "proxy/admission_queue.hpp"
#include "proxy/exchange_relay.hpp"
#include "proxy/ingress_state.hpp"

namespace merlingauge::proxy {

/// Waits for a slot if it has to, passes the request on and streams the response back. Owns itself
/// through the callbacks of the exchanges until the response is out. Event-loop thread only.
///
/// Keeps the second invariant of docs/design.md, "What holds on every connection", on the ingress's
/// part: `run` doesn't begin what its caller has given up, and `onUpstreamFailed` sends again only
/// what may be executed twice.
class IngressRequest : public QueuedRequest, public std::enable_shared_from_this<IngressRequest> {
 public:
  /// `id`: the instance that the request is meant for; its gate is there.
  IngressRequest(IngressState& ingress, http::ServerExchange::Ptr exchange, InstanceId id);
  void start();

  void onDequeued(bool admitted) override;
  void onTurn(bool admitted) override;
  [[nodiscard]] bool isOver() const override { return over_; }

 private:
  [[nodiscard]] AdmissionQueue::Arrival readArrival();
  void listenToClient();
  void onClientBody();
  void pauseOrResumeUpstream();
  void onClientGone();

  void run();
  void send(Duration idleLimit);
  void listenToUpstream();
  void onResponseHead(const Poco::Net::HTTPResponse& response, const http::BodyFraming& framing);
  void onResponseBody(std::string& bytes);
  void onResponseComplete();
  void recordResponse() const;
  void onUpstreamFailed(http::ClientExchange::Failure failure);
  [[nodiscard]] bool maySendAgain(http::ClientExchange::Failure failure, TimePoint now) const;

  void reject(const char* reason);
  void failUnknownOutcome();
  void cutShort();
  void reportHealth(bool success);
  [[nodiscard]] std::string load() const;
  void finish(Duration took);

  IngressState& ingress_;
  http::ServerExchange::Ptr client_;
  InstanceId id_;
  AdmissionQueue::Ticket ticket_;
  TimePoint deadline_;
  TimePoint sentAt_;  // when the request was first passed on
  http::ClientExchange::Ptr upstream_;
  ReplayBuffer body_;
  bool nonIdempotent_ = true;
  bool queued_ = false;       // waits in the gate's queue
  bool holdsSlot_ = false;    // counts as running in the gate's queue
  bool answered_ = false;     // the response's head has come
  bool notExecuted_ = false;  // the instance says so
  bool resent_ = false;       // the instance may have seen it, whatever becomes of the second time
  bool streaming_ = false;    // the client is being sent the response
  bool over_ = false;
};

}  // namespace merlingauge::proxy
