#include "process/warden.hpp"

#include <Poco/Logger.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "version/schema.hpp"

namespace merlin::hut {

using cairn::Server;
using cairn::Value;
using nlohmann::json;
using Poco::Logger;
using Poco::Net::SocketAddress;
using saddle::Door;
using saddle::Visit;

namespace {
constexpr Span kTick = std::chrono::milliseconds(100);
constexpr double kSilentBeats = 2.6;  // a server silent for so many beats is dropped
constexpr Span kRememberGone = std::chrono::seconds(60);
constexpr Span kMeshConnect = std::chrono::milliseconds(300);
constexpr Span kAppConnect = std::chrono::milliseconds(400);
constexpr Span kStillComing = std::chrono::milliseconds(2300);  // callers notice a stop by then
constexpr Span kExitMargin = std::chrono::milliseconds(400);
constexpr Span kCoreLive = std::chrono::milliseconds(4000);
constexpr Span kStoodStill = std::chrono::seconds(1);
constexpr Span kHandOver = std::chrono::seconds(3);          // or half of the grace time
constexpr Span kHoldLimit = std::chrono::milliseconds(800);  // a beat has a second
constexpr Span kNodeSilent = std::chrono::milliseconds(4500);
constexpr Span kDeniedFor = 2 * kNodeSilent;
// A node that carries traffic waits so long for somebody who knows what is current, then it takes
// what it has: the majority of the core may be down for long.
constexpr Span kTakeWhatIsThere = std::chrono::seconds(6);
constexpr Span kForeignEvery = std::chrono::seconds(10);
constexpr Span kSweep = std::chrono::seconds(10);
constexpr Span kBookComes = std::chrono::milliseconds(1500);  // from neighbours, after a start
constexpr double kPaceMs = 8;  // between two answers with news on one link, on a whole core
constexpr double kPaceMostMs = 250;
constexpr double kLetInMs = 3;  // of processor time: one newcomer is told everything
// At the very first start the cores find each other before everybody else comes.
constexpr Span kFirstWait = std::chrono::milliseconds(500);
constexpr Span kFirstSpread = std::chrono::milliseconds(1000);
constexpr int kSilentPeerMs =
    700;  // no sign of its kernel for so long: the server's machine is gone
constexpr std::size_t kControlBody = 8U << 20;

Logger& logOf(const char* part) { return Logger::get(part); }

// Null where there never was any.
json ageOf(Span age) {
  return age > std::chrono::hours(24 * 365) ? json(nullptr) : json(age.count() / 1000);
}

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}
}  // namespace

Warden::Warden(Bell& bell, Settings settings, std::string settingsPath)
    : bell_(bell),
      settings_(std::move(settings)),
      settingsPath_(std::move(settingsPath)),
      core_(settings_.quorumMember && !settings_.dataDirectory.empty()),
      seed_(randomSeed()),
      meshRopes_(bell, settings_.frontend.empty()
                           ? saddle::Ropes::Config{kMeshConnect, std::chrono::seconds(20), 64, 0}
                           : saddle::Ropes::Config{kMeshConnect, std::chrono::seconds(9), 8,
                                                   kSilentPeerMs}),
      appRopes_(bell, {kAppConnect, std::chrono::seconds(20), 64, 0}),
      wire_(bell, settings_.internalPort),
      // Lives of one machine rise with its steady clock; the guestbook steps over what others
      // remember where that clock has begun anew.
      guestbook_({settings_.self, settings_.zone, core_, false, false, 0, Life{}},
                 Life{static_cast<std::uint64_t>(Bell::clock().time_since_epoch().count())}) {}

Warden::~Warden() = default;

