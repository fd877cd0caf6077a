// egress_response.hpp: the one response that a client of the egress gets.
#pragma once

#include <string>

#include "base/errors.hpp"
#include "http/server_exchange.hpp"
#include "proxy/egress_attempt.hpp"

namespace merlingauge::proxy {

/// Holds the response of an attempt until it is whole or too long to hold; a longer one is
/// streamed. Checks the invariants of what goes to the client (http::ResponseInvariant). Part of
/// one EgressRequest; event-loop thread only.
///
/// Invariant (docs/design.md, "What holds on every connection"): the client gets the response of
/// one attempt. Of a rejection, or of a response that comes second, nothing is kept.
class EgressResponse {
 public:
  explicit EgressResponse(http::ServerExchange::Ptr client) : client_(std::move(client)) {}

  /// Whether a part of a response has gone to the client.
  [[nodiscard]] bool isStreaming() const { return streaming_ != nullptr; }
  /// Whether it is this attempt's response that the client is being sent.
  [[nodiscard]] bool isStreaming(const EgressAttemptPtr& attempt) const {
    return streaming_ == attempt;
  }
  /// Whether this attempt's response may still become the client's.
  [[nodiscard]] bool isOpenTo(const EgressAttemptPtr& attempt) const {
    return streaming_ == nullptr || streaming_ == attempt;
  }

  /// Holds bytes of an attempt's response, or sends them on. True where the stream begins with
  /// them: no other attempt's response can be the client's any more.
  bool addBody(const EgressAttemptPtr& attempt, const std::string& bytes);
  /// Sends a held response whose source has ended, except for its end. False where it must not be
  /// sent: then nothing of it is.
  bool sendHeld(EgressAttempt& attempt, const http::MessageSummary& source);
  /// Pauses the streamed response while the client has too much of it to read.
  void applyBackpressure();

 private:
  bool isWhole(const EgressAttempt& attempt, const http::MessageSummary& source);
  bool isSealed(const EgressAttempt& attempt);
  void sendBody(EgressAttempt& attempt);

  http::ServerExchange::Ptr client_;
  EgressAttemptPtr streaming_;
};

}  // namespace merlingauge::proxy
