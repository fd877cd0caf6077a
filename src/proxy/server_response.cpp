#include "proxy/server_response.hpp"

#include "proxy/service_headers.hpp"

namespace merlingauge::proxy {

using Poco::Net::HTTPResponse;

bool isUnsealedSuccess(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status >= 200 && status < 300 &&
         (!response.has(service_headers::kResponseSeal) || response.has("Content-Encoding"));
}

bool isNotExecuted(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status == 421 ||
         (response.has(service_headers::kNotExecuted) && (status == 503 || status == 429));
}

bool isServerFailure(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status == 500 || status == 502 ||
         (status == 503 && !response.has(service_headers::kNotExecuted));
}

bool isUnprovenRejection(const HTTPResponse& response) {
  const int status = response.getStatus();
  return (status == 503 || status == 429 || status == 408) &&
         !response.has(service_headers::kNotExecuted);
}

}  // namespace merlingauge::proxy
