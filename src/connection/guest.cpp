#include "connection/guest.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

#include <array>
#include <cstdio>

namespace merlin::saddle {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

namespace {
constexpr std::size_t kBodyHold = 256 * 1024;
constexpr int kBacklog = 512;
constexpr std::size_t kAhead = 8;  // so many requests of one connection may run at once
}  // namespace

// ---- Visit

std::size_t Visit::unsent() const {
  const auto guest = guest_.lock();
  if (!guest) return 0;
  return guest->isFront(this) ? guest->rope_->unsent() : ahead_.size();
}

void Visit::write(std::string_view bytes) {
  const auto guest = guest_.lock();
  if (!guest) return;
  if (guest->isFront(this)) {
    guest->rope_->write(bytes);
  } else {
    ahead_.append(bytes);
  }
}

void Visit::head(HTTPResponse& response, const BodyPlan& answerPlan) {
  const auto guest = guest_.lock();
  if (!guest || over_ || headSent_) return;
  headSent_ = true;
  answerPlan_ = answerPlan;
  toHead_ = request.getMethod() == "HEAD";
  // While stopping, the last answer that is owed says so.
  const bool last = guest->visits_.empty() || guest->visits_.back().get() == this;
  if ((guest->reception_->closing && last) || wantsClose(request) ||
      answerPlan.kind == BodyKind::untilClose || !bodyDone) {
    closeAfter_ = true;
  }
  if (answerPlan.kind == BodyKind::chunked && request.getVersion() == HTTPMessage::HTTP_1_0) {
    answerPlan_.kind = BodyKind::untilClose;
    closeAfter_ = true;
  }
  response.setVersion(HTTPMessage::HTTP_1_1);
  const int status = response.getStatus();
  if (status != 204 && status != 304 && !(toHead_ && answerPlan_.kind == BodyKind::none)) {
    planHeaders(answerPlan_, response);
  }
  if (closeAfter_) response.set(HTTPMessage::CONNECTION, "close");
  write(wireHead(response));
}

void Visit::piece(std::string_view bytes) {
  const auto guest = guest_.lock();
  if (!guest || over_ || toHead_) return;
  std::string wire;
  appendBody(answerPlan_.kind, bytes, wire);
  write(wire);
}

void Visit::end() {
  const auto guest = guest_.lock();
  if (!guest || over_) return;
  over_ = true;
  std::string wire;
  if (!toHead_) appendBodyEnd(answerPlan_.kind, wire);
  write(wire);
  if (guest->isFront(this)) guest->visitOver();
}

void Visit::cut() {
  const auto guest = guest_.lock();
  if (!guest || over_) return;
  over_ = true;
  cut_ = true;
  if (guest->isFront(this)) guest->visitOver();
}

void Visit::answer(int status, const std::string& reason, std::string_view text,
                   const std::string& type, const Extra& extra) {
  HTTPResponse response(HTTPMessage::HTTP_1_1, static_cast<HTTPResponse::HTTPStatus>(status),
                        reason);
  if (!type.empty()) response.set(HTTPMessage::CONTENT_TYPE, type);
  if (const auto id = request.get("Attempt-Id", ""); !id.empty()) response.set("Attempt-Id", id);
  for (const auto& [name, value] : extra) response.set(name, value);
  BodyPlan whole{text.empty() ? BodyKind::none : BodyKind::length, text.size()};
  head(response, whole);
  if (!text.empty()) piece(text);
  end();
}

void Visit::fail(ErrorKind kind, const std::string& detail, const Extra& extra) {
  const auto& row = answerFor(kind);
  Extra headers = extra;
  bool told = false;
  for (const auto& header : extra) told = told || header.first == "Retry-After";
  if (row.retryAfterMs > 0 && !told) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", row.retryAfterMs / 1000.0);
    headers.emplace_back("Retry-After", text.data());
  }
  if (row.close) closeAfter_ = true;
  std::string text = row.text;
  if (!detail.empty()) text += ": " + detail;
  answer(row.status, row.reason, text + "\n", "text/plain", headers);
}

void Visit::processing() {
  const auto guest = guest_.lock();
  if (guest && !over_ && !headSent_) write("HTTP/1.1 102 Processing\r\n\r\n");
}

bool Visit::abandoned() const {
  const auto guest = guest_.lock();
  return !guest || over_ || guest->rope_->closedByPeer();
}

void Visit::takenBody(std::size_t held) {
  const auto guest = guest_.lock();
  if (!guest || over_) return;
  guest->rope_->read(held + body.size() < kBodyHold);
}

// ---- Guest

