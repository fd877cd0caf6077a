// hop: the headers that the two nodes of a path say to each other. Callers never see them and
// can't set them.
#pragma once

#include <Poco/String.h>

#include <string>

namespace merlingauge::proxy::peer_headers {

inline constexpr const char* kPriority = "Hut-Rank";           // the route's priority
inline constexpr const char* kMayQueue = "Hut-Wait";           // 1: may queue beside the server
inline constexpr const char* kTimeToTarget = "Hut-Target";     // milliseconds to the route's target
inline constexpr const char* kNonIdempotent = "Hut-Once";      // 1: must not run twice
inline constexpr const char* kRejected = "Hut-Refused";        // not passed on, and why
inline constexpr const char* kUnknownOutcome = "Hut-Unclear";  // passed on, no whole answer
inline constexpr const char* kLoad = "Hut-Load";               // jobs at the server, slots

inline constexpr const char* kOverloaded = "full";
inline constexpr const char* kUnavailable = "not-there";
inline constexpr const char* kNotExecuted = "turned-away";

inline bool isPeerHeader(const std::string& name) {
  return name.size() > 4 && Poco::icompare(name.substr(0, 4), "Hut-") == 0;
}

// What the egress takes out of a caller's request before it writes its own.
inline bool isDroppedAtEgress(const std::string& name) {
  return isPeerHeader(name) || Poco::icompare(name, "Caller-Service") == 0 ||
         Poco::icompare(name, "Expected-Instance") == 0 ||
         Poco::icompare(name, "Deadline-Ms") == 0 || Poco::icompare(name, "Expect") == 0;
}

inline bool isDroppedAtIngress(const std::string& name) {
  return isPeerHeader(name) || Poco::icompare(name, "Deadline-Ms") == 0;
}

}  // namespace merlingauge::proxy::peer_headers
