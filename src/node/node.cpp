#include "node/node.hpp"

#include <Poco/Logger.h>

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include "proxy/direct_transport.hpp"
#include "proxy/mesh_transport.hpp"

namespace merlingauge::node {

using consensus::RegisterValue;

namespace {
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// What is remembered of the load of endpoints not used any more is dropped this often.
constexpr Duration kLoadExpiryInterval = std::chrono::seconds(10);

// A connection that takes longer than this to come up is given up, so that the request can go
// elsewhere within its deadline.
constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kServerConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration kIdleKeptFor = std::chrono::seconds(20);
constexpr int kIdleKeptPerAddress = 64;
// An edge connects to the servers themselves, which are many: fewer idle connections, kept for less
// long, and ended when the server's machine is gone, that is when its kernel has acknowledged
// nothing for kMachineGoneAfter.
constexpr Duration kEdgeIdleKeptFor = std::chrono::seconds(9);
constexpr int kEdgeIdleKeptPerAddress = 8;
constexpr std::chrono::milliseconds kMachineGoneAfter{700};

// Gossip takes processor time; a node with little of it spaces its messages by these costs of one
// whole core, up to a limit.
constexpr double kUpdateCostMs = 8;    // between two responses with updates to one puller
constexpr double kFullSyncCostMs = 3;  // between two newcomers that are sent everything
constexpr double kMaxSpacingMs = 250;
constexpr double kMinCpuCores = 0.001;  // below this a cpu_share is taken for a mistake
// At the very first start the control nodes find each other before everybody else comes.
constexpr Duration kFirstStartDelay = std::chrono::milliseconds(500);
constexpr Duration kFirstStartSpread = std::chrono::milliseconds(1000);

// The store's file may grow to this part of the disk, within limits.
constexpr int kStoreDiskPart = 4;
constexpr int kMinStoreMb = 8;
constexpr int kMaxStoreMb = 64;

Poco::Logger& logger() { return Poco::Logger::get("node"); }

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

// Incarnations of one machine rise with its monotonic clock. Where that clock has begun anew, the
// registry steps over the incarnation that others remember.
Incarnation newIncarnation() {
  const auto sinceBoot = event::EventLoop::readClock().time_since_epoch();
  return Incarnation{static_cast<std::uint64_t>(sinceBoot.count())};
}

membership::NodeInfo selfInfo(const Settings& settings) {
  membership::NodeInfo self;
  self.id = settings.nodeId;
  self.zone = settings.zone;
  self.isControlNode = settings.isControlNode();
  return self;
}

http::ConnectionPool::Options upstreamPoolOptions(
    const Settings& settings, const std::shared_ptr<http::ResponseInvariantCounters>& invariants) {
  http::ConnectionPool::Options options;
  options.connectTimeout = kPeerConnectTimeout;
  options.invariants = invariants;
  if (settings.isGateway()) {
    options.idleTimeout = kEdgeIdleKeptFor;
    options.maxIdlePerAddress = kEdgeIdleKeptPerAddress;
    options.silenceTimeout = kMachineGoneAfter;
  } else {
    options.idleTimeout = kIdleKeptFor;
    options.maxIdlePerAddress = kIdleKeptPerAddress;
    options.answersMayEndByClose = false;  // an ingress frames every answer
    options.answersAreOfNodes = true;
  }
  return options;
}

http::ConnectionPool::Options serverPoolOptions() {
  http::ConnectionPool::Options options;
  options.connectTimeout = kServerConnectTimeout;
  options.idleTimeout = kIdleKeptFor;
  options.maxIdlePerAddress = kIdleKeptPerAddress;
  return options;
}

Duration spacing(double costMs, const Settings& settings) {
  const double cores = std::max(settings.cpuCores, kMinCpuCores);
  return fromMillis(std::clamp(costMs / cores, 0.0, kMaxSpacingMs));
}

Duration firstGossipDelay(const Settings& settings, std::uint64_t seed) {
  if (!settings.bootstrap || settings.isControlNode()) return Duration(0);
  const auto spread = static_cast<std::uint64_t>(kFirstStartSpread.count());
  return kFirstStartDelay + Duration(static_cast<std::int64_t>(seed % spread));
}

control::RegisterServiceOptions registerServiceOptions(const Settings& settings) {
  return {settings.nodeId, settings.cpuCores, settings.bootstrap, settings.seeds};
}

gossip::GossipOptions gossipOptions(const Settings& settings, std::uint64_t seed) {
  gossip::GossipOptions options;
  options.self = settings.nodeId;
  options.zone = settings.zone;
  options.seeds = settings.seeds;
  options.isControlNode = settings.isControlNode();
  options.receivesHeartbeats = !settings.isGateway();
  options.updateInterval = spacing(kUpdateCostMs, settings);
  options.fullSyncInterval = spacing(kFullSyncCostMs, settings);
  options.initialDelay = firstGossipDelay(settings, seed);
  return options;
}
}  // namespace

Node::Node(event::EventLoop& loop, Settings settings, std::string settingsPath)
    : loop_(loop),
      settings_(std::move(settings)),
      settingsPath_(std::move(settingsPath)),
      seed_(randomSeed()),
      upstreamPool_(loop, upstreamPoolOptions(settings_, invariants_)),
      serverPool_(loop, serverPoolOptions()),
      rpc_(loop, settings_.internalPort, invariants_),
      gossipEnvironment_(loop, rpc_),
      registry_(selfInfo(settings_), newIncarnation()),
      store_(openStore()),
      registerService_(loop_, rpc_, store_.get(), stalenessBound_, *this,
                       registerServiceOptions(settings_), seed_ + 1),
      gossip_({gossipEnvironment_, registry_, registerService_, stalenessBound_},
              gossipOptions(settings_, seed_), *this),
      egressBindings_(configApplier_, gossip_),
      ingressBindings_(loop_, registry_, gossip_),
      egress_(createEgress()),
      ingress_(createIngress()),
      proxyNodes_(registry_, egress_.get()),
      controlNodes_(lifecycle_, registry_, gossip_),
      startupThrottle_(settings_, registry_, gossip_),
      failureDetector_(settings_, lifecycle_, registry_, gossip_, controlNodes_, proxyNodes_),
      replicationWaiter_(settings_, lifecycle_, registry_, registerService_, gossip_,
                         controlNodes_),
      heartbeatRouter_(settings_, lifecycle_, registry_, controlNodes_),
      voterSet_(settings_, lifecycle_, registry_, registerService_, gossip_),
      voterRole_(settings_, lifecycle_, registry_, registerService_, gossip_, controlNodes_,
                 voterSet_),
      readiness_(settings_, lifecycle_, registerService_, gossip_),
      statusReport_(statusSources()),
      controlApiBindings_({loop_, heartbeatRouter_, readiness_, statusReport_, replicationWaiter_,
                           gossip_, ingress_.get()}),
      controlApi_(loop_, controlApiBindings_, registerService_, registry_, configChangeLimits()),
      peerEndpoint_(loop_, rpc_, gossip_, registerService_),
      listeners_(loop_, settings_,
                 {egress_.get(), ingress_.get(), controlApi_, peerEndpoint_, invariants_}),
      metricsReport_(statusSources(), listeners_),
      metricsEndpoint_(loop_, settings_, metricsReport_, invariants_),
      shutdown_(loop_, settings_, lifecycle_,
                {listeners_, registry_, registerService_, gossip_, voterSet_, egress_.get(),
                 ingress_.get()}) {}

Node::~Node() = default;

StatusSources Node::statusSources() {
  return {loop_,        settings_,     registry_,      registerService_,
          gossip_,      rpc_,          configApplier_, controlNodes_,
          readiness_,   voterSet_,     upstreamPool_,  serverPool_,
          store_.get(), egress_.get(), ingress_.get(), *invariants_};
}

std::unique_ptr<storage::DurableStore> Node::openStore() {
  if (!settings_.isControlNode()) return nullptr;
  const int megabytes = std::clamp(settings_.diskMb / kStoreDiskPart, kMinStoreMb, kMaxStoreMb);
  return std::make_unique<storage::DurableStore>(loop_, settings_.dataDirectory + "/register",
                                                 static_cast<std::size_t>(megabytes) << 20);
}

std::unique_ptr<proxy::Egress> Node::createEgress() {
  if (!settings_.hasEgress()) return nullptr;
  std::unique_ptr<proxy::UpstreamTransport> transport;
  if (settings_.isGateway()) {
    transport = std::make_unique<proxy::DirectTransport>();
  } else {
    transport = std::make_unique<proxy::MeshTransport>(settings_.ingressPort);
  }
  proxy::EgressOptions options;
  options.callerService = settings_.targetService;
  options.self = settings_.nodeId;
  options.zone = settings_.zone;
  options.gateway = settings_.isGateway();
  options.retryBudget = {settings_.retryBudgetRatio, settings_.retryBudgetSlack,
                         settings_.retryWindow};
  options.seed = seed_ + 2;
  return std::make_unique<proxy::Egress>(loop_, upstreamPool_, registry_, egressBindings_,
                                         std::move(transport), options);
}

std::unique_ptr<proxy::Ingress> Node::createIngress() {
  if (!settings_.hasIngress()) return nullptr;
  return std::make_unique<proxy::Ingress>(
      loop_, serverPool_, ingressBindings_,
      proxy::IngressOptions{settings_.appAddress, settings_.drainTimeout});
}

control::ConfigChangeLimits Node::configChangeLimits() const {
  control::ConfigChangeLimits limits;
  limits.minVoters = 2 * settings_.faultTolerance + 1;  // f lost disks leave a quorum
  limits.maxTextBytes = store_ ? store_->maxTextBytes() : Listeners::kMaxControlBodyBytes;
  return limits;
}

void Node::start() {
  lifecycle_.onStart(loop_.now());
  startupThrottle_.onStart(loop_.now());
  logger().information("node " + settings_.nodeName + " has started");
  tick();
}

void Node::onNodesChanged() { proxyNodes_.update(); }

void Node::onPeerProgress() { replicationWaiter_.checkPending(loop_.now()); }

void Node::onFirstContact(const NodeId& peer) {
  startupThrottle_.onFirstContact(peer, loop_.now());
}

void Node::onLeaseChange(bool held) {
  if (held) {
    logger().information("in touch with a quorum of the voters");
  } else {
    logger().warning("out of touch with a quorum of the voters, acting for no other node");
  }
}

void Node::onCommitted(const RegisterValue& value) {
  // A node without callers only hands the configuration on.
  if (egress_ && configApplier_.apply(value)) {
    listeners_.applyClientLimits(configApplier_.routeTable()->limits());
  }
  gossip_.notifyUpdate();
}

void Node::tick() {
  const TimePoint now = loop_.now();
  lifecycle_.onTick(now);
  failureDetector_.expireHeartbeats(now);
  if (registry_.releaseThrottledUpdates(now)) gossip_.notifyUpdate();
  gossip_.tick();
  registerService_.tick();
  readiness_.tick(now);
  replicationWaiter_.checkPending(now);
  if (egress_ && now >= nextLoadExpiryAt_) {
    nextLoadExpiryAt_ = now + kLoadExpiryInterval;
    egress_->expireLoads(now);
  }
  if (settings_.isControlNode()) {
    voterRole_.tick(now);
    failureDetector_.detectNodeFailures(now);
  }
  shutdown_.tick();
  loop_.after(kTickInterval, [this] { tick(); });
}

void Node::stop() { shutdown_.begin(); }

void Node::reloadSettings() {
  const auto loaded = loadSettings(settingsPath_);
  if (const auto* error = std::get_if<SettingsError>(&loaded)) {
    logger().error("the new settings are rejected: " + error->message());
    return;
  }
  // Addresses and identity stay until the next start; the rest applies now.
  const auto& reloaded = std::get<Settings>(loaded);
  settings_.seeds = reloaded.seeds;
  gossip_.setSeeds(reloaded.seeds);
  settings_.heartbeatInterval = reloaded.heartbeatInterval;
  settings_.drainTimeout = reloaded.drainTimeout;
  settings_.gracePeriod = reloaded.gracePeriod;
  logger().information("settings reloaded");
}

}  // namespace merlingauge::node
