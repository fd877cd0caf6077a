// call: the client side of HTTP. A Call is one request to one address and its answer; Ropes keeps
// the connections between calls.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "connection/framing.hpp"
#include "connection/rope.hpp"

namespace merlin::saddle {

class Ropes;

class Call : public std::enable_shared_from_this<Call> {
 public:
  using Ptr = std::shared_ptr<Call>;
  enum class Failure : std::uint8_t {
    notSent,  // no connection came up: nothing has left this machine
    stale,    // a kept connection was closed before any answer: it may have been read
    unclear,  // sent, and no whole answer head came
    cut,      // the answer began and did not end
    junk,     // what came is no answer, or one to another request
  };

  std::function<void(Poco::Net::HTTPResponse&, const BodyPlan&)> onHead;
  std::function<void(std::string&)> onBody;  // takes what it wants from the front
  std::function<void()> onInterim;
  std::function<void()> onDone;
  std::function<void(Failure)> onFail;
  std::function<void()> onDrain;

  void body(std::string_view bytes);
  void bodyEnd();
  void cancel();
  void pause(bool on);
  [[nodiscard]] std::size_t unsent() const { return rope_ ? rope_->unsent() : 0; }
  // The connection is up, so bytes may have reached the other side.
  [[nodiscard]] bool maybeSent() const { return maybeSent_; }
  // How long the connection had lain idle before this call; negative for a new one.
  [[nodiscard]] Span idled() const { return idled_; }

 private:
  friend class Ropes;
  Call(Ropes& ropes, hut::Bell& bell, std::string key);
  void begin(Rope::Ptr rope, const Poco::Net::HTTPRequest& request, BodyKind kind, bool reused);
  void data();
  void ended(Rope::End end);
  void done();
  void fail(Failure failure);
  void release();

  Ropes& ropes_;
  hut::Bell& bell_;
  std::string key_;
  std::string attempt_;  // the answer must repeat it
  Rope::Ptr rope_;
  BodyKind kind_ = BodyKind::none;
  BodyReader reader_;
  std::string held_;
  bool toHead_ = false;
  bool reused_ = false;
  bool maybeSent_ = false;
  bool gotBytes_ = false;
  bool gotHead_ = false;
  bool sentAll_ = false;
  bool keep_ = true;
  bool over_ = false;
  int keepSeconds_ = -1;
  Span idled_{-1};
};

// Kept connections by address.
class Ropes {
 public:
  struct Config {
    Span connectLimit = std::chrono::milliseconds(800);
    Span keepIdle = std::chrono::seconds(20);
    std::size_t maxIdle = 64;
    int silentPeerMs = 0;  // after so long without a sign of the other kernel it ends; 0: as usual
  };
  Ropes(hut::Bell& bell, Config config) : bell_(bell), config_(config) {}

  // `freshness`: a kept connection idle for longer isn't used for this call, but gives way to a
  // new one. `life` is whom the connection belongs to: it serves nobody else at that address.
  Call::Ptr call(const Poco::Net::SocketAddress& to, const Poco::Net::HTTPRequest& request,
                 BodyKind kind, Span freshness, const std::string& life = "");
  [[nodiscard]] std::uint64_t dialled() const { return dialled_; }

 private:
  friend class Call;
  struct Kept {
    Rope::Ptr rope;
    Instant until;
  };
  void put(const std::string& key, const Rope::Ptr& rope, int keepSeconds);
  Rope::Ptr take(const std::string& key, Span freshness);
  void sweep();
  void planSweep();

  hut::Bell& bell_;
  Config config_;
  std::unordered_map<std::string, std::vector<Kept>> kept_;
  std::uint64_t dialled_ = 0;
  bool sweeping_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace merlin::saddle
