// The real path in one process: an egress or an edge, two servers, in a mesh an ingress beside
// each, put together as the warden does it, with room for a link in front of any of them.
#pragma once

#include <unistd.h>

#include "request/egress.hpp"
#include "request/ingress.hpp"
#include "stage.hpp"
#include "version/chart.hpp"

namespace merlin::test {

constexpr std::uint16_t kWayIn = 21901;
constexpr std::uint16_t kWayInBehind = 21902;  // where the real one stands behind a link
constexpr std::uint16_t kIngressAt = 21903;
constexpr std::uint16_t kIngressBehind = 21904;
constexpr std::uint16_t kAppAt = 21905;
constexpr std::uint16_t kAppBehind = 21906;
constexpr std::uint16_t kTaken = 21907;  // whoever takes an address over

enum class Where : std::uint8_t { client, ingress, server };
constexpr std::array<const char*, 3> kWhereNames = {"client", "ingress", "server"};

// Runs side by side stay apart: each takes the first network that nobody holds.
inline unsigned network() {
  static Poco::Net::ServerSocket held;
  static const unsigned taken = [] {
    for (unsigned n = static_cast<unsigned>(::getpid()) % 100;; ++n) {
      try {
        held.bind({"127." + std::to_string(100 + n % 100) + ".255.254", kWayIn});
        held.listen();
        return 100 + n % 100;
      } catch (const Poco::Exception&) {
        held = Poco::Net::ServerSocket();
      }
    }
  }();
  return taken;
}

inline SocketAddress addressOf(std::size_t number, int which, std::uint16_t port) {
  const auto host = number * 2 + static_cast<std::size_t>(which);
  return {"127." + std::to_string(network()) + "." + std::to_string(host / 250) + "." +
              std::to_string(1 + host % 250),
          port};
}

inline cairn::Chart::Ptr chart() {
  static const auto made = [] {
    const auto rule = [](const char* name, const char* prefix, const char* type) {
      return nlohmann::json{{"name", name},
                            {"hostname", "echo.example"},
                            {"path_prefix", prefix},
                            {"route_type", type},
                            {"timeout_s", 5},
                            {"max_attempts", 2},
                            {"target_service", "echo"}};
    };
    return cairn::Chart::read(
               {{"revision", 1},
                {"route_rules",
                 {rule("once", "/once/", "non_idempotent"), rule("safe", "/safe/", "idempotent")}},
                {"services", {{{"name", "echo"}}}}})
        .chart;
  }();
  return made;
}

class House {
 public:
  // Called where a link is wanted: it relays `at` to `to`; `other` is who may take `at` over.
  using Linker = std::function<void(const SocketAddress& at, const SocketAddress& to,
                                    const SocketAddress& other, int server)>;
  House(Bell& bell, std::size_t number, bool gateway, std::optional<Where> linked, Linker link,
        Ledger& ledger)
      : bell_(bell),
        number_(number),
        linked_(linked),
        link_(std::move(link)),
        ledger_(ledger),
        book_(facts("n"), Life{1}),
        ropes_(bell, gateway ? saddle::Ropes::Config{std::chrono::milliseconds(300),
                                                     std::chrono::seconds(9), 8, 700}
                             : saddle::Ropes::Config{std::chrono::milliseconds(300),
                                                     std::chrono::seconds(20), 64, 0}),
        way_(at(0, kWayIn)) {
    std::unique_ptr<trail::Approach> approach;
    if (gateway) {
      approach = std::make_unique<trail::Direct>();
    } else {
      approach = std::make_unique<trail::ThroughIngress>(kIngressAt);
    }
    egress_ = std::make_unique<trail::Egress>(trail::Egress::Parts{
        bell, ropes_, book_, [] { return chart(); }, [] { return true; }, std::move(approach),
        ServiceName("front"), NodeId("n"), ZoneName("z"), gateway,
        trail::TollTerms{0.2, 60, std::chrono::seconds(10)}, number + 1});
    egress_->setFleet({{NodeId("n"), ZoneName("z")}}, 1);
    for (int i = 0; i < 2; ++i) addServer(i, gateway);
    const bool here = linked_ == Where::client;
    door_ = std::make_unique<saddle::Door>(bell, here ? at(0, kWayInBehind) : way_, 64);
    door_->reception->onVisit = [this](const auto& visit) { egress_->visit(visit); };
    door_->reception->mayRunAhead = [this](const auto& v) { return egress_->mayRunAhead(v); };
    if (here) link_(way_, at(0, kWayInBehind), at(0, kWayInBehind), 0);
  }
  [[nodiscard]] const SocketAddress& way() const { return way_; }
  [[nodiscard]] SocketAddress at(int server, std::uint16_t port) const {
    return addressOf(number_, server, port);
  }
  // How often a request was passed on to a server.
  [[nodiscard]] std::size_t passedOn() const {
    if (!sites_[0].ingress) return egress_->counts().hops;
    return sites_[0].ingress->counts().admitted + sites_[1].ingress->counts().admitted;
  }
  [[nodiscard]] const auto& standIns() const { return standIns_; }
  // Whatever is open ends; the objects stay, for the loop may still know of them.
  void close() {
    for (const auto& server : standIns_) server->close();
    for (auto& site : sites_) site.door.reset();
    door_.reset();
  }

