#include "base/ipv4_address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace merlingauge {

bool isIpv4Address(std::string_view text) {
  if (text.size() >= INET_ADDRSTRLEN) return false;
  if (text.find_first_not_of("0123456789.") != std::string_view::npos) return false;
  in_addr parsed{};
  return ::inet_pton(AF_INET, std::string(text).c_str(), &parsed) == 1;
}

bool isIpv4Endpoint(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || !isIpv4Address(text.substr(0, colon))) return false;
  const auto portText = text.substr(colon + 1);
  const char* const end = portText.data() + portText.size();
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(portText.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port != 0;
}

}  // namespace merlingauge
