#include "simulation/register/acceptor_service.hpp"

#include <algorithm>
#include <exception>
#include <utility>

#include "consensus/message_codec.hpp"

namespace merlingauge::test::register_world {

using consensus::RegisterRequest;

namespace {
// How long a sync takes, in milliseconds.
constexpr double kFastestSyncMs = 0.5;
constexpr double kSlowestSyncMs = 2;
// Under PlantedFault::unsyncedReplies the disk gets only this share of the states.
constexpr double kSavedShare = 0.1;
}  // namespace

void AcceptorService::handle(Machine& machine, const std::string& request, ReplyHandler onReply) {
  if (!machine.acceptor) return;
  RegisterRequest decoded;
  try {
    decoded = consensus::requestFromJson(nlohmann::json::parse(request), &machine.textCache);
  } catch (const std::exception&) {
    return;  // it lost its disk since it said which text it has: no answer
  }
  auto handled = machine.acceptor->handle(decoded);
  if (fault_ == PlantedFault::hiddenIncarnations) handled.reply.incarnations.clear();
  consensus::cacheTexts(machine.textCache, machine.acceptor->value());
  const int process = machine.process;
  const auto state = consensus::encodeState(machine.acceptor->state());
  const auto save = ++machine.lastSave;
  const double hungForMs = std::max(0.0, machine.diskHungUntilMs - clock_.ms());
  const auto onSynced = [this, &machine, process, state, save, handled,
                         onReply = std::move(onReply), decoded] {
    if (machine.process != process || machine.diskFull) return;
    // The disk takes saves in order: one that is overtaken is part of the one before it.
    const bool isNewer = save > machine.lastSaveDone;
    if (isNewer && (fault_ != PlantedFault::unsyncedReplies || clock_.chance(kSavedShare))) {
      machine.disk = state;
      machine.lastSaveDone = save;
    }
    if (fleet_.managesVoters() && decoded.kind == RegisterRequest::Kind::accept &&
        handled.reply.granted) {
      checker_.handleAcceptance(machine, decoded);
    }
    onReply(handled.reply);
  };
  clock_.after(hungForMs + clock_.uniform(kFastestSyncMs, kSlowestSyncMs), onSynced);
}

}  // namespace merlingauge::test::register_world
