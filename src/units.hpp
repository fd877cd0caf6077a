// Small types for ids, versions and times, shared by every part.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace merlin {

// The steady clock as the state machines see it. They never read it: the loop and the test runner
// hand it in.
struct Steady {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Steady>;
  static constexpr bool is_steady = true;
};

using Span = Steady::duration;
using Instant = Steady::time_point;

inline Span fromSeconds(double s) { return Span(static_cast<std::int64_t>(s * 1e6)); }
inline Span fromMillis(double ms) { return Span(static_cast<std::int64_t>(ms * 1e3)); }
inline double toSeconds(Span s) { return static_cast<double>(s.count()) / 1e6; }
inline double toMillis(Span s) { return static_cast<double>(s.count()) / 1e3; }

// A name that can't be mistaken for a name of another kind.
template <class Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string text) : text_(std::move(text)) {}
  [[nodiscard]] const std::string& str() const { return text_; }
  [[nodiscard]] bool empty() const { return text_.empty(); }
  auto operator<=>(const Name&) const = default;

 private:
  std::string text_;
};

using NodeId = Name<struct NodeTag>;          // a machine's address, without a port
using InstanceId = Name<struct InstanceTag>;  // one life of one server
using ServiceName = Name<struct ServiceTag>;
using ZoneName = Name<struct ZoneTag>;

struct Revision {
  std::int64_t value = 0;
  auto operator<=>(const Revision&) const = default;
};

// One life of a process or of a voter's disk.
struct Life {
  std::uint64_t value = 0;
  auto operator<=>(const Life&) const = default;
};

// How far one source has come.
struct Version {
  Life life;
  std::uint64_t count = 0;
  auto operator<=>(const Version&) const = default;
};

// 64-bit FNV-1a with a final mix; used for rendezvous hashing and for digests over versions.
inline std::uint64_t mixHash(const std::string& text, std::uint64_t seed = 0) {
  std::uint64_t h = 1469598103934665603ULL ^ seed;
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211ULL;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  return h ^ (h >> 33);
}

}  // namespace merlin

template <class Tag>
struct std::hash<merlin::Name<Tag>> {
  std::size_t operator()(const merlin::Name<Tag>& n) const {
    return std::hash<std::string>()(n.str());
  }
};
