// peer_headers.hpp: headers that the egress and the ingress of one path send each other.
//
// The only place for these names. They are wire format: two versions run side by side in a
// roll-out, so the bytes stay as they are, whatever the constants are called. Callers never see
// them and can't set them (`isDroppedAtEgress`).
#pragma once

#include <Poco/String.h>

#include <string>

#include "proxy/service_headers.hpp"

namespace merlingauge::proxy::peer_headers {

/// All headers between nodes begin with this.
inline constexpr const char* kPrefix = "Hut-";
inline constexpr std::size_t kPrefixLength = 4;

// Egress to ingress.

/// Priority of the route, a number; 0 is the highest.
inline constexpr const char* kPriority = "Hut-Rank";
/// "1": the request may queue at the ingress, since the egress has nowhere better to send it.
inline constexpr const char* kMayQueue = "Hut-Wait";
/// Milliseconds to the route's target latency, from when the egress sent it; may be negative.
inline constexpr const char* kTimeToTarget = "Hut-Target";
/// "1": the request must not be executed twice.
inline constexpr const char* kNonIdempotent = "Hut-Once";

// Ingress to egress.

/// The request was not passed on; one of the reasons below.
inline constexpr const char* kRejected = "Hut-Refused";
/// "1": the request was passed on, and there is no whole response.
inline constexpr const char* kUnknownOutcome = "Hut-Unclear";
/// "requests,slots": running and queued requests at the instance without this one, and its slots.
inline constexpr const char* kLoad = "Hut-Load";

// Reasons of `kRejected`.

/// Its slots are taken, and the queue is too long or not wanted.
inline constexpr const char* kOverloaded = "full";
/// Draining, unknown here, or not to be reached.
inline constexpr const char* kUnavailable = "not-there";
/// The instance itself said that it did not execute the request.
inline constexpr const char* kNotExecuted = "turned-away";

inline bool isPeerHeader(const std::string& name) {
  return name.size() > kPrefixLength && Poco::icompare(name.substr(0, kPrefixLength), kPrefix) == 0;
}

/// What the egress takes out of a caller's request before it sets its own.
inline bool isDroppedAtEgress(const std::string& name) {
  return isPeerHeader(name) || Poco::icompare(name, service_headers::kCallerService) == 0 ||
         Poco::icompare(name, service_headers::kExpectedInstance) == 0 ||
         Poco::icompare(name, service_headers::kDeadlineMs) == 0 ||
         Poco::icompare(name, "Expect") == 0;
}

/// What the ingress takes out of a request before it passes it on.
inline bool isDroppedAtIngress(const std::string& name) {
  return isPeerHeader(name) || Poco::icompare(name, service_headers::kDeadlineMs) == 0;
}

}  // namespace merlingauge::proxy::peer_headers
