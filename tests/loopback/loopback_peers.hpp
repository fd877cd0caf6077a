// The stage for tests of the path over real sockets: plain TCP ends that can freeze, reset and half
// close, honest stand-in servers, a link in the middle that can act at every step of a request, and
// callers. All of it runs on the loop of the code under test.
#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "event/event_loop.hpp"

namespace merlingauge::test {

using event::EventLoop;
using Poco::Net::PollSet;
using Poco::Net::SocketAddress;

// One end of a connection, without any of the program's own care.
class Plug : public std::enable_shared_from_this<Plug> {
 public:
  using Ptr = std::shared_ptr<Plug>;
  enum class End : std::uint8_t { closed, reset };
  std::function<void()> onData;
  std::function<void(End)> onEnd;
  std::string in;

  static Ptr take(EventLoop& loop, const Poco::Net::StreamSocket& socket) {
    Ptr plug(new Plug(loop, socket));
    plug->socket_.setBlocking(false);
    plug->socket_.setNoDelay(true);
    plug->watch();
    return plug;
  }
  // Null where nobody listens. The kernel answers for whoever listens, so this doesn't wait.
  static Ptr dial(EventLoop& loop, const SocketAddress& to) {
    try {
      return take(loop, Poco::Net::StreamSocket(to));
    } catch (const Poco::Exception&) {
      return nullptr;
    }
  }
  ~Plug() { reset(); }

  void write(std::string_view bytes) {
    if (gone_ || shut_) return;
    out_.append(bytes);
    flush();
  }
  // Neither reads nor writes; the kernel goes on taking bytes for it.
  void freeze(bool on) {
    if (gone_ || frozen_ == on) return;
    frozen_ = on;
    if (on) {
      bell_.forget(socket_);
    } else {
      watch();
      flush();
    }
  }
  void halfClose() {
    if (gone_ || shut_) return;
    shut_ = true;
    flush();
  }
  void close() {
    if (gone_) return;
    leave();
    socket_.close();
  }
  void reset() {
    if (gone_) return;
    leave();
    try {
      socket_.setLinger(true, 0);
    } catch (const Poco::Exception&) {
      // The other side was first.
    }
    socket_.close();
  }
  [[nodiscard]] bool gone() const { return gone_; }

 private:
  Plug(EventLoop& loop, const Poco::Net::StreamSocket& socket) : bell_(loop), socket_(socket) {}
  void watch() {
    bell_.watch(socket_, mode(), [weak = weak_from_this()](int) {
      if (const auto self = weak.lock()) self->ready();
    });
  }
  [[nodiscard]] int mode() const {
    return (ended_ ? 0 : PollSet::POLL_READ) | (out_.empty() ? 0 : PollSet::POLL_WRITE);
  }
  void leave() {
    gone_ = true;
    if (!frozen_) bell_.forget(socket_);
    onData = nullptr;
    onEnd = nullptr;
  }
  void flush() {
    if (gone_ || frozen_) return;
    while (!out_.empty()) {
      const auto sent =
          ::send(socket_.impl()->sockfd(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0) break;
      out_.erase(0, static_cast<std::size_t>(sent));
    }
    if (out_.empty() && shut_ && !finSent_) {
      finSent_ = true;
      ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
    }
    bell_.change(socket_, mode());
  }
  void ready() {
    const auto hold = shared_from_this();
    flush();
    std::array<char, 65536> chunk{};
    while (!gone_ && !frozen_ && !ended_) {
      const auto got = ::recv(socket_.impl()->sockfd(), chunk.data(), chunk.size(), MSG_DONTWAIT);
      if (got > 0) {
        in.append(chunk.data(), static_cast<std::size_t>(got));
        if (const auto tell = onData) tell();  // a copy: it may end this plug
        continue;
      }
      if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
      ended_ = true;
      const auto tell = onEnd;
      if (got < 0) {
        close();
      } else {
        bell_.change(socket_, mode());
      }
      if (tell) tell(got == 0 ? End::closed : End::reset);
    }
  }

  EventLoop& bell_;
  Poco::Net::StreamSocket socket_;
  std::string out_;
  bool frozen_ = false;
  bool shut_ = false;
  bool finSent_ = false;
  bool ended_ = false;
  bool gone_ = false;
};

// A listening address.
class Ear {
 public:
  Ear(EventLoop& loop, SocketAddress at, std::function<void(const Plug::Ptr&)> arrived)
      : bell_(loop), at_(std::move(at)), arrived_(std::move(arrived)) {
    open();
  }
  ~Ear() { close(); }
  Ear(const Ear&) = delete;
  Ear& operator=(const Ear&) = delete;
  void open() {
    if (open_) return;
    open_ = true;
    socket_ = Poco::Net::ServerSocket();
    socket_.bind(at_, true, false);
    socket_.listen(64);
    socket_.setBlocking(false);
    freeze(false);
  }
  void close() {
    if (!open_) return;
    open_ = false;
    bell_.forget(socket_);
    socket_.close();
  }
  // The kernel goes on taking connections.
  void freeze(bool on) {
    if (!open_) return;
    if (on) {
      bell_.forget(socket_);
      return;
    }
    bell_.watch(socket_, PollSet::POLL_READ, [this](int) {
      try {
        arrived_(Plug::take(bell_, socket_.acceptConnection()));
      } catch (const Poco::Exception&) {
        // It left again before it was taken.
      }
    });
  }