Guest::Guest(hut::Bell& bell, Rope::Ptr rope, std::shared_ptr<Reception> reception)
    : bell_(bell), rope_(std::move(rope)), reception_(std::move(reception)) {}

void Guest::start(std::function<void()> onGone) {
  onGone_ = std::move(onGone);
  rope_->onData = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->advance();
  };
  rope_->onDrain = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->visits_.empty() && self->visits_.front()->onDrain) {
      self->visits_.front()->onDrain();
    }
  };
  rope_->onEnd = [weak = weak_from_this()](Rope::End) {
    if (const auto self = weak.lock()) self->ended();
  };
  armTimer(reception_->limits.headerTime, true);
}

void Guest::armTimer(Span wait, bool inHead) {
  bell_.cancel(timer_);
  inHead_ = inHead;
  timer_ = bell_.after(wait, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->timer_ = 0;
    if (!self->visits_.empty()) return;
    if (self->rope_->in.empty()) {
      self->drop();
    } else {
      self->refuse(ErrorKind::headTooSlow);
    }
  });
}

void Guest::drop() { ended(); }

void Guest::ended() {
  if (over_) return;
  over_ = true;
  const auto hold = shared_from_this();
  bell_.cancel(timer_);
  rope_->drop();
  abandonVisits();
  if (onGone_) onGone_();
}

// Nobody waits for their answers any more: whatever runs of them ends.
void Guest::abandonVisits() {
  const auto visits = std::move(visits_);
  visits_.clear();
  for (const auto& visit : visits) {
    --reception_->visits;
    const bool early = !visit->over_;
    visit->over_ = true;
    if (early && visit->onGone) visit->onGone();
  }
}

void Guest::advance() {
  if (advancing_ || over_) return;
  const auto hold = shared_from_this();
  advancing_ = true;
  while (!over_) {
    if (!visits_.empty() && !visits_.back()->bodyDone) {
      feedBody();
      if (visits_.empty() || !visits_.back()->bodyDone) break;
      continue;
    }
    if (!mayReadOn()) {
      if (rope_->in.size() > kBodyHold) rope_->read(false);  // they wait their turn
      break;
    }
    if (rope_->in.empty() || !beginVisit()) break;
  }
  advancing_ = false;
}

bool Guest::isFront(const Visit* visit) const {
  return !visits_.empty() && visits_.front().get() == visit;
}

// Behind an answer that closes, or one that has to wait for its turn, nothing is read.
bool Guest::mayReadOn() const {
  if (visits_.empty()) return true;
  if (!reception_->mayRunAhead || reception_->closing || visits_.size() >= kAhead) return false;
  const auto& last = *visits_.back();
  if (last.closeAfter_ || !last.started_ || wantsClose(last.request)) return false;
  std::size_t held = rope_->unsent();
  for (const auto& visit : visits_) held += visit->ahead_.size();
  return held < kBodyHold;
}

