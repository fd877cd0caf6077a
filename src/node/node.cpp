#include "node/node.hpp"

#include <Poco/Logger.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "config/config_schema.hpp"

namespace merlingauge::node {

using consensus::RegisterValue;
using http::HttpListener;
using http::ServerExchange;
using membership::Instance;
using nlohmann::json;
using Poco::Logger;
using Poco::Net::SocketAddress;

namespace {
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr double kSilentBeats = 2.6;  // a server silent for so many beats is dropped
constexpr Duration kRememberGone = std::chrono::seconds(60);
constexpr Duration kMeshConnect = std::chrono::milliseconds(300);
constexpr Duration kAppConnect = std::chrono::milliseconds(400);
constexpr Duration kStillComing = std::chrono::milliseconds(2300);  // callers notice a stop by then
constexpr Duration kExitMargin = std::chrono::milliseconds(400);
constexpr Duration kCoreLive = std::chrono::milliseconds(4000);
constexpr Duration kStoodStill = std::chrono::seconds(1);
constexpr Duration kHandOver = std::chrono::seconds(3);          // or half of the grace time
constexpr Duration kHoldLimit = std::chrono::milliseconds(800);  // a beat has a second
constexpr Duration kNodeSilent = std::chrono::milliseconds(4500);
constexpr Duration kDeniedFor = 2 * kNodeSilent;
// A node that carries traffic waits so long for somebody who knows what is current, then it takes
// what it has: the majority of the core may be down for long.
constexpr Duration kTakeWhatIsThere = std::chrono::seconds(6);
constexpr Duration kForeignEvery = std::chrono::seconds(10);
constexpr Duration kSweep = std::chrono::seconds(10);
constexpr Duration kBookComes = std::chrono::milliseconds(1500);  // from neighbours, after a start
constexpr double kPaceMs = 8;  // between two answers with news on one link, on a whole core
constexpr double kPaceMostMs = 250;
constexpr double kLetInMs = 3;  // of processor time: one newcomer is told everything
// At the very first start the cores find each other before everybody else comes.
constexpr Duration kFirstWait = std::chrono::milliseconds(500);
constexpr Duration kFirstSpread = std::chrono::milliseconds(1000);
constexpr int kSilentPeerMs =
    700;  // no sign of its kernel for so long: the server's machine is gone
constexpr std::size_t kControlBody = 8U << 20;

Logger& logOf(const char* part) { return Logger::get(part); }

// Null where there never was any.
json ageOf(Duration age) {
  return age > std::chrono::hours(24 * 365) ? json(nullptr) : json(age.count() / 1000);
}

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}
}  // namespace

Node::Node(event::EventLoop& loop, Settings settings, std::string settingsPath)
    : loop_(loop),
      settings_(std::move(settings)),
      settingsPath_(std::move(settingsPath)),
      isControlNode_(settings_.quorumMember && !settings_.dataDirectory.empty()),
      seed_(randomSeed()),
      upstreamPool_(
          loop, settings_.frontendAddress.empty()
                    ? http::ConnectionPool::Options{kMeshConnect, std::chrono::seconds(20), 64, 0}
                    : http::ConnectionPool::Options{kMeshConnect, std::chrono::seconds(9), 8,
                                                    kSilentPeerMs}),
      serverPool_(loop, {kAppConnect, std::chrono::seconds(20), 64, 0}),
      rpc_(loop, settings_.internalPort),
      // Lives of one machine rise with its steady clock; the guestbook steps over what others
      // remember where that clock has begun anew.
      registry_({settings_.nodeId, settings_.zone, isControlNode_, false, false, 0, Incarnation{}},
                Incarnation{static_cast<std::uint64_t>(
                    event::EventLoop::readClock().time_since_epoch().count())}) {}

Node::~Node() = default;

