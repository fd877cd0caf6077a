// rope: one TCP connection on the loop, non-blocking, with an output buffer that is flushed once
// a turn and a reader that can be paused.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "process/bell.hpp"
#include "units.hpp"

namespace merlin::saddle {

class Rope : public std::enable_shared_from_this<Rope> {
 public:
  using Ptr = std::shared_ptr<Rope>;
  enum class End : std::uint8_t { closed, reset, connectFailed };

  static Ptr dial(hut::Bell& bell, const Poco::Net::SocketAddress& to, Span connectLimit,
                  int silentPeerMs = 0);
  static Ptr take(hut::Bell& bell, const Poco::Net::StreamSocket& socket);
  ~Rope();

  std::function<void()> onOpen;
  std::function<void()> onData;   // new bytes in `in`
  std::function<void()> onDrain;  // all that was written has left
  std::function<void(End)> onEnd;
  std::string in;

  void write(std::string_view bytes);
  void finish();  // close once everything is flushed; nothing more is read for the owner
  void drop();    // close now
  void read(bool on);
  // Looks at the socket itself: is it still quiet and open?
  [[nodiscard]] bool quiet();
  // Looks at the socket itself: has the other side closed behind what it sent?
  [[nodiscard]] bool closedByPeer();

  [[nodiscard]] bool opened() const { return state_ == State::open; }
  [[nodiscard]] bool gone() const { return state_ == State::gone; }
  [[nodiscard]] std::size_t unsent() const { return out_.size() - sent_; }

  Instant idleSince;
  int served = 0;

 private:
  enum class State : std::uint8_t { dialling, open, finishing, gone };
  Rope(hut::Bell& bell, const Poco::Net::StreamSocket& socket, State state);
  void join(int silentPeerMs);
  void ready(int mode);
  void readSome();
  void flush();
  void scheduleFlush();
  void setMode();
  void ended(End end);
  void releaseCallbacks();

  hut::Bell& bell_;
  Poco::Net::StreamSocket socket_;
  State state_;
  std::string out_;
  std::size_t sent_ = 0;
  bool reading_ = true;
  bool flushPlanned_ = false;
  bool shut_ = false;
  hut::Bell::TimerId timer_ = 0;
};

}  // namespace merlin::saddle
