// register_observer.hpp: who is notified of newly committed values.
#pragma once

#include "consensus/register_value.hpp"

namespace merlingauge::control {

/// Implemented by the owner of a RegisterService, which must outlive it.
class RegisterObserver {
 public:
  RegisterObserver() = default;
  virtual ~RegisterObserver() = default;
  RegisterObserver(const RegisterObserver&) = delete;
  RegisterObserver& operator=(const RegisterObserver&) = delete;
  RegisterObserver(RegisterObserver&&) = delete;
  RegisterObserver& operator=(RegisterObserver&&) = delete;

  /// This node has learned a newer committed value. Called on the event-loop thread, once a value,
  /// with rising sequences; some sequences may be skipped.
  virtual void onCommitted(const consensus::RegisterValue& value) = 0;
};

}  // namespace merlingauge::control