void Warden::start() {
  if (core_) {
    const auto bytes = static_cast<std::size_t>(std::clamp(settings_.diskMb / 4, 8, 64)) << 20;
    cellar_ = std::make_unique<Cellar>(bell_, settings_.dataDirectory + "/register", bytes);
  }
  council_ = std::make_unique<Council>(
      Council::Parts{bell_, wire_, settings_, cellar_.get(), evidence_,
                     [this](const Value& value) { chosen(value); },
                     [](const std::string& text) { logOf("cairn").information(text); }},
      seed_ + 1);
  Roster::World world;
  world.now = [this] { return bell_.now(); };
  world.clock = [] { return Bell::clock(); };
  world.after = [this](Span wait, Bell::Work work) { return bell_.after(wait, std::move(work)); };
  world.cancel = [this](Bell::TimerId id) { bell_.cancel(id); };
  world.post = [this](const NodeId& to, const json& body, Span limit, Wire::Answer answer) {
    wire_.post(to, "/news", body, limit, std::move(answer));
  };
  const auto pace =
      fromMillis(std::clamp(kPaceMs / std::max(settings_.processor, 0.001), 0.0, kPaceMostMs));
  const auto letIn =
      fromMillis(std::clamp(kLetInMs / std::max(settings_.processor, 0.001), 0.0, kPaceMostMs));
  const bool waits = settings_.bootstrap && !core_;
  const auto firstWait =
      waits ? kFirstWait + Span(static_cast<std::int64_t>(
                               seed_ % static_cast<std::uint64_t>(kFirstSpread.count())))
            : Span(0);
  roster_ = std::make_unique<Roster>(Roster::Parts{
      std::move(world), settings_.self, settings_.zone,
      [this]() -> const std::vector<NodeId>& { return settings_.seeds; }, guestbook_,
      [this]() -> const Value& { return council_->known(); },
      [this](std::uint64_t has) -> const std::string& { return council_->knownFor(has); },
      [this](const json& j) { return cairn::valueFrom(j, &council_->shelf()); },
      [this](const Value& value) { council_->learn(value); }, evidence_,
      [this] { return council_->ownEvidence(); }, [this] { fleetChanged(); }, core_,
      settings_.frontend.empty(), pace, letIn, firstWait});
  roster_->onTold = [this] { checkHeld(); };
  roster_->onAuthority = [](bool has) {
    if (has) {
      logOf("hut").information("in touch with a majority of the voters");
    } else {
      logOf("hut").warning("out of touch with the majority of the voters, acting for nobody");
    }
  };
  office_ = std::make_unique<Office>(Office::Parts{
      bell_, *council_, guestbook_,
      [this](const Server& server) {
        if (ingress_) ingress_->heard(server, bell_.now());
      },
      [this] { roster_->news(); },
      [this](const InstanceId& id, std::function<void(bool)> done) {
        whenHeld(id, std::move(done));
      },
      [this](const InstanceId& id) { return beatTarget(id); }, [this] { return status(); },
      [this] { return ready(); }, 2 * settings_.tolerance + 1,
      [](const std::string& text) { logOf("hut").information(text); },
      cellar_ ? cellar_->mostText() : kControlBody});
  if (!settings_.wayIn().empty()) {
    const bool gateway = !settings_.frontend.empty();
    std::unique_ptr<trail::Approach> approach;
    if (gateway) {
      approach = std::make_unique<trail::Direct>();
    } else {
      approach = std::make_unique<trail::ThroughIngress>(settings_.ingressPort);
    }
    egress_ = std::make_unique<trail::Egress>(trail::Egress::Parts{
        bell_, meshRopes_, guestbook_, [this] { return chart_; },
        [this] { return roster_->current(); }, std::move(approach), settings_.service,
        settings_.self, settings_.zone, gateway,
        trail::TollTerms{settings_.retryRatio, settings_.retrySlack, settings_.retryWindow},
        seed_ + 2});
  }
  if (!settings_.ingress.empty()) {
    ingress_ = std::make_unique<trail::Ingress>(trail::Ingress::Parts{
        bell_, appRopes_, settings_.appAddress,
        [this](const InstanceId& id) -> std::optional<Server> { return guestbook_.heardHere(id); },
        settings_.drainTimeout,
        [this](const InstanceId& id) {
          if (guestbook_.silence(id, bell_.now())) roster_->news();
        },
        [this](const InstanceId& id, int tenths) {
          if (guestbook_.setIll(id, tenths)) roster_->news();
        }});
  }
  openDoors();
  startedAt_ = bell_.now();
  if (core_) {
    // Edges and sidecars outlive a core that is killed whole: the first of them has the book, or
    // they were all started anew and nobody has one.
    guestbook_.trickle(settings_.bootstrap ? startedAt_ : startedAt_ + kBookComes);
    roster_->onMet = [this](const NodeId& node) {
      const auto it = guestbook_.nodes().find(node);
      if (it == guestbook_.nodes().end() || it->second.core) return;
      guestbook_.trickle(bell_.now());
      if (guestbook_.settle(bell_.now())) roster_->news();
    };
  }
  logOf("hut").information("node " + settings_.nodeName + " has started");
  tick();
}

