#include "request/ascent.hpp"

#include <algorithm>
#include <utility>

namespace merlin::trail {

namespace {
constexpr int kMaxHops = 12;
constexpr int kQueueRefusals = 3;      // so many can't queue it in time: nor can the others
constexpr int kTryWithoutWaiting = 2;  // then the next one may queue
// A near server has room below this share of its slots,
constexpr double kNearRoom = 0.9;
constexpr double kNearFirst = 1.25;  // before a far server is asked,
constexpr double kNearQueue = 1.5;   // where the request has to queue anyway.

bool hasNear(const std::vector<Candidate>& list, double room) {
  return std::any_of(list.begin(), list.end(),
                     [room](const auto& c) { return c.hasRoomNear(room); });
}

// The one exception to drawing from all: while servers in this zone have room, only they are
// drawn from, for what crosses zones is paid for.
void preferNear(std::vector<Candidate>& from, double room) {
  if (!hasNear(from, room)) return;
  std::erase_if(from, [room](const auto& c) { return !c.hasRoomNear(room); });
}
}  // namespace

Ascent::Ascent(Terms terms, Candidates candidates, Wayfinder& wayfinder, Toll& toll)
    : terms_(std::move(terms)),
      candidates_(std::move(candidates)),
      wayfinder_(wayfinder),
      toll_(toll) {}

Step Ascent::begin(Instant now) {
  toll_.first(terms_.service, now);
  return next(now);
}

bool Ascent::avoids(const InstanceId& id) const {
  return std::find(avoid_.begin(), avoid_.end(), id) != avoid_.end();
}

bool Ascent::knownFull(const InstanceId& id) const {
  return std::find(full_.begin(), full_.end(), id) != full_.end();
}

// Some try is out that has shown no weakness: its answer is awaited before anything else is done.
bool Ascent::inHand() const {
  return std::any_of(out_.begin(), out_.end(), [](const Out& out) { return !out.silent; });
}

Step Ascent::giveUp(ErrorKind kind) const {
  Step step;
  // Nothing of our own is answered while a server may be at work on it.
  if (!out_.empty()) {
    step.what = Step::Do::wait;
    return step;
  }
  // Once a server may have run it, no answer may promise that it has not.
  step.error = anyRun_ ? ErrorKind::maybeRun : kind;
  return step;
}

ErrorKind Ascent::atDeadline(bool sent) const {
  return sent || anyRun_ ? ErrorKind::deadline : ErrorKind::timeUp;
}

Step Ascent::next(Instant now) {
  if (now >= terms_.deadline) return giveUp(ErrorKind::timeUp);
  if (++hops_ > kMaxHops) return giveUp(anyFull_ ? ErrorKind::overloaded : ErrorKind::noServer);
  std::vector<Candidate> open;   // neither tried nor known to be full
  std::vector<Candidate> queue;  // whatever may still be asked to queue it
  for (const auto& candidate : candidates_()) {
    if (avoids(*candidate.id)) continue;
    if (terms_.mostJobs > 0 && candidate.jobs >= terms_.mostJobs * candidate.slots) {
      anyFull_ = true;
      continue;
    }
    if (candidate.jobs < candidate.slots && !knownFull(*candidate.id)) open.push_back(candidate);
    queue.push_back(candidate);
  }
  // Whoever is open has fewer jobs than slots.
  const bool nearBrief = !hasNear(open, 1.0) && hasNear(queue, kNearFirst);
  const bool mayWait =
      nearBrief || open.empty() || static_cast<int>(full_.size()) >= kTryWithoutWaiting;
  auto& from = mayWait ? queue : open;
  if (from.empty() || queueRefusals_ >= kQueueRefusals) {
    return giveUp(anyFull_ ? ErrorKind::overloaded : ErrorKind::noServer);
  }
  preferNear(from, mayWait ? kNearQueue : kNearRoom);
  std::vector<Look> looks;
  looks.reserve(from.size());
  for (const auto& candidate : from) looks.push_back({candidate.jobs + candidate.steady});
  const auto choice = wayfinder_.pick(looks);
  Step step;
  step.what = Step::Do::send;
  step.to = from[choice.index];
  step.mayWait = mayWait;
  out_.push_back({*step.to.id, mayWait, false});
  ++arrivals_;
  return step;
}

Step Ascent::after(Outcome outcome, Instant now) {
  return out_.empty() ? giveUp(ErrorKind::noServer) : after(out_.back().id, outcome, now);
}

Step Ascent::after(const InstanceId& at, Outcome outcome, Instant now) {
  const auto it =
      std::find_if(out_.begin(), out_.end(), [&](const Out& out) { return out.id == at; });
  if (it == out_.end()) return giveUp(ErrorKind::noServer);
  const Out tried = *it;
  out_.erase(it);
  bool arrived = false;
  ErrorKind without = anyFull_ ? ErrorKind::overloaded : ErrorKind::noServer;
  switch (outcome) {
    case Outcome::full:
      --arrivals_;
      anyFull_ = true;
      without = ErrorKind::overloaded;
      // One that refused even to queue it is out of the question.
      (tried.mayWait ? avoid_ : full_).push_back(tried.id);
      queueRefusals_ += tried.mayWait ? 1 : 0;
      break;
    case Outcome::notThere:
    case Outcome::unreachable:
      --arrivals_;
      avoid_.push_back(tried.id);
      break;
    case Outcome::turnedAway:
      avoid_.push_back(tried.id);
      arrived = true;
      without = ErrorKind::overloaded;
      break;
    case Outcome::maybeRun:
      anyRun_ = true;
      avoid_.push_back(tried.id);
      arrived = true;
      without = ErrorKind::maybeRun;
      if (!terms_.idempotent) return giveUp(without);
      break;
  }
  if (inHand() || !terms_.replayable) return giveUp(without);
  if (arrived && (arrivals_ >= terms_.maxAttempts || !toll_.repeat(terms_.service, now))) {
    return giveUp(without);
  }
  return next(now);
}

void Ascent::sign(const InstanceId& at) {
  for (auto& out : out_) {
    if (out.id == at) out.silent = false;
  }
}

Step Ascent::silent(const InstanceId& at, Instant now) {
  for (auto& out : out_) {
    if (out.id == at) out.silent = true;
  }
  Step stay;
  stay.what = Step::Do::wait;
  if (!terms_.idempotent || !terms_.replayable || inHand() || arrivals_ >= terms_.maxAttempts) {
    return stay;
  }
  avoid_.push_back(at);
  const auto step = next(now);
  if (step.what != Step::Do::send) return stay;
  if (!toll_.repeat(terms_.service, now)) {
    --arrivals_;
    out_.pop_back();
    return stay;
  }
  return step;
}

}  // namespace merlin::trail
