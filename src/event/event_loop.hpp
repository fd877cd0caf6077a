// event_loop: the one event loop of a process: sockets that are ready, timers, and tasks handed in
// by other threads.
#pragma once

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/file_descriptor.hpp"
#include "base/time.hpp"

namespace merlingauge::event {

/// Lives as long as the process and outlives everything that refers to it. Everything but post(),
/// readClock() and wakeDescriptor() belongs to the thread that calls run(), the event-loop thread.
///
/// One turn: deferred tasks, wait for sockets or the next timer, the turn hook, the callbacks of
/// ready sockets, posted tasks, timers that are due. A callback is released before or after it
/// runs, never while it runs.
class EventLoop {
 public:
  /// Called with the Poco::Net::PollSet modes that are ready.
  using ReadyCallback = std::function<void(int mode)>;
  using Task = std::function<void()>;
  /// Never 0, and never used twice.
  using TimerId = std::uint64_t;

  /// Throws std::runtime_error where the process has no descriptors left for its wake-up pipe.
  EventLoop();
  /// Drops the tasks that wait, without running them, while the loop can still be referred to.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Calls `ready` whenever `socket` is ready for one of the PollSet modes in `mode`, until
  /// forget(). The loop holds the socket and the callback until then.
  void watch(const Poco::Net::Socket& socket, int mode, ReadyCallback ready);
  /// Other modes for a watched socket; nothing happens for another one.
  void change(const Poco::Net::Socket& socket, int mode);
  /// Ends watch(); a socket must be forgotten before it is closed.
  void forget(const Poco::Net::Socket& socket);

  /// Runs `task` once, `wait` from the beginning of this turn. event::Timer owns such a timer.
  TimerId after(Duration wait, Task task);
  /// Drops a timer's task; nothing happens where it has run already.
  void cancel(TimerId id);
  /// Runs `task` between this turn of the loop and the next, when no callback is running.
  void defer(Task task);
  /// Runs `task` on the event-loop thread. May be called from any thread.
  void post(Task task);

  /// The steady clock as read at the beginning of this turn.
  [[nodiscard]] TimePoint now() const { return now_; }
  /// The steady clock of the machine. Any thread.
  static TimePoint readClock();

  /// For a signal handler: one byte written here ends the wait. Owned by the loop.
  [[nodiscard]] int wakeDescriptor() const { return wakeWriteEnd_.get(); }
  /// `task` runs once a turn, before anything else of it.
  void setTurnHook(Task task) { turnHook_ = std::move(task); }

  /// Turns until stop(), then runs what is deferred.
  void run();
  /// Ends run() after this turn.
  void stop() { running_ = false; }

 private:
  struct WatchedSocket {
    Poco::Net::Socket socket;
    int mode = 0;
    std::shared_ptr<ReadyCallback> onReady;  // shared with a call that is running
  };

  void openWakePipe();
  [[nodiscard]] Duration waitForNextTimer() const;
  void waitForSockets(Duration wait);
  void runTimers();
  void runDeferred();
  void runPosted();

  Poco::Net::PollSet pollSet_;
  std::unordered_map<Poco::Net::SocketImpl*, WatchedSocket> watched_;
  std::map<std::pair<TimePoint, TimerId>, Task> timers_;  // in the order they are due
  std::unordered_map<TimerId, TimePoint> timerDueTimes_;  // the same timers by id
  TimerId nextTimer_ = 1;
  std::vector<Task> deferred_;
  std::mutex postedMutex_;
  std::vector<Task> posted_;  // guarded by postedMutex_
  FileDescriptor wakeWriteEnd_;
  Poco::Net::StreamSocket wakeReadEnd_;  // a pipe's end; the socket object owns it
  TimePoint now_;
  Task turnHook_;
  bool running_ = false;
};

}  // namespace merlingauge::event
