// timer: one timer of an event loop that ends with its owner.
#pragma once

#include <utility>

#include "event/event_loop.hpp"

namespace merlingauge::event {

/// At most one task waits in it. Cancels that task at the end of its life, so the task may refer to
/// the owner of the timer. Event-loop thread; the loop must outlive it.
class Timer {
 public:
  explicit Timer(EventLoop& loop) : loop_(loop) {}
  ~Timer() { cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Runs `task` once, `wait` from now, in place of a task that waits already.
  void start(Duration wait, EventLoop::Task task) {
    cancel();
    id_ = loop_.after(wait, std::move(task));
  }
  /// Nothing happens where the task has run or was never set.
  void cancel() { loop_.cancel(id_); }

 private:
  EventLoop& loop_;
  EventLoop::TimerId id_ = 0;  // 0 is no timer; ids are never used again
};

}  // namespace merlingauge::event
