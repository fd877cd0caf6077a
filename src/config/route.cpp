#include "config/route.hpp"

namespace merlingauge::config {

const ServiceName& Route::pickService(double draw) const {
  double sum = 0;
  for (const auto& share : trafficSplit) sum += share.weight;
  double remaining = draw * sum;
  for (const auto& share : trafficSplit) {
    remaining -= share.weight;
    if (remaining < 0) return share.service;
  }
  return trafficSplit.back().service;
}

}  // namespace merlingauge::config
