// ipv4_address: the form of addresses in texts from outside. Nothing here resolves a name: that
// would hold up the event loop.
#pragma once

#include <string_view>

namespace merlingauge {

/// Whether `text` is an IPv4 address in dotted decimal form: "10.0.0.1".
[[nodiscard]] bool isIpv4Address(std::string_view text);

/// Whether `text` is an IPv4 address with a port above 0: "10.0.0.1:8080".
[[nodiscard]] bool isIpv4Endpoint(std::string_view text);

}  // namespace merlingauge
