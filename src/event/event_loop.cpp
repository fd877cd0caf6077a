#include "event/event_loop.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace merlingauge::event {

using Poco::Net::PollSet;

namespace {
// Nothing depends on it: every timer, socket and posted task ends a wait earlier. It bounds how
// long a wake-up that got lost would go unnoticed.
constexpr Duration kMaxWait = std::chrono::seconds(1);
// Deferred tasks may defer more. After so many rounds sockets and timers get their turn first.
constexpr int kMaxDeferredRounds = 8;

void makeNonBlocking(int descriptor) {
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
}

void drain(int descriptor) {
  std::array<char, 256> bytes{};
  while (::read(descriptor, bytes.data(), bytes.size()) > 0) {
  }
}
}  // namespace

TimePoint EventLoop::readClock() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

EventLoop::EventLoop() : now_(readClock()) { openWakePipe(); }

EventLoop::~EventLoop() {
  // What a task holds may call back as it ends: while every member is still there, and with the
  // tasks no longer in them.
  while (!timers_.empty() || !deferred_.empty() || !posted_.empty()) {
    const auto timers = std::exchange(timers_, {});
    const auto deferred = std::exchange(deferred_, {});
    const auto posted = std::exchange(posted_, {});
    timerDueTimes_.clear();
  }
}

void EventLoop::openWakePipe() {
  std::array<int, 2> ends{};
  if (::pipe(ends.data()) != 0) throw std::runtime_error("no pipe for the event loop");
  FileDescriptor readEnd(ends[0]);
  wakeWriteEnd_ = FileDescriptor(ends[1]);
  for (const int end : ends) makeNonBlocking(end);
  // The socket object only carries the descriptor into the poll set.
  wakeReadEnd_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(readEnd.release()));
  watch(wakeReadEnd_, PollSet::POLL_READ, [end = ends[0]](int) { drain(end); });
}

void EventLoop::watch(const Poco::Net::Socket& socket, int mode, ReadyCallback ready) {
  auto callback = std::make_shared<ReadyCallback>(std::move(ready));
  watched_[socket.impl()] = WatchedSocket{socket, mode, std::move(callback)};
  pollSet_.add(socket, mode);
}

void EventLoop::change(const Poco::Net::Socket& socket, int mode) {
  const auto found = watched_.find(socket.impl());
  if (found == watched_.end() || found->second.mode == mode) return;
  found->second.mode = mode;
  pollSet_.update(socket, mode);
}

void EventLoop::forget(const Poco::Net::Socket& socket) {
  const auto found = watched_.find(socket.impl());
  if (found == watched_.end()) return;
  pollSet_.remove(socket);
  watched_.erase(found);
}

EventLoop::TimerId EventLoop::after(Duration wait, Task task) {
  const TimerId id = nextTimer_++;
  const TimePoint due = now_ + std::max(wait, Duration(0));
  timers_.emplace(std::make_pair(due, id), std::move(task));
  timerDueTimes_.emplace(id, due);
  return id;
}

void EventLoop::cancel(TimerId id) {
  const auto found = timerDueTimes_.find(id);
  if (found == timerDueTimes_.end()) return;
  // Ends last: what the task holds may cancel again as it ends.
  const auto timer = timers_.extract({found->second, id});
  timerDueTimes_.erase(found);
}

void EventLoop::defer(Task task) { deferred_.push_back(std::move(task)); }

void EventLoop::post(Task task) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(postedMutex_);
    first = posted_.empty();
    posted_.push_back(std::move(task));
  }
  if (!first) return;  // whoever posted before has woken the loop
  const char byte = 1;
  // A full pipe already wakes the loop.
  [[maybe_unused]] const auto written = ::write(wakeWriteEnd_.get(), &byte, 1);
}

void EventLoop::runTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    const auto first = timers_.begin();
    const Task task = std::move(first->second);
    timerDueTimes_.erase(first->first.second);
    timers_.erase(first);
    task();
  }
}

void EventLoop::runDeferred() {
  for (int rounds = 0; !deferred_.empty() && rounds < kMaxDeferredRounds; ++rounds) {
    const auto batch = std::exchange(deferred_, {});
    for (const auto& task : batch) task();
  }
}

void EventLoop::runPosted() {
  std::vector<Task> batch;
  {
    const std::lock_guard<std::mutex> lock(postedMutex_);
    batch.swap(posted_);
  }
  for (const auto& task : batch) task();
}

Duration EventLoop::waitForNextTimer() const {
  if (!deferred_.empty()) return Duration(0);
  if (timers_.empty()) return kMaxWait;
  return std::clamp(timers_.begin()->first.first - readClock(), Duration(0), kMaxWait);
}

void EventLoop::waitForSockets(Duration wait) {
  // PollSet waits in whole milliseconds, rounded down: round up, or the loop would spin.
  const auto waitMillis = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  auto ready = pollSet_.poll(Poco::Timespan(waitMillis * Poco::Timespan::MILLISECONDS));
  now_ = readClock();
  if (turnHook_) turnHook_();
  for (auto& [socket, mode] : ready) {
    const auto found = watched_.find(socket.impl());
    if (found == watched_.end()) continue;  // forgotten by a callback of this turn
    const auto onReady = found->second.onReady;
    (*onReady)(mode);
  }
}

void EventLoop::run() {
  running_ = true;
  while (running_) {
    runDeferred();
    waitForSockets(waitForNextTimer());
    runPosted();
    runTimers();
  }
  runDeferred();
}

}  // namespace merlingauge::event