void Warden::openDoors() {
  // Sockets share what is left of the descriptors; callers must not use up what the mesh needs.
  const auto room = static_cast<std::size_t>(std::max(64, settings_.descriptors - 264));
  const auto open = [&](std::unique_ptr<Door>& door, const std::string& at, std::size_t guests,
                        std::function<void(const Visit::Ptr&)> serve) {
    if (at.empty()) return;
    door = std::make_unique<Door>(bell_, SocketAddress(at), guests);
    door->reception->onVisit = std::move(serve);
    door->reception->onRefused = [](ErrorKind kind) {
      logOf("saddle").debug(std::string("refused: ") + answerFor(kind).text);
    };
  };
  const bool gateway = !settings_.frontend.empty();
  open(egressDoor_, settings_.wayIn(), gateway ? room / 2 : room / 3,
       [this](const auto& v) { egress_->visit(v); });
  if (egressDoor_) {
    egressDoor_->reception->mayRunAhead = [this](const Visit& v) {
      return egress_->mayRunAhead(v);
    };
  }
  open(ingressDoor_, settings_.ingress, room / 3, [this](const auto& v) { ingress_->visit(v); });
  open(readyDoor_, settings_.readiness, 32, [this](const auto& v) { office_->visit(v); });
  open(controlDoor_, settings_.control, room / 3, [this](const auto& v) { office_->visit(v); });
  const SocketAddress inner(settings_.self.str(), settings_.internalPort);
  // Few pull from a sidecar or an edge. How many pull from a core while others are down, nobody
  // can say beforehand.
  open(nodeDoor_, inner.toString(), core_ ? std::max<std::size_t>(256, room / 2) : 256,
       [this](const auto& v) { serveNode(v); });
  if (controlDoor_) controlDoor_->reception->limits.bodyBytes = kControlBody;
  nodeDoor_->reception->limits.bodyBytes = 2 * kControlBody;
  if (ingressDoor_) ingressDoor_->reception->limits.headBytes = 128 * 1024;
}

void Warden::serveNode(const Visit::Ptr& visit) {
  whenWhole(visit, [this, visit](const std::string& body) {
    wire_.served(body.size());
    const auto reply = [this, visit](const std::string& text) {
      wire_.answered(text.size());
      visit->answer(200, "OK", text, "application/json");
    };
    const auto read = cairn::readDocument(body);
    const auto& path = visit->request.getURI();
    try {
      if (!read) throw std::runtime_error("no JSON");
      const auto& document = *read;
      if (path == "/news") {
        roster_->serve(document, reply);
        return;
      }
      if (path == "/register") {
        const auto ask = cairn::askFrom(document, &council_->shelf());
        const bool spare = ask.kind == cairn::Ask::Kind::prepare;
        council_->ask(ask, [this, visit, reader = readerOf(ask), spare,
                            reply](std::optional<cairn::Reply> said) {
          if (said) {
            reply(toJson(*said, reader, &council_->shelf(), spare).dump());
          } else {
            visit->fail(ErrorKind::noMajority);
          }
        });
        return;
      }
      visit->fail(ErrorKind::unknownCall);
    } catch (const cairn::NotOnShelf&) {
      visit->fail(ErrorKind::noMajority);  // it is sent whole the next time
    } catch (const std::exception& problem) {
      // As of another version of this program: one line now and then, not one a message.
      if (foreignAt_ == Instant() || bell_.now() - foreignAt_ > kForeignEvery) {
        foreignAt_ = bell_.now();
        logOf("hut").warning("a foreign message to " + path + " is refused: " + problem.what());
      }
      visit->fail(ErrorKind::foreignMessage);
    }
  });
}

