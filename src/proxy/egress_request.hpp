// egress_request.hpp: one request of a client, from its route to its response.
#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <memory>
#include <string>
#include <vector>

#include "base/errors.hpp"
#include "config/route_table.hpp"
#include "http/client_exchange.hpp"
#include "http/server_exchange.hpp"
#include "proxy/attempt_planner.hpp"
#include "proxy/egress_attempt.hpp"
#include "proxy/egress_response.hpp"
#include "proxy/egress_state.hpp"
#include "proxy/exchange_relay.hpp"

namespace merlingauge::proxy {

/// Does the input and output around an AttemptPlanner, which decides. Owns itself through the
/// callbacks of the exchanges and its timer until the response is out and no attempt is left.
/// Event-loop thread only.
///
/// Keeps both invariants of docs/design.md, "What holds on every connection", on the egress's part:
/// the client gets the response of one attempt only (`response_`, `over_`), and what the planner
/// doesn't send again is not sent again.
class EgressRequest : public std::enable_shared_from_this<EgressRequest> {
 public:
  EgressRequest(EgressState& egress, http::ServerExchange::Ptr exchange,
                const config::Route& route);
  /// Sends the first attempt. `route` is needed during this call only.
  void start(const config::Route& route);

 private:
  using AttemptPtr = EgressAttemptPtr;

  // The client's side.
  void listenToClient();
  void onClientBody();
  void pauseOrResumeUpstream();
  void onClientGone();
  void onDeadline();

  // Attempts going out.
  void carryOut(const PlannedAction& action);
  void send(const PlannedAction& action);
  Poco::Net::HTTPRequest attemptRequest(const EgressAttempt& attempt, bool mayQueue,
                                        TimePoint now) const;
  [[nodiscard]] Duration idleLimit(TimePoint now) const;
  void listenToUpstream(const AttemptPtr& attempt);
  void startSilenceTimer(const AttemptPtr& attempt);

  // What becomes of them.
  void onInterimResponse(EgressAttempt& attempt);
  void onSilence(EgressAttempt& attempt);
  void onResponseHead(EgressAttempt& attempt, const Poco::Net::HTTPResponse& response,
                      const http::BodyFraming& framing);
  void onResponseBody(const AttemptPtr& attempt, std::string& bytes);
  void onResponseComplete(const AttemptPtr& attempt);
  void onRejected(const EgressAttempt& attempt, AttemptOutcome rejection);
  void onAttemptFailed(const AttemptPtr& attempt, http::ClientExchange::Failure failure);
  void onAttemptEnded(const EgressAttempt& attempt, AttemptOutcome outcome);

  // The response to the client.
  void respondError(ErrorKind kind);
  void cutShort();

  // Ends.
  void stopCounting(EgressAttempt& attempt);
  void discard(const AttemptPtr& attempt);
  void cancel(const AttemptPtr& attempt);
  void abandonOtherAttempts(const AttemptPtr& winner);
  void finish();

  EgressState& egress_;
  http::ServerExchange::Ptr client_;
  int priority_;
  bool idempotent_;
  TimePoint deadline_;  // the client's or the route's, whichever is earlier
  TimePoint target_;    // the route's target latency is met up to here
  ServiceName service_;
  std::unique_ptr<AttemptPlanner> planner_;
  event::EventLoop::TimerId deadlineTimer_ = 0;  // 0: not set
  ReplayBuffer body_;
  std::vector<AttemptPtr> attempts_;   // pending: the response is awaited
  std::vector<AttemptPtr> overtaken_;  // pending, though another's response has won
  EgressResponse response_;            // what the client is being sent
  bool over_ = false;                  // the client is served, rejected or gone
};

}  // namespace merlingauge::proxy