 private:
  EventLoop& bell_;
  SocketAddress at_;
  std::function<void(const Plug::Ptr&)> arrived_;
  Poco::Net::ServerSocket socket_;
  bool open_ = false;
};

// ---- Messages, as plainly as the stage needs them: all bodies have a length.

struct Head {
  std::size_t size = 0;
  std::size_t body = 0;
  int status = 0;  // 0: a request
  std::string id;
  bool refusal = false;  // a proof that it has not run
};

inline std::string field(std::string_view head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string_view::npos) return "";
  const auto from = at + name.size() + 4;
  return std::string(head.substr(from, head.find("\r\n", from) - from));
}

inline std::optional<Head> headOf(const std::string& in) {
  const auto end = in.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  const auto text = std::string_view(in).substr(0, end + 2);
  Head head;
  head.size = end + 4;
  head.body = std::strtoul(field(text, "Content-Length").c_str(), nullptr, 10);
  head.id = field(text, "Attempt-Id");
  if (text.substr(0, 5) == "HTTP/") head.status = std::atoi(in.substr(9, 3).c_str());
  head.refusal = head.status == 421 || !field(text, "Not-Executed").empty() ||
                 !field(text, "Hut-Refused").empty();
  return head;
}

// Bytes of a chunked body from `from` on, trailers and all; nothing while it is not whole.
inline std::optional<std::size_t> chunksAt(const std::string& in, std::size_t from) {
  std::size_t at = from;
  for (bool last = false;;) {
    const auto end = in.find("\r\n", at);
    if (end == std::string::npos) return std::nullopt;
    if (last && end == at) return end + 2 - from;
    if (!last) {
      const auto size = std::strtoul(in.c_str() + at, nullptr, 16);
      last = size == 0;
      at = end + 2 + (last ? 0 : size + 2);
      if (at > in.size()) return std::nullopt;
    } else {
      at = end + 2;
    }
  }
}

inline std::string filled(const std::string& word, std::size_t size) {
  std::string out;
  while (out.size() < size) out += word + ";";
  out.resize(size);
  return out;
}
constexpr std::size_t kSmall = 300;
constexpr std::size_t kBig = 150000;  // half of it is more than the egress holds: it streams
inline std::string requestBody(const std::string& id) { return filled("ask " + id, 64); }
inline std::string answerBody(const std::string& id, bool big) {
  return filled(id, big ? kBig : kSmall);
}
inline std::string requestTo(const std::string& path, const std::string& id) {
  const auto body = requestBody(id);
  return "POST " + path + " HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: 1500\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}
inline std::string answerTo(const std::string& id, bool big) {
  const auto body = answerBody(id, big);
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- What was seen in one case, at the sockets.

struct Ledger {
  std::size_t heads = 0;                       // requests that servers read, whoever they were for
  std::map<std::string, int> runs;             // heads that a server took as its own
  std::map<std::string, std::set<int>> runAt;  // and which servers
  std::map<std::string, std::set<int>> offered;             // peers that the bytes were sent to
  std::map<std::string, int> proofs;                        // answers that prove: not run there
  std::map<std::string, int> statuses;                      // what the caller was answered
  std::vector<std::pair<std::string, std::string>> broken;  // kind, what
  void wrong(const std::string& kind, const std::string& what) { broken.emplace_back(kind, what); }
};

// An honest server of the users'.
class StandIn {
 public:
  StandIn(EventLoop& loop, const SocketAddress& at, std::string id, int number, Ledger& ledger)
      : id_(std::move(id)),
        number_(number),
        ledger_(ledger),
        ear_(loop, at, [this](const Plug::Ptr& plug) { arrived(plug); }) {}
  // What it answers in place of the honest answer.
  std::function<std::string(const std::string& id, const std::string& honest)> twist;
  void close() {
    ear_.close();
    for (const auto& plug : talks_) plug->reset();
    talks_.clear();
  }

 private:
  void arrived(const Plug::Ptr& plug) {
    talks_.push_back(plug);
    plug->onData = [this, p = plug.get(), counted = std::make_shared<bool>(false)] {
      serve(*p, *counted);
    };
    plug->onEnd = [p = plug.get()](Plug::End) { p->close(); };
  }
  void serve(Plug& plug, bool& counted) {
    while (const auto head = headOf(plug.in)) {
      const auto text = plug.in.substr(0, head->size);
      const bool mine = field(text, "Expected-Instance") == id_;
      if (!std::exchange(counted, true)) {
        ++ledger_.heads;
        if (mine) {
          ++ledger_.runs[head->id];
          ledger_.runAt[head->id].insert(number_);
        }
      }
      auto body = std::make_optional(head->body);
      if (!field(text, "Transfer-Encoding").empty()) body = chunksAt(plug.in, head->size);
      if (!body || plug.in.size() < head->size + *body) return;
      if (plug.in.substr(head->size, *body) != requestBody(head->id)) {
        ledger_.wrong("changed", "the body of " + head->id + " is not the caller's");
      }
      plug.in.erase(0, head->size + *body);
      counted = false;
      const auto honest = answerTo(head->id, text.find("/big ") != std::string::npos);
      plug.write(mine ? (twist ? twist(head->id, honest) : honest)
                      : "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + head->id +
                            "\r\nContent-Length: 0\r\n\r\n");
    }
  }
  std::string id_;
  int number_;
  Ledger& ledger_;
  std::vector<Plug::Ptr> talks_;
  Ear ear_;
};

// ---- The man in the middle.

enum class Step : std::uint8_t {
  opened,
  firstByte,
  head,
  halfBody,
  whole,
  interim,
  answerByte,
  answerHead,
  answerHalf,
  answerLast,
  end,
  count_
};
constexpr std::array<const char*, static_cast<std::size_t>(Step::count_)> kStepNames = {
    "opened",      "first-byte",  "head",        "half-body",   "whole", "interim",
    "answer-byte", "answer-head", "answer-half", "answer-last", "end"};

enum class Fault : std::uint8_t {
  silence,
  frozen,
  reset,
  close,
  halfNear,
  halfFar,
  killed,
  takenOver,
  again,
  stray,
  surplus,
  otherId,
  noId,
  count_
};

// The one fault of a case; shared by the links that it may strike.
struct Trap {
  Step step = Step::opened;
  Fault fault = Fault::silence;
  std::string target;  // the Attempt-Id of the request that it waits for
  bool big = false;
  bool armed = false;
  bool fired = false;
  bool over = false;  // everybody lives again
};

constexpr double kSilenceMs = 450;  // above the egress's limit for a sign of life
constexpr double kFrozenMs = 2300;  // above every deadline in the test, and its slack
constexpr double kKilledMs = 60;

class Link {
 public:
  // Relays `at` to `to`; what takes the address over stands at `other`.
  Link(EventLoop& loop, const SocketAddress& at, SocketAddress to, SocketAddress other, int number,
       bool pipelines, Ledger& ledger, Trap& trap)
      : bell_(loop),
        to_(std::move(to)),
        other_(std::move(other)),
        number_(number),
        pipelines_(pipelines),
        ledger_(ledger),
        trap_(trap),
        ear_(loop, at, [this](const Plug::Ptr& near) { arrived(near); }) {}
  ~Link() { close(); }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  void close() {
    *alive_ = false;
    ear_.close();
    cutAll();
  }
  [[nodiscard]] std::size_t open() const {
    std::size_t n = 0;
    for (const auto& strand : strands_) n += strand->near->gone() || strand->far->gone() ? 0 : 1;
    return n;
  }
  // The fault strikes connections that lie idle.
  void strikeIdle() {
    const auto all = strands_;
    for (const auto& strand : all) {
      if (!strand->near->gone()) play(*strand);
    }
  }

 private:
  struct Strand {
    Plug::Ptr near;  // towards the caller
    Plug::Ptr far;
    std::deque<std::string> asked;  // ids whose answers are owed
    std::optional<Head> request;    // the one that is under way
    std::size_t sent = 0;
    std::size_t piece = 0;
    std::optional<Head> answer;
    std::size_t back = 0;
    std::size_t backPiece = 0;
    bool frozen = false;
    bool deafBack = false;
    bool deafForth = false;
  };

  void arrived(const Plug::Ptr& near) {
    auto strand = std::make_shared<Strand>();
    strand->near = near;
    strand->far = Plug::dial(bell_, to_);
    if (!strand->far) {
      near->reset();
      return;
    }
    strands_.push_back(strand);
    auto* s = strand.get();
    near->onData = [this, s] { forth(*s); };
    strand->far->onData = [this, s] { backwards(*s); };
    near->onEnd = [this, s](Plug::End end) { ended(*s, *s->near, *s->far, end); };
    strand->far->onEnd = [this, s](Plug::End end) { ended(*s, *s->far, *s->near, end); };
    reach(Step::opened, *s);
  }

  static void ended(Strand& s, Plug& here, Plug& there, Plug::End end) {
    if (end == Plug::End::reset) {
      there.reset();
    } else {
      there.halfClose();
    }
    (&here == s.near.get() ? s.deafForth : s.deafBack) = true;
    if (s.deafForth && s.deafBack) {
      here.close();
      there.close();
    }
  }

  // Passes on what is under way up to `until` bytes of it; true once they have gone.
  static bool pass(Plug& from, Plug& to, bool deaf, std::size_t until, std::size_t& gone) {
    const auto n = until > gone ? std::min(until - gone, from.in.size()) : 0;
    if (!deaf) to.write(std::string_view(from.in).substr(0, n));
    from.in.erase(0, n);
    gone += n;
    return gone >= until;
  }

  void forth(Strand& s) {
    while (!s.frozen && !s.near->gone()) {
      if (!s.request) {
        s.request = headOf(s.near->in);
        if (!s.request) return;
        s.sent = s.piece = 0;
        ledger_.offered[s.request->id].insert(number_);
        if (!pipelines_ && !s.asked.empty()) {
          ledger_.wrong("owed", s.request->id + " on a connection that owes " + s.asked.front());
        }
        s.asked.push_back(s.request->id);
      }
      const auto& head = *s.request;
      const std::array<std::size_t, 4> until = {1, head.size, head.size + head.body / 2,
                                                head.size + head.body};
      while (s.piece < until.size()) {
        if (!pass(*s.near, *s.far, s.deafForth, until.at(s.piece), s.sent)) return;
        const auto step = static_cast<Step>(static_cast<int>(Step::firstByte) + s.piece++);
        if (head.id == trap_.target) reach(step, s);
        if (s.frozen || s.near->gone()) return;
      }
      s.request.reset();
    }
  }

  void backwards(Strand& s) {
    while (!s.frozen && !s.far->gone()) {
      const bool target = !s.asked.empty() && s.asked.front() == trap_.target;
      if (!s.answer) {
        s.answer = headOf(s.far->in);
        if (!s.answer) return;
        s.back = s.backPiece = 0;
        if (target && s.answer->status >= 200 && trap_.armed && !trap_.fired) twist(s);
        if (!s.answer) return;
      }
      const auto head = *s.answer;
      if (head.status < 200) {
        if (!pass(*s.far, *s.near, s.deafBack, head.size, s.back)) return;
        s.answer.reset();
        if (target) reach(Step::interim, s);
        continue;
      }
      const std::size_t last = head.size + head.body;
      const std::array<std::size_t, 5> until = {1, head.size, head.size + head.body / 2,
                                                head.body > 0 ? last - 1 : last, last};
      while (s.backPiece < until.size()) {
        if (!pass(*s.far, *s.near, s.deafBack, until.at(s.backPiece), s.back)) return;
        const auto step = static_cast<Step>(static_cast<int>(Step::answerByte) + s.backPiece++);
        if (step == Step::end) {
          if (head.refusal) ++ledger_.proofs[head.id];
          if (!s.asked.empty()) s.asked.pop_front();
        }
        if (target) reach(step, s);
        if (s.frozen || s.far->gone()) return;
      }
      s.answer.reset();
    }
  }

  // Answers that are changed rather than broken off.
  void twist(Strand& s) {
    if (trap_.fault != Fault::otherId && trap_.fault != Fault::noId) return;
    const auto whole = s.answer->size + s.answer->body;
    if (s.far->in.size() < whole) {
      s.answer.reset();  // once it has all come
      return;
    }
    trap_.fired = trap_.over = true;
    auto text = answerTo(trap_.fault == Fault::otherId ? "stray" : trap_.target, trap_.big);
    if (trap_.fault == Fault::noId) {
      const auto at = text.find("Attempt-Id");
      text.erase(at, text.find("Response-Seal") - at);
    }
    s.far->in.replace(0, whole, text);
    s.answer = headOf(s.far->in);
  }

  void reach(Step step, Strand& s) {
    const bool whole = trap_.fault == Fault::otherId || trap_.fault == Fault::noId;
    if (!trap_.armed || trap_.fired || whole || step != trap_.step) return;
    trap_.fired = true;
    play(s);
  }

  void play(Strand& s) {
    trap_.fired = true;
    switch (trap_.fault) {
      case Fault::silence:
        freeze(s, true);
        later(kSilenceMs, [this, weak = std::weak_ptr<Strand>(shared(s))] {
          if (const auto strand = weak.lock()) freeze(*strand, false);
          trap_.over = true;
        });
        return;
      case Fault::frozen:
        ear_.freeze(true);
        for (const auto& strand : strands_) freeze(*strand, true);
        later(kFrozenMs, [this] {
          ear_.freeze(false);
          const auto all = strands_;
          for (const auto& strand : all) freeze(*strand, false);
          trap_.over = true;
        });
        return;
      case Fault::killed:
        ear_.close();
        cutAll();
        later(kKilledMs, [this] {
          ear_.open();
          trap_.over = true;
        });
        return;
      case Fault::takenOver:
        to_ = other_;
        cutAll();
        break;
      case Fault::reset:
        s.near->reset();
        s.far->reset();
        break;
      case Fault::close:
        s.near->close();
        s.far->close();
        break;
      case Fault::halfNear:
        s.near->halfClose();
        s.deafBack = true;
        break;
      case Fault::halfFar:
        s.far->halfClose();
        s.deafForth = true;
        break;
      case Fault::again:
        s.asked.clear();  // as far as its caller can tell
        s.near->write(answerTo(trap_.target, trap_.big));
        break;
      case Fault::stray:
        s.near->write(answerTo("stray", false));
        break;
      case Fault::surplus:
        s.near->write("0\r\n\r\nmore");
        break;
      case Fault::otherId:
      case Fault::noId:
      case Fault::count_:
        break;
    }
    trap_.over = true;
  }

  void freeze(Strand& s, bool on) {
    s.frozen = on;
    s.near->freeze(on);
    s.far->freeze(on);
    if (on) return;
    forth(s);
    backwards(s);
  }
  void later(double ms, std::function<void()> work) {
    bell_.after(fromMillis(ms), [alive = alive_, work = std::move(work)] {
      if (*alive) work();
    });
  }
  std::shared_ptr<Strand> shared(const Strand& s) {
    for (const auto& strand : strands_) {
      if (strand.get() == &s) return strand;
    }
    return nullptr;
  }
  void cutAll() {
    for (const auto& strand : strands_) {
      strand->near->reset();
      strand->far->reset();
    }
  }

  EventLoop& bell_;
  SocketAddress to_;
  SocketAddress other_;
  int number_;
  bool pipelines_;
  Ledger& ledger_;
  Trap& trap_;
  std::vector<std::shared_ptr<Strand>> strands_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Ear ear_;
};

// ---- A client.

class Caller {
 public:
  std::function<void()> onIdle;  // everything is answered, or the connection has ended
  Caller(EventLoop& loop, const SocketAddress& to, Ledger& ledger)
      : ledger_(ledger), plug_(Plug::dial(loop, to)) {
    if (!plug_) return;
    plug_->onData = [this] { read(); };
    plug_->onEnd = [this](Plug::End) { end(); };
  }
  ~Caller() {
    if (plug_) plug_->reset();
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  [[nodiscard]] bool open() const { return plug_ && !plug_->gone(); }
  void ask(const std::vector<std::pair<std::string, std::string>>& requests) {  // path, id
    std::string wire;
    for (const auto& [path, id] : requests) {
      waits_.emplace_back(id, path.find("/big") != std::string::npos);
      wire += requestTo(path, id);
    }
    if (open()) {
      plug_->write(wire);
    } else {
      end();
    }
  }

 private:
  void end() {
    if (plug_) plug_->close();
    waits_.clear();
    if (onIdle) onIdle();
  }
  void read() {
    while (const auto head = headOf(plug_->in)) {
      if (head->status < 200) {
        plug_->in.erase(0, head->size);
        continue;
      }
      if (plug_->in.size() < head->size + head->body) return;
      const auto text = plug_->in.substr(0, head->size);
      const auto body = plug_->in.substr(head->size, head->body);
      plug_->in.erase(0, head->size + head->body);
      if (waits_.empty()) {
        ledger_.wrong("unasked", "an answer where no request waits: " + text);
        return;
      }
      const auto [id, big] = waits_.front();
      waits_.pop_front();
      const auto before = ledger_.broken.size();
      judge(id, big, *head, text, body);
      if (field(text, "Connection") == "close" || ledger_.broken.size() > before) {
        end();
        return;
      }
    }
    if (!plug_->in.empty() && waits_.empty()) {
      ledger_.wrong("unasked", "bytes behind the last answer: " + plug_->in.substr(0, 80));
      plug_->in.clear();
    }
    if (waits_.empty() && onIdle) onIdle();
  }
  void judge(const std::string& id, bool big, const Head& head, const std::string& text,
             const std::string& body) {
    ledger_.statuses[id] = head.status;
    if (head.id != id) ledger_.wrong("other's", id + " is answered what is " + head.id + "'s");
    if (id[0] == 'x') return;  // its server answers badly on purpose
    if (head.status >= 200 && head.status < 300) {
      if (field(text, "Response-Seal") != "seal " + id || body != answerBody(id, big)) {
        ledger_.wrong("mixed", id + " gets a success that is not its server's");
      }
    } else if (head.status != 421 && head.status != 502 && head.status != 503 &&
               head.status != 504) {
      ledger_.wrong("unclear", id + " is answered " + std::to_string(head.status));
    }
  }

  Ledger& ledger_;
  Plug::Ptr plug_;
  std::deque<std::pair<std::string, bool>> waits_;  // id, a long answer
};

}  // namespace merlingauge::test