void Warden::chosen(const Value& value) {
  // A node that carries no traffic needs the text only.
  if (value.config && egress_ && (!chart_ || value.revision() > chart_->revision())) {
    // It has passed the schema where it was taken.
    const auto document = cairn::readDocument(value.config->text());
    auto read = document ? cairn::Chart::read(*document, false)
                         : cairn::Chart::Read{nullptr, "not a document"};
    if (read.chart) {
      chart_ = read.chart;
      applyLimits();
      logOf("cairn").information("version " + std::to_string(value.revision().value) +
                                 " is in force here");
    } else {
      logOf("cairn").error("a chosen version can't be read: " + read.problem);
    }
  }
  if (roster_) roster_->news();
}

void Warden::applyLimits() {
  if (!egressDoor_) return;
  const auto& limits = chart_->limits();
  auto& mine = egressDoor_->reception->limits;
  mine.headBytes = limits.headBytes;
  mine.bodyBytes = limits.bodyBytes;
  mine.headerTime = limits.headerTime;
  mine.idleTime = limits.idleTime;
}

bool Warden::ready() const {
  if (stopping_ || council_->known().config == nullptr || !roster_->everPulled()) return false;
  // One that carries traffic is judged once: in a cut it stays ready with what it has.
  return egress_ ? wasCurrent_ : roster_->hasAuthority();
}

// A core acts for others (marks, duties, beat targets, acknowledged leavings) only while it is in
// touch with a majority; anybody else where it has something to say at all.
bool Warden::mayAct() const { return !core_ || roster_->hasAuthority(); }

void Warden::checkCurrent() {
  if (wasCurrent_ || !egress_ || council_->known().config == nullptr) return;
  const Instant now = bell_.now();
  if (!configAt_) configAt_ = now;
  wasCurrent_ = roster_->current() || now - *configAt_ > kTakeWhatIsThere;
}

void Warden::tick() {
  const Instant now = bell_.now();
  if (now - tickedAt_ > kStoodStill) listeningSince_ = now;
  tickedAt_ = now;
  const auto silent = fromSeconds(toSeconds(settings_.heartbeat) * kSilentBeats);
  if (guestbook_.expire(now, silent, kRememberGone)) {
    logOf("hut").information("a server beside this node is silent");
    roster_->news();
  }
  if (guestbook_.settle(now)) roster_->news();
  roster_->tick();
  council_->tick();
  checkCurrent();
  checkHeld();
  if (egress_ && now >= sweepAt_) {
    sweepAt_ = now + kSweep;
    egress_->sweep(now);
  }
  if (core_) {
    duties();
    watchNodes();
  }
  if (stopping_) drainOut();
  bell_.after(kTick, [this] { tick(); });
}

// The core machines and how they look from here.
cairn::VoterView Warden::voterView() {
  const Instant now = bell_.now();
  const auto& known = council_->known();
  cairn::VoterView view{known.voters, {}, settings_.tolerance};
  std::set<NodeId> machines = guestbook_.cores();
  machines.insert(known.voters.begin(), known.voters.end());
  std::erase_if(coreSeen_, [&](const auto& entry) { return !machines.contains(entry.first); });
  for (const auto& node : machines) {
    cairn::CoreView machine;
    machine.id = node;
    if (node == settings_.self) {
      machine.known = now - startedAt_;
      machine.heard = true;
      machine.awake = council_->awake();
      machine.leaving = stopping_.has_value();
    } else {
      const Instant seen = coreSeen_.try_emplace(node, now).first->second;
      machine.known = now - seen;
      // Only silence that this core was in a place to hear counts.
      machine.silent = now - std::max({roster_->lastHeard(node), seen, listeningSince_,
                                       roster_->authoritySince()});
      machine.heard = roster_->heardWithin(node, cairn::kVoterGone);
      const auto facts = guestbook_.nodes().find(node);
      if (facts != guestbook_.nodes().end()) {
        machine.awake = facts->second.awake;
        machine.leaving = facts->second.leaving;
      }
    }
    view.machines.push_back(std::move(machine));
  }
  return view;
}