 private:
  struct Site {
    std::unique_ptr<saddle::Ropes> ropes;
    std::unique_ptr<cairn::Guestbook> book;
    std::unique_ptr<trail::Ingress> ingress;
    std::unique_ptr<saddle::Door> door;
  };
  static cairn::NodeFacts facts(const char* id) {
    return {NodeId(id), ZoneName("z"), false, false, false, 0, Life{}};
  }
  void stand(int i, std::uint16_t port, const std::string& id) {
    standIns_.push_back(std::make_unique<StandIn>(bell_, at(i, port), id, i, ledger_));
  }
  void addServer(int i, bool gateway) {
    cairn::Server server;
    server.id = InstanceId("i" + std::to_string(i));
    server.service = ServiceName("echo");
    server.address = at(i, kAppAt).toString();
    server.zone = ZoneName("z");
    server.slots = 64;
    server.sequence = 1;
    book_.beat(server, bell_.now());
    const bool here = linked_ == Where::server;
    stand(i, here ? kAppBehind : kAppAt, server.id.str());
    if (here) {
      stand(i, kTaken, "another life");
      link_(at(i, kAppAt), at(i, kAppBehind), at(i, kTaken), i);
    }
    if (gateway) return;
    auto& site = sites_.at(static_cast<std::size_t>(i));
    site.ropes = std::make_unique<saddle::Ropes>(
        bell_,
        saddle::Ropes::Config{std::chrono::milliseconds(400), std::chrono::seconds(20), 64, 0});
    site.book = std::make_unique<cairn::Guestbook>(facts("s"), Life{1});
    site.book->beat(server, bell_.now());
    site.ingress = std::make_unique<trail::Ingress>(trail::Ingress::Parts{
        bell_, *site.ropes, server.address,
        [book = site.book.get()](const InstanceId& id) { return book->heardHere(id); },
        std::chrono::seconds(1), [](const InstanceId&) {}, [](const InstanceId&, int) {}});
    site.ingress->heard(server, bell_.now());
    const bool before = linked_ == Where::ingress;
    site.door =
        std::make_unique<saddle::Door>(bell_, at(i, before ? kIngressBehind : kIngressAt), 64);
    site.door->reception->onVisit = [in = site.ingress.get()](const auto& v) { in->visit(v); };
    site.door->reception->limits.headBytes = 128 * 1024;
    // Who takes the address over is the node beside the other server.
    if (before) link_(at(i, kIngressAt), at(i, kIngressBehind), at(1 - i, kIngressBehind), i);
  }

  Bell& bell_;
  std::size_t number_;
  std::optional<Where> linked_;
  Linker link_;
  Ledger& ledger_;
  cairn::Guestbook book_;
  saddle::Ropes ropes_;
  std::unique_ptr<trail::Egress> egress_;
  std::array<Site, 2> sites_;
  std::unique_ptr<saddle::Door> door_;
  std::vector<std::unique_ptr<StandIn>> standIns_;
  SocketAddress way_;
};

}  // namespace merlin::test
