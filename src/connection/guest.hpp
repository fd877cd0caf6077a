// guest: the server side of HTTP. One Guest is one connection of a caller, one Visit one request
// on it and its answer. Requests that come before earlier ones are answered may run at once, if
// whoever serves them allows it; answers keep the order of the requests.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "connection/framing.hpp"
#include "connection/rope.hpp"
#include "errors.hpp"

namespace merlin::saddle {

struct GuestLimits {
  std::size_t headBytes = 16384;
  std::uint64_t bodyBytes = 64ULL << 20;
  Span headerTime = std::chrono::seconds(5);
  Span idleTime = std::chrono::seconds(60);
};

class Guest;

class Visit : public std::enable_shared_from_this<Visit> {
 public:
  using Ptr = std::shared_ptr<Visit>;
  using Extra = std::vector<std::pair<std::string, std::string>>;

  Poco::Net::HTTPRequest request;
  BodyPlan plan;
  Instant began;
  std::string body;       // received, not yet taken by the owner
  bool bodyDone = false;  // the whole body has come

  std::function<void()> onBody;  // more body, or its end
  std::function<void()> onGone;  // the caller left before the answer was whole
  std::function<void()> onDrain;

  // A streamed answer: head, pieces, end. `cut` ends it so that it can't look whole.
  void head(Poco::Net::HTTPResponse& response, const BodyPlan& answerPlan);
  void piece(std::string_view bytes);
  void end();
  void cut();
  // An answer in one go.
  void answer(int status, const std::string& reason, std::string_view text, const std::string& type,
              const Extra& extra = {});
  void fail(ErrorKind kind, const std::string& detail = "", const Extra& extra = {});
  // An interim answer: taken, and being worked on.
  void processing();
  // The caller has closed its connection, and the loop hasn't come to it yet. A process that stood
  // still finds the request and its end in the socket together.
  [[nodiscard]] bool abandoned() const;
  void takenBody(std::size_t held);  // back-pressure: the owner still holds this much

  [[nodiscard]] bool headSent() const { return headSent_; }
  [[nodiscard]] bool over() const { return over_; }
  [[nodiscard]] std::size_t unsent() const;

 private:
  friend class Guest;
  void write(std::string_view bytes);
  std::weak_ptr<Guest> guest_;
  std::string ahead_;     // written before it is this answer's turn
  bool started_ = false;  // handed to whoever serves it
  bool cut_ = false;
  BodyPlan answerPlan_;
  bool headSent_ = false;
  bool over_ = false;
  bool closeAfter_ = false;
  bool toHead_ = false;
};

// What all guests of one listener share.
struct Reception {
  GuestLimits limits;
  bool closing = false;  // answers carry Connection: close
  std::function<void(const Visit::Ptr&)> onVisit;
  std::function<void(ErrorKind)> onRefused;
  // May this one run before those ahead of it on its connection are answered? Unset: never.
  std::function<bool(const Visit&)> mayRunAhead;
  int visits = 0;  // being served now
};

class Guest : public std::enable_shared_from_this<Guest> {
 public:
  using Ptr = std::shared_ptr<Guest>;
  Guest(hut::Bell& bell, Rope::Ptr rope, std::shared_ptr<Reception> reception);
  void start(std::function<void()> onGone);
  void drop();
  [[nodiscard]] bool idle() const { return visits_.empty() && rope_->in.empty(); }

 private:
  friend class Visit;
  void advance();
  bool beginVisit();
  void feedBody();
  void refuse(ErrorKind kind);
  void visitOver();
  void abandonVisits();
  void begun(const Visit::Ptr& visit);
  [[nodiscard]] bool isFront(const Visit* visit) const;
  [[nodiscard]] bool mayReadOn() const;
  void armTimer(Span wait, bool inHead);
  void ended();

  hut::Bell& bell_;
  Rope::Ptr rope_;
  std::shared_ptr<Reception> reception_;
  std::deque<Visit::Ptr> visits_;  // in the order of their requests; the last may still be coming
  BodyReader reader_;
  std::uint64_t bodySeen_ = 0;
  std::function<void()> onGone_;
  hut::Bell::TimerId timer_ = 0;
  bool inHead_ = false;
  bool advancing_ = false;
  bool over_ = false;
};

// A listening socket with its guests.
class Door {
 public:
  Door(hut::Bell& bell, const Poco::Net::SocketAddress& at, std::size_t maxGuests);
  ~Door();
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;
  std::shared_ptr<Reception> reception = std::make_shared<Reception>();
  void closeIdle();
  void shut();  // no new connections
  [[nodiscard]] std::size_t guests() const { return guests_.size(); }

 private:
  void arrivals();
  hut::Bell& bell_;
  Poco::Net::ServerSocket socket_;
  std::size_t maxGuests_;
  std::map<Guest*, Guest::Ptr> guests_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool open_ = true;
};

}  // namespace merlin::saddle
