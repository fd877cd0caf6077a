// service_headers.hpp: headers that instances and callers see, given by the interface with them.
#pragma once

namespace merlingauge::proxy::service_headers {

/// Request: milliseconds until the caller gives up, from when the request was sent.
inline constexpr const char* kDeadlineMs = "Deadline-Ms";
/// Request: the instance it is meant for; another one there answers 421 and does not execute it.
inline constexpr const char* kExpectedInstance = "Expected-Instance";
/// Request: the service that the request comes from.
inline constexpr const char* kCallerService = "Caller-Service";
/// Response: "running,waiting,slots" of the instance.
inline constexpr const char* kInstanceLoad = "Instance-Load";
/// Response: set by the instance on every success; without it the response isn't the instance's.
inline constexpr const char* kResponseSeal = "Response-Seal";
/// Response: the instance did not execute the request.
inline constexpr const char* kNotExecuted = "Not-Executed";

}  // namespace merlingauge::proxy::service_headers
