// peer_monitor: tells a peer that rests from one that is gone, while output waits for it.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.hpp"

namespace merlingauge::http {

/// TCP_USER_TIMEOUT alone ends a connection also whose peer acknowledges every probe and only reads
/// nothing for a while: the kernel counts the time without progress, not without acknowledgements.
/// So the option is set to the time after which a silent peer is given up, and is raised as long as
/// acknowledgements come. That also keeps the kernel's window probes close together, which would
/// otherwise double their distance each time: the next one is sent no later than the time-out that
/// stands when a probe is acknowledged.
///
/// One object a connection, whose socket it shares. Event-loop thread only.
class PeerMonitor {
 public:
  /// `timeout`: a peer whose kernel has acknowledged nothing for so long is gone.
  PeerMonitor(const Poco::Net::StreamSocket& socket, std::chrono::milliseconds timeout);

  /// Sets the option on the socket, for the ordinary case that no check is made at all.
  void applyTimeout();

  enum class Verdict : std::uint8_t {
    idle,         ///< everything is acknowledged
    progressing,  ///< output waits, and some has been acknowledged since the last check
    resting,      ///< none has: the peer's window is closed, and its kernel still acknowledges
    waiting,      ///< none has: it is on its way, as far as this kernel knows
    gone,         ///< none has, and the peer's kernel is silent
    unknown,      ///< this kernel doesn't tell: the option alone decides
  };
  /// To be called for all output that is handed to the kernel.
  void onSent(std::size_t bytes) { sentBytes_ += static_cast<std::int64_t>(bytes); }
  /// There is output, and no check is due yet.
  void begin(TimePoint now);
  /// To be called firstCheckAfter() after begin(), and then every checkInterval() for as long as
  /// output waits.
  Verdict check(TimePoint now);
  [[nodiscard]] Duration firstCheckAfter() const { return timeout_ / kFirstCheckPart; }
  [[nodiscard]] Duration checkInterval() const { return timeout_ / kChecksPerTimeout; }
  /// When the peer last took something, as far as checks have seen.
  [[nodiscard]] TimePoint lastProgressAt() const { return stalledSince_; }

  /// Bytes that the peer's kernel has not acknowledged; nullopt where this kernel doesn't tell.
  [[nodiscard]] std::optional<std::size_t> unacknowledgedBytes() const;

 private:
  // Nearly all output is acknowledged before the first check.
  static constexpr int kFirstCheckPart = 4;
  static constexpr int kChecksPerTimeout = 16;

  /// What the kernel knows of the peer's acknowledgements.
  struct Acknowledgements {
    Duration age{};              ///< of the last one, whatever it acknowledged
    int unansweredAttempts = 0;  ///< probes of the window and retransmissions since
    bool windowClosed = false;   ///< output waits though nothing new may be on its way
  };
  [[nodiscard]] std::optional<Acknowledgements> readAcknowledgements() const;
  void noteAttempts(const Acknowledgements& acknowledgements, Duration sinceLastCheck);
  [[nodiscard]] bool isSilent(const Acknowledgements& acknowledgements, TimePoint now) const;
  void raiseTimeout(const Acknowledgements& acknowledgements, TimePoint now);
  void setUserTimeout(Duration timeout);

  Poco::Net::StreamSocket socket_;
  Duration timeout_;
  std::int64_t sentBytes_ = 0;                     // since the connection came up
  std::optional<std::int64_t> acknowledgedBytes_;  // of them, at the last check
  TimePoint checkedAt_;
  TimePoint stalledSince_;               // no later than the last progress
  std::optional<TimePoint> restsSince_;  // when its peer first rested; before the kernel's count
  int silentChecks_ = 0;                 // in a row
  int attempts_ = 0;                     // unanswered ones, at the last check
  bool answerIsOwed_ = false;            // to an attempt that a live kernel would have answered
};

}  // namespace merlingauge::http