void Warden::duties() {
  if (council_->awake() != guestbook_.self().awake) {
    guestbook_.sayAwake(council_->awake());
    roster_->news();
  }
  if (stopping_ || !council_->awake() || !mayAct()) return;
  const auto view = voterView();
  if (!cairn::holdsDuty(view, settings_.self)) return;
  // One that isn't a voter steps in only where it has listened for long enough to know them dead.
  if (!council_->known().isVoter(settings_.self) && bell_.now() - startedAt_ < 2 * kCoreLive) {
    return;
  }
  council_->keepVoters(view);
}

bool Warden::liveCore(const NodeId& node) const {
  if (node == settings_.self) return !stopping_;
  const auto it = guestbook_.nodes().find(node);
  return it != guestbook_.nodes().end() && it->second.core && !it->second.leaving &&
         !it->second.silent && roster_->heardWithin(node, kCoreLive);
}

// A server that leaves may be lost sight of by as many cores as may be lost at once. Beside its
// own server a node needs nobody: it closes the door itself.
void Warden::whenHeld(const InstanceId& id, std::function<void(bool)> done) {
  if (ingress_) {
    done(true);
    return;
  }
  if (!mayAct()) {
    done(false);  // the server asks another node
    return;
  }
  waits_.push_back({id, std::move(done), bell_.now() + kHoldLimit});
  checkHeld();
}

void Warden::checkHeld() {
  if (waits_.empty()) return;
  const auto& known = council_->known();
  const std::size_t others = known.voters.empty() ? 0 : known.voters.size() - 1;
  // One that is leaving doesn't count itself.
  const std::size_t wanted = std::min(settings_.tolerance + (stopping_ ? 1 : 0), others);
  std::vector<Wait> over;
  std::vector<bool> good;
  std::erase_if(waits_, [&](Wait& wait) {
    const auto dot = guestbook_.dotOf(wait.id);
    const bool held = mayAct() && (!dot || roster_->holders(*dot) >= wanted);
    if (!held && bell_.now() < wait.until) return false;
    over.push_back(std::move(wait));
    good.push_back(held);
    return true;
  });
  for (std::size_t i = 0; i < over.size(); ++i) over[i].done(good[i]);
}

// Rendezvous hashing spreads the servers over the live cores. One that comes here although its
// beats belong elsewhere has just failed there: it stays.
std::string Warden::beatTarget(const InstanceId& id) const {
  if (ingress_ || settings_.controlPort == 0 || !mayAct()) return "";
  const auto word = guestbook_.find(id);
  if (word && !word->silent && word->keeper == settings_.self && !stopping_) return "";
  const auto first = firstCore(id);
  if (first.empty() || first == settings_.self) return "";
  if (word && word->keeper == first) return "";
  return first.str() + ":" + std::to_string(settings_.controlPort);
}

// The live core that comes first in the order of an instance.
NodeId Warden::firstCore(const InstanceId& id) const {
  std::vector<NodeId> cores;
  for (const auto& node : guestbook_.cores()) {
    if (liveCore(node)) cores.push_back(node);
  }
  const auto order = rendezvous(NodeId(id.str()), cores, {});
  return order.empty() ? NodeId() : order.front();
}

