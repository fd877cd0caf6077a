#include "base/errors.hpp"

#include <array>

namespace merlingauge {

namespace {
constexpr std::array<ErrorResponse, static_cast<std::size_t>(ErrorKind::count_)> kTable = {{
    {400, "Bad Request", "the request is not well formed", true, true, 0},
    {431, "Request Header Fields Too Large", "the head is too large", true, true, 0},
    {413, "Payload Too Large", "the body is too large", true, true, 0},
    {408, "Request Timeout", "the head took too long", true, true, 0},
    {404, "Not Found", "no route for this host and path", true, false, 0},
    {404, "Not Found", "no such call", true, false, 0},
    {405, "Method Not Allowed", "this call wants another method", true, false, 0},
    {400, "Bad Request", "the body is not the JSON this call wants", true, false, 0},
    {400, "Bad Request", "the configuration is invalid", true, false, 0},
    {412, "Precondition Failed", "another version is in place", true, false, 0},
    {503, "Service Unavailable", "too old to tell whether it was taken", false, false, 1000},
    {503, "Service Unavailable", "the version it builds on is not in place yet", false, false, 200},
    {503, "Service Unavailable", "no majority of the core answered", false, false, 200},
    {503, "Service Unavailable", "too few voters yet for the losses to be borne", true, false, 200},
    {503, "Service Unavailable", "this node has no configuration yet", true, false, 200},
    {503, "Service Unavailable", "no such route here, and this node may be behind", true, false,
     200},
    {503, "Service Unavailable", "no server can be reached", true, false, 150},
    {503, "Service Unavailable", "all servers are busy", true, false, 150},
    {503, "Service Unavailable", "no server came free in time", true, false, 100},
    {503, "Service Unavailable", "this node is stopping", true, true, 50},
    {502, "Bad Gateway", "the server broke off; the request may have run", false, false, 0},
    {504, "Gateway Timeout", "the deadline passed", false, false, 0},
    {400, "Bad Request", "not a message of this system", true, true, 0},
    {500, "Internal Server Error", "an error inside this node", false, true, 0},
}};
}  // namespace

const ErrorResponse& responseFor(ErrorKind kind) {
  return kTable.at(static_cast<std::size_t>(kind));
}

}  // namespace merlingauge