void Node::start() {
  if (isControlNode_) {
    const auto bytes = static_cast<std::size_t>(std::clamp(settings_.diskMb / 4, 8, 64)) << 20;
    store_ = std::make_unique<storage::DurableStore>(loop_, settings_.dataDirectory + "/register",
                                                     bytes);
  }
  control::RegisterObserver& observer = *this;
  registerService_ = std::make_unique<control::RegisterService>(
      loop_, rpc_, store_.get(), stalenessBound_, observer,
      control::RegisterServiceOptions{settings_.nodeId, settings_.cpuCores, settings_.bootstrap,
                                      settings_.seeds},
      seed_ + 1);
  gossip::GossipService::Environment world;
  world.now = [this] { return loop_.now(); };
  world.readClock = [] { return event::EventLoop::readClock(); };
  world.after = [this](Duration wait, event::EventLoop::Task work) {
    return loop_.after(wait, std::move(work));
  };
  world.cancel = [this](event::EventLoop::TimerId id) { loop_.cancel(id); };
  world.send = [this](const NodeId& to, const json& body, Duration limit,
                      rpc::PeerRpc::ResponseCallback answer) {
    rpc_.call(to, "/news", body, limit, std::move(answer));
  };
  const auto pace =
      fromMillis(std::clamp(kPaceMs / std::max(settings_.cpuCores, 0.001), 0.0, kPaceMostMs));
  const auto letIn =
      fromMillis(std::clamp(kLetInMs / std::max(settings_.cpuCores, 0.001), 0.0, kPaceMostMs));
  const bool waits = settings_.bootstrap && !isControlNode_;
  const auto firstWait =
      waits ? kFirstWait + Duration(static_cast<std::int64_t>(
                               seed_ % static_cast<std::uint64_t>(kFirstSpread.count())))
            : Duration(0);
  gossip_ = std::make_unique<gossip::GossipService>(gossip::GossipService::Dependencies{
      std::move(world), settings_.nodeId, settings_.zone,
      [this]() -> const std::vector<NodeId>& { return settings_.seeds; }, registry_,
      [this]() -> const RegisterValue& { return registerService_->committedValue(); },
      [this](std::uint64_t has) -> const std::string& {
        return registerService_->committedValueJson(has);
      },
      [this](const json& j) { return consensus::valueFromJson(j, &registerService_->textCache()); },
      [this](const RegisterValue& value) { registerService_->learn(value); }, stalenessBound_,
      [this] { return registerService_->ownAcceptedAsOf(); }, [this] { onNodesChanged(); },
      isControlNode_, settings_.frontendAddress.empty(), pace, letIn, firstWait});
  gossip_->onPeerProgress = [this] { checkReplicationWaits(); };
  gossip_->onLeaseChange = [](bool has) {
    if (has) {
      logOf("hut").information("in touch with a majority of the voters");
    } else {
      logOf("hut").warning("out of touch with the majority of the voters, acting for nobody");
    }
  };
  control::ControlApiHost& host = *this;
  controlApi_ = std::make_unique<control::ControlApi>(
      loop_, host, *registerService_, registry_,
      control::ConfigChangeLimits{2 * settings_.faultTolerance + 1,
                                  store_ ? store_->maxTextBytes() : kControlBody});
  if (!settings_.clientAddress().empty()) {
    const bool gateway = !settings_.frontendAddress.empty();
    std::unique_ptr<proxy::UpstreamTransport> transport;
    if (gateway) {
      transport = std::make_unique<proxy::DirectTransport>();
    } else {
      transport = std::make_unique<proxy::MeshTransport>(settings_.ingressPort);
    }
    egress_ = std::make_unique<proxy::Egress>(proxy::Egress::Dependencies{
        loop_, upstreamPool_, registry_, [this] { return routeTable_; },
        [this] { return gossip_->isUpToDate(); }, std::move(transport), settings_.targetService,
        settings_.nodeId, settings_.zone, gateway,
        proxy::RetryBudgetOptions{settings_.retryBudgetRatio, settings_.retryBudgetSlack,
                                  settings_.retryWindow},
        seed_ + 2});
  }
  if (!settings_.ingressAddress.empty()) {
    ingress_ = std::make_unique<proxy::Ingress>(
        proxy::Ingress::Dependencies{loop_, serverPool_, settings_.appAddress,
                                     [this](const InstanceId& id) -> std::optional<Instance> {
                                       return registry_.findReportedHere(id);
                                     },
                                     settings_.drainTimeout,
                                     [this](const InstanceId& id) {
                                       if (registry_.markUnresponsive(id, loop_.now()))
                                         gossip_->notifyUpdate();
                                     },
                                     [this](const InstanceId& id, int tenths) {
                                       if (registry_.setFailingTenths(id, tenths))
                                         gossip_->notifyUpdate();
                                     }});
  }
  openListeners();
  startedAt_ = loop_.now();
  if (isControlNode_) {
    // Edges and sidecars outlive a core that is killed whole: the first of them has the book, or
    // they were all started anew and nobody has one.
    registry_.throttleUpdatesUntil(settings_.bootstrap ? startedAt_ : startedAt_ + kBookComes);
    gossip_->onFirstContact = [this](const NodeId& node) {
      const auto it = registry_.nodes().find(node);
      if (it == registry_.nodes().end() || it->second.isControlNode) return;
      registry_.throttleUpdatesUntil(loop_.now());
      if (registry_.releaseThrottledUpdates(loop_.now())) gossip_->notifyUpdate();
    };
  }
  logOf("hut").information("node " + settings_.nodeName + " has started");
  tick();
}