bool Guest::beginVisit() {
  const auto& limits = reception_->limits;
  std::size_t size = 0;
  // Blank lines ahead of a request are allowed by the protocol.
  while (rope_->in.compare(0, 2, "\r\n") == 0) rope_->in.erase(0, 2);
  if (rope_->in.empty()) return false;
  switch (findHead(rope_->in, limits.headBytes, size)) {
    case HeadState::incomplete:
      if (!inHead_ && visits_.empty()) armTimer(limits.headerTime, true);
      return false;
    case HeadState::tooLarge:
      refuse(ErrorKind::headTooLarge);
      return false;
    case HeadState::bad:
      refuse(ErrorKind::badFraming);
      return false;
    case HeadState::complete:
      break;
  }
  auto visit = std::make_shared<Visit>();
  const std::string_view head(rope_->in.data(), size);
  const auto plan = strictHead(head, true) ? readRequestHead(head, visit->request) : std::nullopt;
  if (!plan) {
    refuse(ErrorKind::badFraming);
    return false;
  }
  rope_->in.erase(0, size);
  if (plan->kind == BodyKind::length && plan->length > limits.bodyBytes) {
    refuse(ErrorKind::bodyTooLarge);
    return false;
  }
  bell_.cancel(timer_);
  timer_ = 0;
  visit->plan = *plan;
  visit->began = bell_.now();
  visit->guest_ = weak_from_this();
  reader_ = BodyReader(*plan);
  bodySeen_ = 0;
  visits_.push_back(visit);
  ++reception_->visits;
  ++rope_->served;
  if (plan->kind != BodyKind::none && visit->request.getExpectContinue()) {
    rope_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  const auto before = visit->body.size();
  const auto state = reader_.feed(rope_->in, visit->body);
  bodySeen_ += visit->body.size() - before;
  visit->bodyDone = state == BodyReader::State::done;
  if (state == BodyReader::State::bad || bodySeen_ > limits.bodyBytes) {
    refuse(state == BodyReader::State::bad ? ErrorKind::badFraming : ErrorKind::bodyTooLarge);
    return false;
  }
  if (isFront(visit.get()) || reception_->mayRunAhead(*visit)) begun(visit);
  return true;
}

void Guest::begun(const Visit::Ptr& visit) {
  visit->started_ = true;
  reception_->onVisit(visit);
}

void Guest::feedBody() {
  const auto visit = visits_.back();
  const auto before = visit->body.size();
  const auto state = reader_.feed(rope_->in, visit->body);
  bodySeen_ += visit->body.size() - before;
  if (state == BodyReader::State::bad || bodySeen_ > reception_->limits.bodyBytes) {
    // The request can't be whole any more; whoever has the front of it must drop it.
    if (visit->headSent()) {
      ended();
      return;
    }
    const auto gone = visit->onGone;
    refuse(state == BodyReader::State::bad ? ErrorKind::badFraming : ErrorKind::bodyTooLarge);
    if (gone) gone();
    return;
  }
  visit->bodyDone = state == BodyReader::State::done;
  if (visit->onBody) visit->onBody();
}

void Guest::refuse(ErrorKind kind) {
  if (reception_->onRefused) reception_->onRefused(kind);
  auto visit = visits_.empty() ? nullptr : visits_.back();
  if (!visit || (visit->started_ && visit->bodyDone)) {
    visit = std::make_shared<Visit>();
    visit->guest_ = weak_from_this();
    visit->request.setVersion(HTTPMessage::HTTP_1_1);
    visits_.push_back(visit);
    ++reception_->visits;
  }
  visit->closeAfter_ = true;
  visit->fail(kind);
}

// The answer whose turn it was is whole: on to those that wait behind it.
void Guest::visitOver() {
  const auto hold = shared_from_this();
  while (!over_ && !visits_.empty() && visits_.front()->over_) {
    const auto visit = visits_.front();
    rope_->write(visit->ahead_);
    visit->ahead_.clear();
    if (visit->cut_) {
      // An answer that runs to the close would look whole after an orderly end: reset it instead.
      ended();
      return;
    }
    visits_.pop_front();
    --reception_->visits;
    bell_.later([visit] {});
    if (visit->closeAfter_) {
      bell_.cancel(timer_);
      over_ = true;
      rope_->finish();
      abandonVisits();  // what was sent behind it counts as unread
      if (onGone_) onGone_();
      return;
    }
    if (visits_.empty()) continue;
    const auto next = visits_.front();
    rope_->write(next->ahead_);
    next->ahead_.clear();
    if (!next->started_ && !next->over_) begun(next);
    if (!next->over_ && next->onDrain) next->onDrain();
  }
  if (over_) return;
  rope_->read(true);
  if (visits_.empty()) armTimer(reception_->limits.idleTime, false);
  if (!rope_->in.empty()) {
    bell_.later([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->advance();
    });
  }
}

// ---- Door

Door::Door(hut::Bell& bell, const Poco::Net::SocketAddress& at, std::size_t maxGuests)
    : bell_(bell), maxGuests_(maxGuests) {
  socket_.bind(at, true, false);
  socket_.listen(kBacklog);
  socket_.setBlocking(false);
  bell_.watch(socket_, Poco::Net::PollSet::POLL_READ, [this](int) { arrivals(); });
}

Door::~Door() {
  *alive_ = false;
  shut();
  for (auto& [key, guest] : guests_) guest->drop();
}

void Door::shut() {
  if (!open_) return;
  open_ = false;
  bell_.forget(socket_);
  socket_.close();
}

void Door::arrivals() {
  // One a turn: the poll set reports the socket again while more are waiting.
  Poco::Net::StreamSocket socket;
  try {
    socket = socket_.acceptConnection();
  } catch (const Poco::Exception&) {
    return;
  }
  if (guests_.size() >= maxGuests_) return;  // closed: bounded, and the caller sees it at once
  auto guest = std::make_shared<Guest>(bell_, Rope::take(bell_, socket), reception);
  auto* key = guest.get();
  guests_.emplace(key, guest);
  guest->start([this, key, alive = alive_] {
    if (*alive) guests_.erase(key);
  });
}

void Door::closeIdle() {
  std::vector<Guest::Ptr> idle;
  for (auto& [key, guest] : guests_) {
    if (guest->idle()) idle.push_back(guest);
  }
  for (auto& guest : idle) guest->drop();
}

}  // namespace merlin::saddle
