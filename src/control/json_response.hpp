// json_response.hpp: the successful answer of the control API.
#pragma once

#include <string_view>

#include "http/server_connection.hpp"

namespace merlingauge::control {

/// 200 with a JSON document.
inline void respondWithJson(const http::ServerExchange::Ptr& exchange, std::string_view document) {
  exchange->respond(200, "OK", document, "application/json");
}

}  // namespace merlingauge::control
