// wire: the messages in flight. A lost message is one that is never delivered.
#pragma once

#include "simulation/explorer/scope.hpp"
#include "simulation/explorer/state.hpp"

namespace merlingauge::test::explorer {

class Wire {
 public:
  Wire(const Scope& scope, const PartEditor& editor) : scope_(scope), editor_(editor) {}

  /// Names the message, and sets its hash.
  void send(State& state, Message message) const;

 private:
  [[nodiscard]] std::string nameOf(const Message& message) const;

  const Scope& scope_;
  const PartEditor& editor_;
};

}  // namespace merlingauge::test::explorer