void Node::onInstanceUpdate(const Instance& instance) {
  if (ingress_) ingress_->onInstanceUpdate(instance, loop_.now());
}

void Node::onRegistryChanged() { gossip_->notifyUpdate(); }

void Node::openListeners() {
  // Sockets share what is left of the descriptors; callers must not use up what the mesh needs.
  const auto room = static_cast<std::size_t>(std::max(64, settings_.maxDescriptors - 264));
  const auto open = [&](std::unique_ptr<HttpListener>& listener, const std::string& at,
                        std::size_t guests, std::function<void(const ServerExchange::Ptr&)> serve) {
    if (at.empty()) return;
    listener = std::make_unique<HttpListener>(loop_, SocketAddress(at), guests);
    listener->context->onExchange = std::move(serve);
    listener->context->onRejected = [](ErrorKind kind) {
      logOf("saddle").debug(std::string("refused: ") + responseFor(kind).message);
    };
  };
  const bool gateway = !settings_.frontendAddress.empty();
  open(egressListener_, settings_.clientAddress(), gateway ? room / 2 : room / 3,
       [this](const auto& v) { egress_->handle(v); });
  if (egressListener_) {
    egressListener_->context->mayPipeline = [this](const ServerExchange& v) {
      return egress_->mayPipeline(v);
    };
  }
  open(ingressListener_, settings_.ingressAddress, room / 3,
       [this](const auto& v) { ingress_->handle(v); });
  open(readinessListener_, settings_.readinessAddress, 32,
       [this](const auto& v) { controlApi_->handle(v); });
  open(controlListener_, settings_.controlAddress, room / 3,
       [this](const auto& v) { controlApi_->handle(v); });
  const SocketAddress inner(settings_.nodeId.str(), settings_.internalPort);
  // Few pull from a sidecar or an edge. How many pull from a core while others are down, nobody
  // can say beforehand.
  open(peerListener_, inner.toString(), isControlNode_ ? std::max<std::size_t>(256, room / 2) : 256,
       [this](const auto& v) { handlePeerRequest(v); });
  if (controlListener_) controlListener_->context->limits.maxBodyBytes = kControlBody;
  peerListener_->context->limits.maxBodyBytes = 2 * kControlBody;
  if (ingressListener_) ingressListener_->context->limits.maxHeadBytes = 128 * 1024;
}

