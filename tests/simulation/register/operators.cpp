#include "simulation/register/operators.hpp"

#include <algorithm>

namespace merlingauge::test::register_world {

namespace {
constexpr double kReadShare = 0.3;       // of the random calls
constexpr double kUpToDateShare = 0.85;  // of the random changes: built on what was seen last
constexpr std::int64_t kOutOfDateBy = 2;
constexpr std::uint64_t kRevisionSteps = 3;  // new revisions leave gaps of up to two
constexpr double kTwiceShare = 0.1;          // two operators with one text
constexpr double kDelayedShare = 0.3;        // a change of long ago, as a storm delays it
constexpr int kMaxAttempts = 30;
constexpr double kAnswerTimeoutMs = 1000;
constexpr double kShortestBackoffMs = 20;
constexpr double kBackoffStepMs = 60;
constexpr int kMaxBackoffSteps = 5;
// Between an answer and the next change.
constexpr double kShortestPauseMs = 1;
constexpr double kLongestPauseMs = 30;
// When all changes are repeated: between two of them, and after the last.
constexpr double kRepeatGapMs = 60;
constexpr double kRepeatSettleMs = 1000;
}  // namespace

void Operators::start(double withinMs) {
  for (const auto* line : linesOf(scenario_, "random")) {
    const int count = std::stoi(line->words.at(2));
    for (int i = 0; i < count; ++i) {
      clock_.after(clock_.uniform(0, withinMs), [this] { callAtRandom(); });
    }
  }
  for (const auto* line : linesOf(scenario_, "operator")) {
    changesLeft_ = std::stoi(line->words.at(1));
    lostAnswers_ = std::stod(line->words.at(3));
    const int width = std::stoi(line->words.at(2));
    for (int i = 0; i < width; ++i) beginChange();
  }
}

void Operators::callAtRandom() {
  auto& machine = fleet_.pickRunning();
  if (clock_.chance(kReadShare)) {
    proposals_.read(machine);
    return;
  }
  const auto newest = proposals_.newestRevision();
  const std::int64_t base =
      clock_.chance(kUpToDateShare) ? newest : std::max<std::int64_t>(0, newest - kOutOfDateBy);
  const auto revision = base + 1 + static_cast<std::int64_t>(clock_.random() % kRevisionSteps);
  client_.change(machine, {base, revision, client_.newName("d")});
}

/// On top of what was seen last: changes under way at once are rivals, some with one revision.
void Operators::beginChange() {
  if (changesLeft_ <= 0) return;
  --changesLeft_;
  const auto revision =
      newestSeen_ + 1 + static_cast<std::int64_t>(clock_.random() % kRevisionSteps);
  const SentChange change{newestSeen_, revision, client_.newName("o")};
  sent_.push_back(change);
  send(change, 0);
  if (clock_.chance(kTwiceShare)) client_.change(fleet_.pickRunning(), change);
  if (clock_.chance(kDelayedShare)) {
    const auto& delayed = sent_[clock_.random() % sent_.size()];
    client_.change(fleet_.pickRunning(), delayed);
  }
}

void Operators::send(const SentChange& change, int attempt) {
  const auto answered = std::make_shared<bool>(false);
  const auto call = client_.change(fleet_.pickRunning(), change);
  const std::weak_ptr<Call> weakCall(call);
  const auto onAnswer = [this, change, attempt, answered, weakCall](bool timedOut) {
    if (*answered) return;
    *answered = true;
    const auto ended = timedOut ? nullptr : weakCall.lock();
    handleAnswer(change, attempt, ended.get());
  };
  call->onEnded = [onAnswer] { onAnswer(false); };
  clock_.after(kAnswerTimeoutMs, [onAnswer] { onAnswer(true); });
}

/// Without a call the answer has timed out.
void Operators::handleAnswer(const SentChange& change, int attempt, const Call* call) {
  const bool isLost = call == nullptr || clock_.chance(lostAnswers_);
  if (isLost || call->outcome == Call::Outcome::unclear) {
    const double longest = kBackoffStepMs * (1 + std::min(attempt, kMaxBackoffSteps));
    const double backoffMs = clock_.uniform(kShortestBackoffMs, longest);
    if (attempt >= kMaxAttempts) return;
    clock_.after(backoffMs, [this, change, attempt] { send(change, attempt + 1); });
    return;
  }
  newestSeen_ = std::max(newestSeen_, call->seen.configRevision.value);
  clock_.after(clock_.uniform(kShortestPauseMs, kLongestPauseMs), [this] { beginChange(); });
}

void Operators::repeatAll() {
  changesLeft_ = 0;
  for (const auto& change : sent_) {
    repeated_.push_back(client_.change(fleet_.pickRunning(), change));
    clock_.runUntil(clock_.ms() + kRepeatGapMs);
  }
  clock_.runUntil(clock_.ms() + kRepeatSettleMs);
}

double Operators::countRepeated(Call::Outcome outcome) const {
  return static_cast<double>(
      std::count_if(repeated_.begin(), repeated_.end(),
                    [outcome](const CallPtr& call) { return call->outcome == outcome; }));
}

void Operators::report(std::map<std::string, double>& measured) const {
  measured["repeated_acked"] = countRepeated(Call::Outcome::acknowledged);
  measured["repeated_rejected"] = countRepeated(Call::Outcome::rejected);
  measured["repeated_unclear"] = countRepeated(Call::Outcome::unclear);
}

}  // namespace merlingauge::test::register_world
