// ids: strong types for identifiers and versions, so that one kind is never mistaken for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace merlingauge {

/// A text identifier whose kind is part of its type: a NodeId does not convert to a ZoneName.
template <class Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : text_(std::move(text)) {}
  [[nodiscard]] const std::string& str() const { return text_; }
  [[nodiscard]] bool empty() const { return text_.empty(); }
  auto operator<=>(const StrongId&) const = default;

 private:
  std::string text_;
};

using NodeId = StrongId<struct NodeTag>;          ///< a machine's IP address, without a port
using InstanceId = StrongId<struct InstanceTag>;  ///< one run of one server, from start to end
using ServiceName = StrongId<struct ServiceTag>;
using ZoneName = StrongId<struct ZoneTag>;

/// The number that an operator gives a configuration. It rises with every change.
struct Revision {
  std::int64_t value = 0;
  auto operator<=>(const Revision&) const = default;
};

/// One run of a process, or of an acceptor from one loss of its disk to the next.
struct Incarnation {
  std::uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;
};

}  // namespace merlingauge

template <class Tag>
struct std::hash<merlingauge::StrongId<Tag>> {
  std::size_t operator()(const merlingauge::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};