void Node::handlePeerRequest(const ServerExchange::Ptr& exchange) {
  rpc::whenBodyComplete(exchange, [this, exchange](const std::string& body) {
    rpc_.countRequest(body.size());
    const auto reply = [this, exchange](const std::string& text) {
      rpc_.countResponse(text.size());
      exchange->respond(200, "OK", text, "application/json");
    };
    const auto read = config::parseDocument(body);
    const auto& path = exchange->request.getURI();
    try {
      if (!read) throw std::runtime_error("no JSON");
      const auto& document = *read;
      if (path == "/news") {
        gossip_->handlePull(document, reply);
        return;
      }
      if (path == "/register") {
        const auto ask = consensus::requestFromJson(document, &registerService_->textCache());
        const bool spare = ask.kind == consensus::RegisterRequest::Kind::prepare;
        registerService_->handleRequest(
            ask, [this, exchange, reader = consensus::receiverStateOf(ask), spare,
                  reply](std::optional<consensus::RegisterReply> said) {
              if (said) {
                reply(toJson(*said, reader, &registerService_->textCache(), spare).dump());
              } else {
                exchange->respondError(ErrorKind::noQuorum);
              }
            });
        return;
      }
      exchange->respondError(ErrorKind::unknownOperation);
    } catch (const consensus::MissingCachedText&) {
      exchange->respondError(ErrorKind::noQuorum);  // it is sent whole the next time
    } catch (const std::exception& problem) {
      // As of another version of this program: one line now and then, not one a message.
      if (incompatibleLoggedAt_ == TimePoint() ||
          loop_.now() - incompatibleLoggedAt_ > kForeignEvery) {
        incompatibleLoggedAt_ = loop_.now();
        logOf("hut").warning("a foreign message to " + path + " is refused: " + problem.what());
      }
      exchange->respondError(ErrorKind::incompatibleMessage);
    }
  });
}

void Node::onCommitted(const RegisterValue& value) {
  // A node that carries no traffic needs the text only.
  if (value.config && egress_ && (!routeTable_ || value.revision() > routeTable_->revision())) {
    // It has passed the schema where it was taken.
    const auto document = config::parseDocument(value.config->text());
    auto read = document ? config::RouteTable::parse(*document, false)
                         : config::RouteTable::ParseResult{nullptr, "not a document"};
    if (read.table) {
      routeTable_ = read.table;
      applyLimits();
      logOf("cairn").information("version " + std::to_string(value.revision().value) +
                                 " is in force here");
    } else {
      logOf("cairn").error("a chosen version can't be read: " + read.error);
    }
  }
  if (gossip_) gossip_->notifyUpdate();
}

void Node::applyLimits() {
  if (!egressListener_) return;
  const auto& limits = routeTable_->limits();
  auto& mine = egressListener_->context->limits;
  mine.maxHeadBytes = limits.maxHeadBytes;
  mine.maxBodyBytes = limits.maxBodyBytes;
  mine.headerTimeout = limits.headerTimeout;
  mine.idleTimeout = limits.idleTimeout;
}

bool Node::isReady() const {
  if (shutdownSince_ || registerService_->committedValue().config == nullptr ||
      !gossip_->hasPulled())
    return false;
  // One that carries traffic is judged once: in a cut it stays ready with what it has.
  return egress_ ? wasUpToDate_ : gossip_->hasQuorumLease();
}

// A core acts for others (marks, duties, beat targets, acknowledged leavings) only while it is in
// touch with a majority; anybody else where it has something to say at all.
bool Node::mayAct() const { return !isControlNode_ || gossip_->hasQuorumLease(); }

void Node::checkUpToDate() {
  if (wasUpToDate_ || !egress_ || registerService_->committedValue().config == nullptr) return;
  const TimePoint now = loop_.now();
  if (!firstConfigAt_) firstConfigAt_ = now;
  wasUpToDate_ = gossip_->isUpToDate() || now - *firstConfigAt_ > kTakeWhatIsThere;
}

