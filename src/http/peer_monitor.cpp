#include "http/peer_monitor.hpp"

#include <Poco/Exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace merlingauge::http {

namespace {
// For a peer that rests the option stands by this part of the time-out above the time that it rests
// already. So the kernel's probes are no further apart, and two have gone out by the end of the
// time-out.
constexpr double kRestingTimeoutPart = 0.4;
// What is on its way at one check is answered by the next.
constexpr int kSilentChecksOfGone = 2;
// A kernel answers probes of a closed window no more often than this (Linux:
// tcp_invalid_ratelimit).
constexpr Duration kProbeAnswerInterval = std::chrono::milliseconds(500);
}  // namespace

PeerMonitor::PeerMonitor(const Poco::Net::StreamSocket& socket, std::chrono::milliseconds timeout)
    : socket_(socket), timeout_(timeout) {}

void PeerMonitor::applyTimeout() { setUserTimeout(timeout_); }

void PeerMonitor::begin(TimePoint now) {
  checkedAt_ = now;
  stalledSince_ = now;
  silentChecks_ = 0;
  attempts_ = 0;
  answerIsOwed_ = false;
  acknowledgedBytes_.reset();
  if (restsSince_) setUserTimeout(now - *restsSince_ + timeout_);
}

PeerMonitor::Verdict PeerMonitor::check(TimePoint now) {
  const auto unacknowledged = unacknowledgedBytes();
  if (!unacknowledged) return Verdict::unknown;
  if (*unacknowledged == 0) return Verdict::idle;
  const auto acknowledgements = readAcknowledgements();
  if (!acknowledgements) return Verdict::unknown;
  const TimePoint lastCheckAt = std::exchange(checkedAt_, now);
  const auto acknowledged = sentBytes_ - static_cast<std::int64_t>(*unacknowledged);
  const auto before = std::exchange(acknowledgedBytes_, acknowledged);
  const bool progresses = before && *before != acknowledged;
  if (progresses) stalledSince_ = lastCheckAt;
  noteAttempts(*acknowledgements, now - lastCheckAt);
  silentChecks_ = isSilent(*acknowledgements, now) ? silentChecks_ + 1 : 0;
  if (silentChecks_ >= kSilentChecksOfGone) return Verdict::gone;
  raiseTimeout(*acknowledgements, now);
  if (progresses) return Verdict::progressing;
  return acknowledgements->windowClosed ? Verdict::resting : Verdict::waiting;
}

// The kernel counts from the first probe of a closed window, and at times goes on with that count
// after the window was open again. So the first rest of a connection counts for all later ones.
void PeerMonitor::raiseTimeout(const Acknowledgements& acknowledgements, TimePoint now) {
  const Duration margin = fromSeconds(toSeconds(timeout_) * kRestingTimeoutPart);
  if (!restsSince_) {
    const Duration stalledFor = now - stalledSince_;
    // Without an acknowledgement since the stall began nothing proves that the peer only rests.
    if (!acknowledgements.windowClosed || acknowledgements.age >= stalledFor) return;
    if (stalledFor + margin <= timeout_) return;
    restsSince_ = stalledSince_;
  }
  setUserTimeout(std::max(now - *restsSince_ + margin, timeout_));
}

// A live kernel may leave an attempt unanswered that follows its last answer too closely; any later
// one it answers.
void PeerMonitor::noteAttempts(const Acknowledgements& acknowledgements, Duration sinceLastCheck) {
  if (acknowledgements.age < kProbeAnswerInterval) answerIsOwed_ = false;
  const bool isNewAttempt = acknowledgements.unansweredAttempts > attempts_;
  attempts_ = acknowledgements.unansweredAttempts;
  // At the latest it was sent right after the last check.
  const Duration silentBefore = acknowledgements.age - sinceLastCheck;
  if (isNewAttempt && silentBefore >= kProbeAnswerInterval) answerIsOwed_ = true;
}

bool PeerMonitor::isSilent(const Acknowledgements& acknowledgements, TimePoint now) const {
  const Duration limit = timeout_ - kSilentChecksOfGone * checkInterval();
  return answerIsOwed_ && acknowledgements.age >= limit && now - stalledSince_ >= limit;
}

std::optional<std::size_t> PeerMonitor::unacknowledgedBytes() const {
  int bytes = 0;
  if (::ioctl(socket_.impl()->sockfd(), TIOCOUTQ, &bytes) != 0) {  // NOLINT(*-vararg)
    return std::nullopt;
  }
  return static_cast<std::size_t>(std::max(bytes, 0));
}

std::optional<PeerMonitor::Acknowledgements> PeerMonitor::readAcknowledgements() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket_.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  // A kernel that fills nothing in tells no state.
  if (size < sizeof info || info.tcpi_state == 0) return std::nullopt;
  return Acknowledgements{std::chrono::milliseconds(info.tcpi_last_ack_recv),
                          info.tcpi_probes + info.tcpi_retransmits,
                          info.tcpi_unacked == 0 || info.tcpi_retransmits > 0};
}

void PeerMonitor::setUserTimeout(Duration timeout) {
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
  try {
    socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(millis));
  } catch (const Poco::Exception&) {
    // Without it the connection is slower to notice a peer that is gone, not wrong.
  }
}

}  // namespace merlingauge::http
