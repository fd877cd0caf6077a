#include "connection/call.hpp"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>

namespace merlin::saddle {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {
constexpr std::size_t kAnswerHeadLimit = 65536;
constexpr Span kKeepMargin = std::chrono::milliseconds(700);

// `Keep-Alive: timeout=N`, or -1.
int keepAliveSeconds(const HTTPResponse& response) {
  const std::string text = Poco::toLower(response.get("Keep-Alive", ""));
  const auto at = text.find("timeout=");
  if (at == std::string::npos) return -1;
  int seconds = -1;
  std::from_chars(text.data() + at + 8, text.data() + text.size(), seconds);
  return seconds;
}
}  // namespace

Call::Call(Ropes& ropes, hut::Bell& bell, std::string key)
    : ropes_(ropes), bell_(bell), key_(std::move(key)) {}

void Call::begin(Rope::Ptr rope, const HTTPRequest& request, BodyKind kind, bool reused) {
  rope_ = std::move(rope);
  attempt_ = request.get("Attempt-Id", "");
  kind_ = kind;
  toHead_ = request.getMethod() == "HEAD";
  reused_ = reused;
  if (reused) idled_ = bell_.now() - rope_->idleSince;
  sentAll_ = kind == BodyKind::none;
  maybeSent_ = rope_->opened();
  const std::weak_ptr<Call> weak = weak_from_this();
  rope_->onOpen = [weak] {
    if (const auto self = weak.lock()) self->maybeSent_ = true;
  };
  rope_->onData = [weak] {
    if (const auto self = weak.lock()) self->data();
  };
  rope_->onDrain = [weak] {
    const auto self = weak.lock();
    if (self && self->onDrain) self->onDrain();
  };
  rope_->onEnd = [weak](Rope::End end) {
    if (const auto self = weak.lock()) self->ended(end);
  };
  ++rope_->served;
  rope_->write(wireHead(request));
}

void Call::body(std::string_view bytes) {
  if (over_ || !rope_) return;
  std::string wire;
  appendBody(kind_, bytes, wire);
  rope_->write(wire);
}

void Call::bodyEnd() {
  if (over_ || sentAll_ || !rope_) return;
  std::string wire;
  appendBodyEnd(kind_, wire);
  rope_->write(wire);
  sentAll_ = true;
}

void Call::pause(bool on) {
  if (!over_ && rope_) rope_->read(!on);
}

void Call::data() {
  const auto hold = shared_from_this();
  gotBytes_ = true;
  while (!over_ && !gotHead_) {
    std::size_t size = 0;
    const auto state = findHead(rope_->in, kAnswerHeadLimit, size);
    if (state == HeadState::incomplete) return;
    if (state != HeadState::complete) {
      fail(Failure::junk);
      return;
    }
    HTTPResponse response;
    const std::string_view head(rope_->in.data(), size);
    const auto plan =
        strictHead(head, false) ? readResponseHead(head, toHead_, response) : std::nullopt;
    if (!plan) {
      fail(Failure::junk);
      return;
    }
    rope_->in.erase(0, size);
    if (response.getStatus() < 200) {
      if (response.getStatus() == 101) {
        fail(Failure::junk);
        return;
      }
      if (onInterim) onInterim();
      continue;
    }
    // Surplus or late bytes of another exchange: nothing on this connection can be trusted now.
    if (!attempt_.empty() && response.get("Attempt-Id", "") != attempt_) {
      fail(Failure::junk);
      return;
    }
    gotHead_ = true;
    keep_ = !wantsClose(response) && plan->kind != BodyKind::untilClose;
    keepSeconds_ = keepAliveSeconds(response);
    reader_ = BodyReader(*plan);
    if (onHead) onHead(response, *plan);
  }
  if (over_ || !gotHead_) return;
  const auto state = reader_.feed(rope_->in, held_);
  if (!held_.empty() && onBody) onBody(held_);
  if (over_) return;
  if (state == BodyReader::State::bad) {
    fail(Failure::cut);
  } else if (state == BodyReader::State::done) {
    done();
  }
}

void Call::ended(Rope::End end) {
  if (over_) return;
  const auto hold = shared_from_this();
  if (end == Rope::End::connectFailed) {
    fail(maybeSent_ ? Failure::unclear : Failure::notSent);
  } else if (!gotHead_) {
    // An interim answer and then the end is no sign of a connection out of step.
    const bool unread = reused_ && !gotBytes_;
    fail(unread ? Failure::stale : !rope_->in.empty() ? Failure::junk : Failure::unclear);
  } else if (reader_.endsByClose() && end == Rope::End::closed) {
    keep_ = false;
    done();
  } else {
    fail(Failure::cut);
  }
}

void Call::done() {
  over_ = true;
  // Bytes after a whole answer belong to no request. What of a request is still on its way out when
  // its answer is whole spoils the connection too: whoever answered early may not read the rest as
  // what it is.
  if (keep_ && sentAll_ && rope_->unsent() == 0 && rope_->in.empty() && !rope_->gone()) {
    rope_->onOpen = nullptr;
    rope_->onDrain = nullptr;
    ropes_.put(key_, rope_, keepSeconds_);
  } else {
    rope_->drop();
  }
  const auto tell = onDone;
  release();
  if (tell) tell();
}

void Call::fail(Failure failure) {
  if (over_) return;
  over_ = true;
  rope_->drop();
  const auto tell = onFail;
  release();
  if (tell) tell(failure);
}

void Call::cancel() {
  if (over_) return;
  over_ = true;
  rope_->drop();
  release();
}

// Callbacks often hold the call's owner: let them go, but not while one of them runs.
void Call::release() {
  bell_.later([self = shared_from_this(), a = std::move(onHead), b = std::move(onBody),
               c = std::move(onDone), d = std::move(onFail), e = std::move(onDrain),
               f = std::move(onInterim)] {});
  onInterim = nullptr;
  onHead = nullptr;
  onBody = nullptr;
  onDone = nullptr;
  onFail = nullptr;
  onDrain = nullptr;
  rope_ = nullptr;
}

// ---- Ropes

Call::Ptr Ropes::call(const Poco::Net::SocketAddress& to, const HTTPRequest& request, BodyKind kind,
                      Span freshness, const std::string& life) {
  std::string key = to.toString();
  if (!life.empty()) key.append("|").append(life);
  Call::Ptr call(new Call(*this, bell_, key));
  auto rope = take(key, freshness);
  const bool reused = rope != nullptr;
  if (!reused) {
    rope = Rope::dial(bell_, to, config_.connectLimit, config_.silentPeerMs);
    ++dialled_;
  }
  call->begin(rope, request, kind, reused);
  return call;
}

Rope::Ptr Ropes::take(const std::string& key, Span freshness) {
  const auto it = kept_.find(key);
  if (it == kept_.end()) return nullptr;
  auto& list = it->second;
  while (!list.empty()) {
    const Kept last = list.back();
    const Instant now = bell_.now();
    if (last.rope->gone() || last.until <= now) {
      list.pop_back();
      last.rope->drop();
      continue;
    }
    // The newest is the freshest: if it is too old for this call, so are the others. The oldest
    // makes room for the new one, so that their number doesn't grow.
    if (now - last.rope->idleSince > freshness) {
      list.front().rope->drop();
      list.erase(list.begin());
      return nullptr;
    }
    list.pop_back();
    if (last.rope->quiet()) return last.rope;
    last.rope->drop();
  }
  return nullptr;
}

void Ropes::put(const std::string& key, const Rope::Ptr& rope, int keepSeconds) {
  auto& list = kept_[key];
  const Instant now = bell_.now();
  rope->idleSince = now;
  Span keep = config_.keepIdle;
  if (keepSeconds >= 0) keep = std::min(keep, fromSeconds(keepSeconds) - kKeepMargin);
  if (keep <= Span(0)) {
    rope->drop();
    return;
  }
  if (list.size() >= config_.maxIdle) {
    list.front().rope->drop();
    list.erase(list.begin());
  }
  // Anything that comes on an idle connection, its end or stray bytes, spoils it.
  const std::weak_ptr<Rope> weak = rope;
  rope->read(true);
  bell_.later([old = std::move(rope->onData), oldEnd = std::move(rope->onEnd)] {});
  rope->onData = [weak] {
    if (const auto r = weak.lock()) r->drop();
  };
  rope->onEnd = [](Rope::End) {};
  list.push_back({rope, now + keep});
  if (!sweeping_) {
    sweeping_ = true;
    planSweep();
  }
}

void Ropes::planSweep() {
  bell_.after(std::chrono::seconds(2), [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) sweep();
  });
}

void Ropes::sweep() {
  const Instant now = bell_.now();
  for (auto it = kept_.begin(); it != kept_.end();) {
    auto& list = it->second;
    std::erase_if(list, [&](const Kept& kept) {
      if (!kept.rope->gone() && kept.until > now) return false;
      kept.rope->drop();
      return true;
    });
    it = list.empty() ? kept_.erase(it) : std::next(it);
  }
  sweeping_ = !kept_.empty();
  if (sweeping_) planSweep();
}

}  // namespace merlin::saddle