void Node::tick() {
  const TimePoint now = loop_.now();
  if (now - tickedAt_ > kStoodStill) listeningSince_ = now;
  tickedAt_ = now;
  const auto silent = fromSeconds(toSeconds(settings_.heartbeatInterval) * kSilentBeats);
  if (registry_.expireInstances(now, silent, kRememberGone)) {
    logOf("hut").information("a server beside this node is silent");
    gossip_->notifyUpdate();
  }
  if (registry_.releaseThrottledUpdates(now)) gossip_->notifyUpdate();
  gossip_->tick();
  registerService_->tick();
  checkUpToDate();
  checkReplicationWaits();
  if (egress_ && now >= sweepAt_) {
    sweepAt_ = now + kSweep;
    egress_->expireLoads(now);
  }
  if (isControlNode_) {
    maintainVoterSet();
    detectNodeFailures();
  }
  if (shutdownSince_) continueShutdown();
  loop_.after(kTick, [this] { tick(); });
}

// The core machines and how they look from here.
consensus::VoterSetView Node::voterSetView() {
  const TimePoint now = loop_.now();
  const auto& known = registerService_->committedValue();
  consensus::VoterSetView view{known.voters, {}, settings_.faultTolerance};
  std::set<NodeId> machines = registry_.controlNodes();
  machines.insert(known.voters.begin(), known.voters.end());
  std::erase_if(controlNodeFirstSeen_,
                [&](const auto& entry) { return !machines.contains(entry.first); });
  for (const auto& node : machines) {
    consensus::ControlNodeView machine;
    machine.id = node;
    if (node == settings_.nodeId) {
      machine.knownFor = now - startedAt_;
      machine.heardRecently = true;
      machine.recovered = registerService_->recovered();
      machine.shuttingDown = shutdownSince_.has_value();
    } else {
      const TimePoint seen = controlNodeFirstSeen_.try_emplace(node, now).first->second;
      machine.knownFor = now - seen;
      // Only silence that this core was in a place to hear counts.
      machine.silentFor = now - std::max({gossip_->lastHeard(node), seen, listeningSince_,
                                          gossip_->leaseHeldSince()});
      machine.heardRecently = gossip_->heardWithin(node, consensus::kVoterUnresponsiveAfter);
      const auto facts = registry_.nodes().find(node);
      if (facts != registry_.nodes().end()) {
        machine.recovered = facts->second.recovered;
        machine.shuttingDown = facts->second.shuttingDown;
      }
    }
    view.nodes.push_back(std::move(machine));
  }
  return view;
}

void Node::maintainVoterSet() {
  if (registerService_->recovered() != registry_.selfInfo().recovered) {
    registry_.announceRecovered(registerService_->recovered());
    gossip_->notifyUpdate();
  }
  if (shutdownSince_ || !registerService_->recovered() || !mayAct()) return;
  const auto view = voterSetView();
  if (!consensus::ownsVoterSetRole(view, settings_.nodeId)) return;
  // One that isn't a voter steps in only where it has listened for long enough to know them dead.
  if (!registerService_->committedValue().isVoter(settings_.nodeId) &&
      loop_.now() - startedAt_ < 2 * kCoreLive) {
    return;
  }
  registerService_->maintainVoterSet(view);
}

bool Node::isLiveControlNode(const NodeId& node) const {
  if (node == settings_.nodeId) return !shutdownSince_;
  const auto it = registry_.nodes().find(node);
  return it != registry_.nodes().end() && it->second.isControlNode && !it->second.shuttingDown &&
         !it->second.unresponsive && gossip_->heardWithin(node, kCoreLive);
}

// A server that leaves may be lost sight of by as many cores as may be lost at once. Beside its
// own server a node needs nobody: it closes the door itself.
void Node::whenReplicated(const InstanceId& id, std::function<void(bool)> done) {
  if (ingress_) {
    done(true);
    return;
  }
  if (!mayAct()) {
    done(false);  // the server asks another node
    return;
  }
  replicationWaits_.push_back({id, std::move(done), loop_.now() + kHoldLimit});
  checkReplicationWaits();
}

