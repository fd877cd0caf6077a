// server_response.hpp: what the head of an instance's response says about the request's fate.
#pragma once

#include <Poco/Net/HTTPResponse.h>

namespace merlingauge::proxy {

/// A success without the instance's seal, or with a content coding that isn't the instance's: it
/// must not reach a caller.
bool isUnsealedSuccess(const Poco::Net::HTTPResponse& response);
/// The instance says that it did not execute the request.
bool isNotExecuted(const Poco::Net::HTTPResponse& response);
/// The instance failed: 500, 502, or a 503 that doesn't say that the request was not executed.
bool isServerFailure(const Poco::Net::HTTPResponse& response);
/// A status that callers take for "not executed" and that the instance hasn't backed by its header.
/// Only the node may promise that, so it is not passed on.
bool isUnprovenRejection(const Poco::Net::HTTPResponse& response);

}  // namespace merlingauge::proxy
