// message_headers: the header fields that concern one connection only: which are not passed on,
// which announce the framing, and which end the connection.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <string>

#include "http/body_framing.hpp"

namespace merlingauge::http {

/// Names one attempt of a client's request; a response repeats it.
constexpr const char* kAttemptIdHeader = "Attempt-Id";

/// Whether a header field of this name is left out of a copy.
using HeaderFilter = bool (*)(const std::string& name);

/// Adds the fields of `from` to `to` without those that concern one connection only (RFC 9110,
/// section 7.6.1), those that `Connection` names, and those that `isDropped` (may be nullptr) says.
void copyHeaders(const Poco::Net::MessageHeader& from, Poco::Net::MessageHeader& to,
                 HeaderFilter isDropped);

/// Whether a `Connection` field of the message names this header, so that no copy has it.
bool isConnectionOption(const Poco::Net::MessageHeader& message, const std::string& name);

/// Whether the connection ends behind this message, by its `Connection` field and its version.
bool wantsClose(const Poco::Net::HTTPMessage& message);

/// Sets `Transfer-Encoding` or `Content-Length` as `framing` asks for.
void setFramingHeaders(const BodyFraming& framing, Poco::Net::HTTPMessage& message);

/// The same for a request passed on: no length where the caller gave none.
void setFramingHeaders(const BodyFraming& framing, const Poco::Net::HTTPRequest& from,
                       Poco::Net::HTTPRequest& to);

}  // namespace merlingauge::http