void Node::checkReplicationWaits() {
  if (replicationWaits_.empty()) return;
  const auto& known = registerService_->committedValue();
  const std::size_t others = known.voters.empty() ? 0 : known.voters.size() - 1;
  // One that is leaving doesn't count itself.
  const std::size_t wanted = std::min(settings_.faultTolerance + (shutdownSince_ ? 1 : 0), others);
  std::vector<ReplicationWait> over;
  std::vector<bool> good;
  std::erase_if(replicationWaits_, [&](ReplicationWait& wait) {
    const auto dot = registry_.dotOf(wait.id);
    const bool held = mayAct() && (!dot || gossip_->replicaCount(*dot) >= wanted);
    if (!held && loop_.now() < wait.deadline) return false;
    over.push_back(std::move(wait));
    good.push_back(held);
    return true;
  });
  for (std::size_t i = 0; i < over.size(); ++i) over[i].done(good[i]);
}

// Rendezvous hashing spreads the servers over the live cores. One that comes here although its
// beats belong elsewhere has just failed there: it stays.
std::string Node::heartbeatTarget(const InstanceId& id) const {
  if (ingress_ || settings_.controlPort == 0 || !mayAct()) return "";
  const auto word = registry_.findInstance(id);
  if (word && !word->unresponsive && word->reporter == settings_.nodeId && !shutdownSince_)
    return "";
  const auto first = firstLiveControlNode(id);
  if (first.empty() || first == settings_.nodeId) return "";
  if (word && word->reporter == first) return "";
  return first.str() + ":" + std::to_string(settings_.controlPort);
}

// The live core that comes first in the order of an instance.
NodeId Node::firstLiveControlNode(const InstanceId& id) const {
  std::vector<NodeId> cores;
  for (const auto& node : registry_.controlNodes()) {
    if (isLiveControlNode(node)) cores.push_back(node);
  }
  const auto order = gossip::rendezvousOrder(NodeId(id.str()), cores, {});
  return order.empty() ? NodeId() : order.front();
}

// The cores that a node pulls from watch it. What they find silent is told to all; a node that is
// not says so itself. The servers it was hearing are given up by the first live core in their
// order.
void Node::detectNodeFailures() {
  if (shutdownSince_ || !mayAct()) return;
  const TimePoint now = loop_.now();
  bool changed = false;
  std::set<NodeId> suspected;
  // Silence doesn't count before this core could hear again.
  const bool listening = now - gossip_->leaseHeldSince() > kNodeSilent;
  std::map<NodeId, SilentNode> quiet;
  for (const auto& node : listening ? gossip_->unheardFor(kNodeSilent) : std::vector<NodeId>()) {
    const auto it = registry_.nodes().find(node);
    if (it == registry_.nodes().end() || it->second.shuttingDown) continue;
    const auto& facts = it->second;
    const auto before = silentNodes_.find(node);
    auto& entry = quiet[node];
    if (before != silentNodes_.end()) {
      entry = before->second;
      // Somebody hears it, though nobody can from here.
      if (facts.infoVersion > entry.infoVersion) entry.ignoreUntil = now + kDeniedFor;
    }
    entry.infoVersion = facts.infoVersion;
    if (!facts.unresponsive && now >= entry.ignoreUntil) suspected.insert(node);
  }
  silentNodes_.swap(quiet);
  suspected.swap(suspected_);
  for (const auto& node : suspected_) {
    if (suspected.contains(node)) continue;  // asked already
    gossip_->probe(node, [this, node](bool there) {
      if (there || shutdownSince_ || !mayAct() || !registry_.markNodeUnresponsive(node)) return;
      logOf("hut").information("node " + node.str() + " is silent");
      onNodesChanged();
      gossip_->notifyUpdate();
    });
  }
  const Duration silent = fromSeconds(toSeconds(settings_.heartbeatInterval) * kSilentBeats);
  changed = registry_.markOrphans(now, silent, [this](const InstanceId& id) {
    return firstLiveControlNode(id) == settings_.nodeId;
  }) || changed;
  if (changed) {
    onNodesChanged();
    gossip_->notifyUpdate();
  }
}

