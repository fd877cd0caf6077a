#include "event/event_loop.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace merlingauge::event {

using Poco::Net::PollSet;

TimePoint EventLoop::readClock() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

EventLoop::EventLoop() : now_(readClock()) {
  std::array<int, 2> ends{};
  if (::pipe(ends.data()) != 0) throw std::runtime_error("no pipe for the loop");
  for (const int fd : ends) {
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  }
  wakeWrite_ = ends[1];
  // The socket object only carries the descriptor into the poll set.
  wakeRead_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(ends[0]));
  watch(wakeRead_, PollSet::POLL_READ, [fd = ends[0]](int) {
    std::array<char, 256> sink{};
    while (::read(fd, sink.data(), sink.size()) > 0) {
    }
  });
}

EventLoop::~EventLoop() { ::close(wakeWrite_); }

void EventLoop::watch(const Poco::Net::Socket& socket, int mode, ReadyCallback ready) {
  watched_[socket.impl()] =
      Watched{socket, mode, std::make_shared<ReadyCallback>(std::move(ready))};
  poll_.add(socket, mode);
}

void EventLoop::change(const Poco::Net::Socket& socket, int mode) {
  const auto it = watched_.find(socket.impl());
  if (it == watched_.end() || it->second.mode == mode) return;
  it->second.mode = mode;
  poll_.update(socket, mode);
}

void EventLoop::forget(const Poco::Net::Socket& socket) {
  const auto it = watched_.find(socket.impl());
  if (it == watched_.end()) return;
  poll_.remove(socket);
  watched_.erase(it);
}

EventLoop::TimerId EventLoop::after(Duration wait, Task work) {
  const TimerId id = nextTimer_++;
  const TimePoint at = now_ + std::max(wait, Duration(0));
  timers_.emplace(std::make_pair(at, id), std::move(work));
  timerDueTimes_.emplace(id, at);
  return id;
}

void EventLoop::cancel(TimerId id) {
  const auto it = timerDueTimes_.find(id);
  if (it == timerDueTimes_.end()) return;
  timers_.erase({it->second, id});
  timerDueTimes_.erase(it);
}

void EventLoop::defer(Task work) { deferred_.push_back(std::move(work)); }

void EventLoop::post(Task work) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> hold(postLock_);
    first = posted_.empty();
    posted_.push_back(std::move(work));
  }
  if (first) {
    const char byte = 1;
    // A full pipe already wakes the loop.
    [[maybe_unused]] const auto sent = ::write(wakeWrite_, &byte, 1);
  }
}

void EventLoop::runTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    const auto first = timers_.begin();
    Task work = std::move(first->second);
    timerDueTimes_.erase(first->first.second);
    timers_.erase(first);
    work();
  }
}

void EventLoop::runDeferred() {
  for (int rounds = 0; !deferred_.empty() && rounds < 8; ++rounds) {
    std::vector<Task> batch;
    batch.swap(deferred_);
    for (auto& work : batch) work();
  }
}

void EventLoop::runPosted() {
  std::vector<Task> batch;
  {
    const std::lock_guard<std::mutex> hold(postLock_);
    batch.swap(posted_);
  }
  for (auto& work : batch) work();
}

void EventLoop::run() {
  running_ = true;
  while (running_) {
    runDeferred();
    Duration wait = std::chrono::seconds(1);
    if (!deferred_.empty()) {
      wait = Duration(0);
    } else if (!timers_.empty()) {
      wait = std::clamp(timers_.begin()->first.first - readClock(), Duration(0), wait);
    }
    // PollSet waits in whole milliseconds, rounded down: round up, or the loop would spin.
    const auto millis = (wait.count() + 999) / 1000;
    auto ready = poll_.poll(Poco::Timespan(millis * 1000));
    now_ = readClock();
    if (turnHook_) turnHook_();
    for (auto& [socket, mode] : ready) {
      const auto it = watched_.find(socket.impl());
      if (it == watched_.end()) continue;
      const auto call = it->second.onReady;  // kept alive while it runs
      (*call)(mode);
    }
    runPosted();
    runTimers();
  }
  runDeferred();
}

}  // namespace merlingauge::event
