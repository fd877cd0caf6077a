#include "cli/control_output.hpp"

#include <Poco/Net/HTTPResponse.h>

#include <iostream>

namespace merlingauge::cli {

bool succeeded(const ControlResult& result) {
  const auto* response = std::get_if<ControlResponse>(&result);
  return response != nullptr && response->status == Poco::Net::HTTPResponse::HTTP_OK;
}

void printResult(const ControlResult& result) {
  if (const auto* failure = std::get_if<ControlFailure>(&result)) {
    std::cerr << "merlingauge: " << failure->reason << "\n";
    return;
  }
  auto& out = succeeded(result) ? std::cout : std::cerr;
  out << std::get<ControlResponse>(result).body << "\n";
}

}  // namespace merlingauge::cli