void Node::onNodesChanged() {
  if (!egress_ || nodeChangesSeen_ == registry_.nodeChangeCount()) return;
  nodeChangesSeen_ = registry_.nodeChangeCount();
  std::vector<proxy::ProxyNode> nodes;
  std::size_t ever = 0;
  for (const auto& [node, facts] : registry_.nodes()) {
    if (facts.isControlNode) continue;
    ++ever;
    if (!facts.shuttingDown && !facts.unresponsive) nodes.push_back({node, facts.zone});
  }
  egress_->setProxyNodes(std::move(nodes), ever);
}

json Node::controlCounts() const {
  const auto& t = rpc_.traffic();
  json out = {{"asked", t.requestsSent},
              {"asked_bytes", t.requestBytesSent},
              {"told_bytes", t.responseBytesReceived},
              {"served", t.requestsReceived},
              {"served_bytes", t.requestBytesReceived},
              {"answered_bytes", t.responseBytesSent},
              {"pulling", gossip_->pullTargetCount()},
              {"pulled_from", gossip_->pendingPollCount()}};
  if (store_) out["syncs"] = store_->commitCount();
  return out;
}

json Node::status() {
  static const char* const kStatus[] = {"available", "draining", "gone"};
  const TimePoint now = loop_.now();
  json servers = json::array();
  for (const auto& s : registry_.instances()) {
    servers.push_back({{"instance", s.id.str()},
                       {"service", s.service.str()},
                       {"address", s.address},
                       {"zone", s.zone.str()},
                       {"slots", s.capacity},
                       {"status", kStatus[static_cast<int>(s.status)]},
                       {"silent", s.unresponsive},
                       {"failing_tenths", s.failingTenths},
                       {"beats_to", s.reporter.str()}});
  }
  json nodes = json::array();
  for (const auto& [node, facts] : registry_.nodes()) {
    nodes.push_back({{"node", node.str()},
                     {"zone", facts.zone.str()},
                     {"core", facts.isControlNode},
                     {"leaving", facts.shuttingDown},
                     {"silent", facts.unresponsive},
                     {"awake", facts.recovered},
                     {"heard", node == settings_.nodeId || gossip_->heardWithin(node, kCoreLive)}});
  }
  json voters = json::array();
  for (const auto& voter : registerService_->committedValue().voters) voters.push_back(voter.str());
  json before = json::array();
  for (const auto& voter : registerService_->committedValue().previousVoters)
    before.push_back(voter.str());
  json out = {{"node", settings_.nodeName},
              {"version", MERLINGAUGE_VERSION},
              {"ready", isReady()},
              {"revision", registerService_->committedValue().revision().value},
              {"in_force", routeTable_ ? routeTable_->revision().value : 0},
              {"epoch", registerService_->committedValue().epoch},
              {"voters", std::move(voters)},
              {"voters_before", std::move(before)},
              {"votes", registerService_->isVoter() && registerService_->recovered()},
              {"disk_trouble", registerService_->storageFailing()},
              {"news_age_ms", gossip_->controlContactAge().count() / 1000},
              {"current", gossip_->isUpToDate()},
              {"known_age_ms", ageOf(gossip_->stalenessAge())},
              {"control", controlCounts()},
              {"nodes", std::move(nodes)},
              {"servers", std::move(servers)}};
  if (isControlNode_) out["margin"] = consensus::quorumMargin(voterSetView());
  if (isControlNode_) {
    out["authority"] = gossip_->hasQuorumLease();
    out["authority_age_ms"] = ageOf(gossip_->quorumContactAge());
  }
  if (egress_) {
    const auto& c = egress_->stats();
    out["egress"] = {
        {"requests", c.requests},          {"served", c.served},
        {"refused", c.rejected},           {"failed", c.failed},
        {"sent_on", c.attempts},           {"dialled", upstreamPool_.connectionsOpened()},
        {"in_flight", egress_->inFlight()}};
    json range = json::object();
    for (const auto& [service, view] : egress_->subsetViews(now)) {
      range[service.str()] = {{"in_range", view.selected},
                              {"known", view.known},
                              {"left_alone", view.ejected},
                              {"connections_each", view.connections}};
    }
    out["egress"]["services"] = std::move(range);
  }
  if (ingress_) {
    const auto& c = ingress_->stats();
    out["ingress"] = {{"admitted", c.admitted},      {"queued", c.queued},
                      {"full", c.overloaded},        {"not_there", c.unavailable},
                      {"unclear", c.unknownOutcome}, {"dialled", serverPool_.connectionsOpened()}};
  }
  return out;
}

