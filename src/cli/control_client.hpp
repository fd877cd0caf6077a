// control_client: one call to the control API of a running node.
#pragma once

#include <Poco/Net/HTTPRequest.h>

#include <string>
#include <variant>

namespace merlingauge::cli {

/// What the node answered.
struct ControlResponse {
  int status = 0;  ///< HTTP status code
  std::string body;
};

/// No complete answer came.
struct ControlFailure {
  std::string reason;        ///< one line
  bool requestSent = false;  ///< the node may have received the request and carried it out
};

using ControlResult = std::variant<ControlResponse, ControlFailure>;

/// Calls the control API at one address. Blocks, for at most 10 seconds without progress.
class ControlClient {
 public:
  /// `address` is HOST:PORT. Throws UsageError where it hasn't that form.
  explicit ControlClient(std::string address);
  [[nodiscard]] ControlResult get(const std::string& path) const;
  /// A configuration change on top of `baseRevision`.
  [[nodiscard]] ControlResult postConfig(const std::string& path, const std::string& baseRevision,
                                         const std::string& body) const;

 private:
  ControlResult exchange(Poco::Net::HTTPRequest& request, const std::string& body) const;
  std::string address_;
};

}  // namespace merlingauge::cli
