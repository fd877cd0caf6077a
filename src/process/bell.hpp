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

#include "units.hpp"

namespace merlin::hut {

class Bell {
 public:
  using Ready = std::function<void(int mode)>;
  using Work = std::function<void()>;
  using TimerId = std::uint64_t;

  Bell();
  ~Bell();
  Bell(const Bell&) = delete;
  Bell& operator=(const Bell&) = delete;

  void watch(const Poco::Net::Socket& socket, int mode, Ready ready);
  void change(const Poco::Net::Socket& socket, int mode);
  void forget(const Poco::Net::Socket& socket);

  TimerId after(Span wait, Work work);
  void cancel(TimerId id);
  // Runs at the end of this turn of the loop.
  void later(Work work);
  // From any thread.
  void post(Work work);

  [[nodiscard]] Instant now() const { return now_; }
  static Instant clock();

  // For a signal handler: one byte written here ends the wait.
  [[nodiscard]] int wakeEnd() const { return wakeWrite_; }
  void eachTurn(Work work) { eachTurn_ = std::move(work); }

  void run();
  void stop() { running_ = false; }

 private:
  void runTimers();
  void runLater();
  void runPosted();

  struct Watched {
    Poco::Net::Socket socket;
    int mode = 0;
    std::shared_ptr<Ready> ready;
  };

  Poco::Net::PollSet poll_;
  std::unordered_map<Poco::Net::SocketImpl*, Watched> watched_;
  std::map<std::pair<Instant, TimerId>, Work> timers_;
  std::unordered_map<TimerId, Instant> timerAt_;
  TimerId nextTimer_ = 1;
  std::vector<Work> later_;
  std::mutex postLock_;
  std::vector<Work> posted_;
  int wakeWrite_ = -1;
  Poco::Net::StreamSocket wakeRead_;
  Instant now_;
  Work eachTurn_;
  bool running_ = false;
};

}  // namespace merlin::hut