// The cores that a node pulls from watch it. What they find silent is told to all; a node that is
// not says so itself. The servers it was hearing are given up by the first live core in their
// order.
void Warden::watchNodes() {
  if (stopping_ || !mayAct()) return;
  const Instant now = bell_.now();
  bool changed = false;
  std::set<NodeId> suspected;
  // Silence doesn't count before this core could hear again.
  const bool listening = now - roster_->authoritySince() > kNodeSilent;
  std::map<NodeId, Quiet> quiet;
  for (const auto& node : listening ? roster_->quietFor(kNodeSilent) : std::vector<NodeId>()) {
    const auto it = guestbook_.nodes().find(node);
    if (it == guestbook_.nodes().end() || it->second.leaving) continue;
    const auto& facts = it->second;
    const auto before = quiet_.find(node);
    auto& entry = quiet[node];
    if (before != quiet_.end()) {
      entry = before->second;
      // Somebody hears it, though nobody can from here.
      if (facts.incarnation > entry.incarnation) entry.leaveUntil = now + kDeniedFor;
    }
    entry.incarnation = facts.incarnation;
    if (!facts.silent && now >= entry.leaveUntil) suspected.insert(node);
  }
  quiet_.swap(quiet);
  suspected.swap(suspected_);
  for (const auto& node : suspected_) {
    if (suspected.contains(node)) continue;  // asked already
    roster_->probe(node, [this, node](bool there) {
      if (there || stopping_ || !mayAct() || !guestbook_.nodeSilent(node)) return;
      logOf("hut").information("node " + node.str() + " is silent");
      fleetChanged();
      roster_->news();
    });
  }
  const Span silent = fromSeconds(toSeconds(settings_.heartbeat) * kSilentBeats);
  changed = guestbook_.orphans(now, silent, [this](const InstanceId& id) {
    return firstCore(id) == settings_.self;
  }) || changed;
  if (changed) {
    fleetChanged();
    roster_->news();
  }
}

void Warden::fleetChanged() {
  if (!egress_ || fleetOf_ == guestbook_.nodeChanges()) return;
  fleetOf_ = guestbook_.nodeChanges();
  std::vector<trail::Drawer> nodes;
  std::size_t ever = 0;
  for (const auto& [node, facts] : guestbook_.nodes()) {
    if (facts.core) continue;
    ++ever;
    if (!facts.leaving && !facts.silent) nodes.push_back({node, facts.zone});
  }
  egress_->setFleet(std::move(nodes), ever);
}

json Warden::controlCounts() const {
  const auto& t = wire_.traffic();
  json out = {{"asked", t.asked},
              {"asked_bytes", t.askedBytes},
              {"told_bytes", t.toldBytes},
              {"served", t.served},
              {"served_bytes", t.servedBytes},
              {"answered_bytes", t.answeredBytes},
              {"pulling", roster_->pulling()},
              {"pulled_from", roster_->pulledFrom()}};
  if (cellar_) out["syncs"] = cellar_->saves();
  return out;
}

json Warden::status() {
  static const char* const kStatus[] = {"available", "draining", "gone"};
  const Instant now = bell_.now();
  json servers = json::array();
  for (const auto& s : guestbook_.servers()) {
    servers.push_back({{"instance", s.id.str()},
                       {"service", s.service.str()},
                       {"address", s.address},
                       {"zone", s.zone.str()},
                       {"slots", s.slots},
                       {"status", kStatus[static_cast<int>(s.status)]},
                       {"silent", s.silent},
                       {"failing_tenths", s.ill},
                       {"beats_to", s.keeper.str()}});
  }
  json nodes = json::array();
  for (const auto& [node, facts] : guestbook_.nodes()) {
    nodes.push_back({{"node", node.str()},
                     {"zone", facts.zone.str()},
                     {"core", facts.core},
                     {"leaving", facts.leaving},
                     {"silent", facts.silent},
                     {"awake", facts.awake},
                     {"heard", node == settings_.self || roster_->heardWithin(node, kCoreLive)}});
  }
  json voters = json::array();
  for (const auto& voter : council_->known().voters) voters.push_back(voter.str());
  json before = json::array();
  for (const auto& voter : council_->known().before) before.push_back(voter.str());
  json out = {{"node", settings_.nodeName},
              {"version", MERLIN_VERSION},
              {"ready", ready()},
              {"revision", council_->known().revision().value},
              {"in_force", chart_ ? chart_->revision().value : 0},
              {"epoch", council_->known().epoch},
              {"voters", std::move(voters)},
              {"voters_before", std::move(before)},
              {"votes", council_->voter() && council_->awake()},
              {"disk_trouble", council_->diskTrouble()},
              {"news_age_ms", roster_->newsAge().count() / 1000},
              {"current", roster_->current()},
              {"known_age_ms", ageOf(roster_->knownAge())},
              {"control", controlCounts()},
              {"nodes", std::move(nodes)},
              {"servers", std::move(servers)}};
  if (core_) out["margin"] = cairn::marginOf(voterView());
  if (core_) {
    out["authority"] = roster_->hasAuthority();
    out["authority_age_ms"] = ageOf(roster_->quorumAge());
  }
  if (egress_) {
    const auto& c = egress_->counts();
    out["egress"] = {{"requests", c.requests},
                     {"served", c.served},
                     {"refused", c.refused},
                     {"failed", c.failed},
                     {"sent_on", c.hops},
                     {"dialled", meshRopes_.dialled()},
                     {"in_flight", egress_->inFlight()}};
    json range = json::object();
    for (const auto& [service, view] : egress_->view(now)) {
      range[service.str()] = {{"in_range", view.inRange},
                              {"known", view.known},
                              {"left_alone", view.ejected},
                              {"connections_each", view.connections}};
    }
    out["egress"]["services"] = std::move(range);
  }
  if (ingress_) {
    const auto& c = ingress_->counts();
    out["ingress"] = {{"admitted", c.admitted}, {"queued", c.queued},
                      {"full", c.full},         {"not_there", c.notThere},
                      {"unclear", c.unclear},   {"dialled", appRopes_.dialled()}};
  }
  return out;
}

