// bell: the one loop of a process. Sockets by Poco's PollSet, timers, and work handed in by
// other threads. Everything but `post` belongs to the loop's own thread.
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
#include <vector>

#include "base/time.hpp"

namespace merlingauge::event {

class EventLoop {
 public:
  using ReadyCallback = std::function<void(int mode)>;
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void watch(const Poco::Net::Socket& socket, int mode, ReadyCallback ready);
  void change(const Poco::Net::Socket& socket, int mode);
  void forget(const Poco::Net::Socket& socket);

  TimerId after(Duration wait, Task work);
  void cancel(TimerId id);
  // Runs at the end of this turn of the loop.
  void defer(Task work);
  // From any thread.
  void post(Task work);

  [[nodiscard]] TimePoint now() const { return now_; }
  static TimePoint readClock();

  // For a signal handler: one byte written here ends the wait.
  [[nodiscard]] int wakeDescriptor() const { return wakeWrite_; }
  void setTurnHook(Task work) { turnHook_ = std::move(work); }

  void run();
  void stop() { running_ = false; }

 private:
  void runTimers();
  void runDeferred();
  void runPosted();

  struct Watched {
    Poco::Net::Socket socket;
    int mode = 0;
    std::shared_ptr<ReadyCallback> onReady;
  };

  Poco::Net::PollSet poll_;
  std::unordered_map<Poco::Net::SocketImpl*, Watched> watched_;
  std::map<std::pair<TimePoint, TimerId>, Task> timers_;
  std::unordered_map<TimerId, TimePoint> timerDueTimes_;
  TimerId nextTimer_ = 1;
  std::vector<Task> deferred_;
  std::mutex postLock_;
  std::vector<Task> posted_;
  int wakeWrite_ = -1;
  Poco::Net::StreamSocket wakeRead_;
  TimePoint now_;
  Task turnHook_;
  bool running_ = false;
};

}  // namespace merlingauge::event
