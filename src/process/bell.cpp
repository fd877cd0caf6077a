#include "process/bell.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace merlin::hut {

using Poco::Net::PollSet;

Instant Bell::clock() {
  return Instant(
      std::chrono::duration_cast<Span>(std::chrono::steady_clock::now().time_since_epoch()));
}

Bell::Bell() : now_(clock()) {
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

Bell::~Bell() { ::close(wakeWrite_); }

void Bell::watch(const Poco::Net::Socket& socket, int mode, Ready ready) {
  watched_[socket.impl()] = Watched{socket, mode, std::make_shared<Ready>(std::move(ready))};
  poll_.add(socket, mode);
}

void Bell::change(const Poco::Net::Socket& socket, int mode) {
  const auto it = watched_.find(socket.impl());
  if (it == watched_.end() || it->second.mode == mode) return;
  it->second.mode = mode;
  poll_.update(socket, mode);
}

void Bell::forget(const Poco::Net::Socket& socket) {
  const auto it = watched_.find(socket.impl());
  if (it == watched_.end()) return;
  poll_.remove(socket);
  watched_.erase(it);
}

Bell::TimerId Bell::after(Span wait, Work work) {
  const TimerId id = nextTimer_++;
  const Instant at = now_ + std::max(wait, Span(0));
  timers_.emplace(std::make_pair(at, id), std::move(work));
  timerAt_.emplace(id, at);
  return id;
}

void Bell::cancel(TimerId id) {
  const auto it = timerAt_.find(id);
  if (it == timerAt_.end()) return;
  timers_.erase({it->second, id});
  timerAt_.erase(it);
}

void Bell::later(Work work) { later_.push_back(std::move(work)); }

void Bell::post(Work work) {
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

void Bell::runTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    const auto first = timers_.begin();
    Work work = std::move(first->second);
    timerAt_.erase(first->first.second);
    timers_.erase(first);
    work();
  }
}

void Bell::runLater() {
  for (int rounds = 0; !later_.empty() && rounds < 8; ++rounds) {
    std::vector<Work> batch;
    batch.swap(later_);
    for (auto& work : batch) work();
  }
}

void Bell::runPosted() {
  std::vector<Work> batch;
  {
    const std::lock_guard<std::mutex> hold(postLock_);
    batch.swap(posted_);
  }
  for (auto& work : batch) work();
}

void Bell::run() {
  running_ = true;
  while (running_) {
    runLater();
    Span wait = std::chrono::seconds(1);
    if (!later_.empty()) {
      wait = Span(0);
    } else if (!timers_.empty()) {
      wait = std::clamp(timers_.begin()->first.first - clock(), Span(0), wait);
    }
    // PollSet waits in whole milliseconds, rounded down: round up, or the loop would spin.
    const auto millis = (wait.count() + 999) / 1000;
    auto ready = poll_.poll(Poco::Timespan(millis * 1000));
    now_ = clock();
    if (eachTurn_) eachTurn_();
    for (auto& [socket, mode] : ready) {
      const auto it = watched_.find(socket.impl());
      if (it == watched_.end()) continue;
      const auto call = it->second.ready;  // kept alive while it runs
      (*call)(mode);
    }
    runPosted();
    runTimers();
  }
  runLater();
}

}  // namespace merlin::hut
