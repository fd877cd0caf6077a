// outlier_detector.hpp: ejects one instance while too many of its responses are failures.
#pragma once

#include "base/time.hpp"

namespace merlingauge::proxy {

/// Passive health check of one instance: ejected when its failure rate is too high, tried again by
/// a single request after a time that doubles with each ejection.
/// A state machine without a clock; event-loop thread only.
class OutlierDetector {
 public:
  /// A request goes there. The first after an ejection is the trial: it extends the ejection, so
  /// that nobody else goes there until the trial is over.
  void onRequestStarted(TimePoint now);
  /// How a response of the instance's own turned out: `success` is false for 5xx that mean a
  /// failure and for responses that broke off.
  void onResponse(bool success, TimePoint now);

  [[nodiscard]] bool isEjected(TimePoint now) const { return now < ejectedUntil_; }

 private:
  [[nodiscard]] bool onTrial() const { return ejectedUntil_ != TimePoint(); }
  void eject(TimePoint now);

  double failureRate_ = 0;  // 0 to 1, exponentially weighted towards the newest response
  int ejections_ = 0;       // since its responses were last all well
  TimePoint ejectedUntil_;  // the epoch: not ejected; in the past: a trial is due or under way
};

}  // namespace merlingauge::proxy