void Warden::stop() {
  if (stopping_) return;
  stopping_ = bell_.now();
  logOf("hut").information("stopping, what was taken is finished first");
  guestbook_.leave();
  roster_->news();
  for (auto* door : {egressDoor_.get(), ingressDoor_.get()}) {
    if (door != nullptr) door->reception->closing = true;
  }
}

// A core machine that is told to stop votes on until the voters no longer need it, or can't do
// without it: where nobody can take its place it needn't wait. Nor does it end as the only one that
// holds its news, or with a change under way.
bool Warden::handedOver() {
  if (!core_ || bell_.now() - *stopping_ > std::min(kHandOver, settings_.grace / 2)) return true;
  if (council_->busy()) return false;
  const auto view = voterView();
  if (council_->awake() && council_->known().isVoter(settings_.self)) {
    const auto next = cairn::nextVoters(view);
    if (next && std::find(next->begin(), next->end(), settings_.self) == next->end()) return false;
  }
  const auto others = std::count_if(view.machines.begin(), view.machines.end(), [&](const auto& m) {
    return m.id != settings_.self && m.heard && !m.gone();
  });
  const auto wanted = std::min(settings_.tolerance + 1, static_cast<std::size_t>(others));
  return roster_->holders(guestbook_.ownDot()) >= wanted;
}

void Warden::drainOut() {
  const Span since = bell_.now() - *stopping_;
  const int busy = (egress_ ? egress_->inFlight() : 0) + (ingress_ ? ingress_->running() : 0);
  const bool still = egress_ != nullptr && since < kStillComing;
  if (egress_ && !still) egress_->refuseAll(true);
  if (ingress_ && !still) ingress_->refuseAll();
  const Span most = std::max(Span(0), settings_.grace - kExitMargin);
  if ((busy == 0 && !still && since > kTick && handedOver()) || since > most) {
    roster_->stop();
    logOf("hut").information("stopped");
    bell_.after(kTick, [this] { bell_.stop(); });
  }
}

void Warden::reread() {
  auto read = readSettings(settingsPath_);
  if (!read.settings) {
    logOf("hut").error("the new settings are not taken: " + read.problem);
    return;
  }
  // Addresses and identity hold for the life of the process; the rest applies now.
  settings_.seeds = read.settings->seeds;
  settings_.heartbeat = read.settings->heartbeat;
  settings_.drainTimeout = read.settings->drainTimeout;
  settings_.grace = read.settings->grace;
  logOf("hut").information("settings read again");
}

}  // namespace merlin::hut