void Node::stop() {
  if (shutdownSince_) return;
  shutdownSince_ = loop_.now();
  logOf("hut").information("stopping, what was taken is finished first");
  registry_.announceShutdown();
  gossip_->notifyUpdate();
  for (auto* listener : {egressListener_.get(), ingressListener_.get()}) {
    if (listener != nullptr) listener->context->draining = true;
  }
}

// A core machine that is told to stop votes on until the voters no longer need it, or can't do
// without it: where nobody can take its place it needn't wait. Nor does it end as the only one that
// holds its news, or with a change under way.
bool Node::hasHandedOver() {
  if (!isControlNode_ ||
      loop_.now() - *shutdownSince_ > std::min(kHandOver, settings_.gracePeriod / 2))
    return true;
  if (registerService_->hasPendingWork()) return false;
  const auto view = voterSetView();
  if (registerService_->recovered() &&
      registerService_->committedValue().isVoter(settings_.nodeId)) {
    const auto next = consensus::nextVoterSet(view);
    if (next && std::find(next->begin(), next->end(), settings_.nodeId) == next->end())
      return false;
  }
  const auto others = std::count_if(view.nodes.begin(), view.nodes.end(), [&](const auto& m) {
    return m.id != settings_.nodeId && m.heardRecently && !m.unavailable();
  });
  const auto wanted = std::min(settings_.faultTolerance + 1, static_cast<std::size_t>(others));
  return gossip_->replicaCount(registry_.selfDot()) >= wanted;
}

void Node::continueShutdown() {
  const Duration since = loop_.now() - *shutdownSince_;
  const int busy = (egress_ ? egress_->inFlight() : 0) + (ingress_ ? ingress_->running() : 0);
  const bool still = egress_ != nullptr && since < kStillComing;
  if (egress_ && !still) egress_->rejectNewRequests(true);
  if (ingress_ && !still) ingress_->rejectNewRequests();
  const Duration most = std::max(Duration(0), settings_.gracePeriod - kExitMargin);
  if ((busy == 0 && !still && since > kTick && hasHandedOver()) || since > most) {
    gossip_->stop();
    logOf("hut").information("stopped");
    loop_.after(kTick, [this] { loop_.stop(); });
  }
}

void Node::reloadSettings() {
  const auto loaded = loadSettings(settingsPath_);
  if (const auto* error = std::get_if<SettingsError>(&loaded)) {
    logOf("hut").error("the new settings are not taken: " + error->message());
    return;
  }
  // Addresses and identity hold for the life of the process; the rest applies now.
  const auto& reloaded = std::get<Settings>(loaded);
  settings_.seeds = reloaded.seeds;
  settings_.heartbeatInterval = reloaded.heartbeatInterval;
  settings_.drainTimeout = reloaded.drainTimeout;
  settings_.gracePeriod = reloaded.gracePeriod;
  logOf("hut").information("settings read again");
}

}  // namespace merlingauge::node
