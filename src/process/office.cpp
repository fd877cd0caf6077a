#include "process/office.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "process/wire.hpp"
#include "version/orders.hpp"
#include "version/schema.hpp"

namespace merlin::hut {

using cairn::Chart;
using cairn::Climber;
using cairn::Server;
using cairn::Value;
using nlohmann::json;
using saddle::Visit;

namespace {
constexpr Span kCallLimit = std::chrono::milliseconds(900);
constexpr const char* kJson = "application/json";

}  // namespace

void Office::visit(const Visit::Ptr& visit) {
  const auto& uri = visit->request.getURI();
  const auto path = uri.substr(0, uri.find('?'));
  const auto& method = visit->request.getMethod();
  struct Call {
    const char* prefix;
    bool tail;  // an id follows
    const char* method;
    std::function<void(const std::string& id, const std::string& body)> run;
  };
  const Call calls[] = {
      {"/v1/Instances.Heartbeat/", true, "POST",
       [this, visit](const auto& id, const auto& body) { heartbeat(visit, id, body); }},
      {"/v1/Instances.Deregister/", true, "POST",
       [this, visit](const auto& id, const auto&) { deregister(visit, id); }},
      {"/v1/Configuration.Replace", false, "POST",
       [this, visit](const auto&, const auto& body) { change(visit, body, true); }},
      {"/v1/Configuration.Update", false, "POST",
       [this, visit](const auto&, const auto& body) { change(visit, body, false); }},
      {"/v1/Configuration.Describe", false, "GET",
       [this, visit](const auto&, const auto&) { describe(visit); }},
      {"/v1/Status", false, "GET",
       [this, visit](const auto&, const auto&) {
         visit->answer(200, "OK", parts_.status().dump(), kJson);
       }},
      {"/v1/readiness", false, "GET",
       [this, visit](const auto&, const auto&) {
         const bool ready = parts_.ready();
         visit->answer(ready ? 200 : 503, ready ? "OK" : "Service Unavailable", "", "");
       }},
  };
  for (const auto& call : calls) {
    const std::string prefix = call.prefix;
    const bool hit =
        call.tail ? path.size() > prefix.size() && path.rfind(prefix, 0) == 0 : path == prefix;
    if (!hit) continue;
    if (method != call.method) {
      visit->fail(ErrorKind::wrongMethod, "", {{"Allow", call.method}});
      return;
    }
    const auto id = call.tail ? path.substr(prefix.size()) : "";
    // It goes into documents, which hold UTF-8 only.
    if (!std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; })) break;
    whenWhole(visit, [run = call.run, id](const std::string& body) { run(id, body); });
    return;
  }
  visit->fail(ErrorKind::unknownCall);
}

void Office::heartbeat(const Visit::Ptr& visit, const std::string& id, const std::string& body) {
  const auto read = cairn::readDocument(body);
  if (!read) {
    visit->fail(ErrorKind::badJson);
    return;
  }
  const auto& document = *read;
  if (auto problem = cairn::schemaProblem(cairn::SchemaKind::heartbeat, document);
      !problem.empty()) {
    visit->fail(ErrorKind::badJson, problem);
    return;
  }
  const auto& info = document["node_info"];
  const auto& detail = document["status_detail"];
  Server server;
  server.id = InstanceId(id);
  server.service = ServiceName(info["target_service"].get<std::string>());
  server.address = document["address"].get<std::string>();
  server.zone = ZoneName(info.value("zone", ""));
  server.slots = info["capacity"].get<int>();
  server.status =
      detail["status"] == "draining" ? Server::Status::draining : Server::Status::available;
  server.sequence = detail["sequence"].get<std::uint64_t>();
  server.cold = detail.value("warmup_left_s", 0.0) > 0;
  const auto target = parts_.beatTarget(server.id);  // before this beat makes it ours
  const auto beat = parts_.guestbook.beat(server, parts_.bell.now());
  if (beat != cairn::Guestbook::Beat::stale) {
    if (const auto now = parts_.guestbook.find(server.id)) parts_.serverHeard(*now);
  }
  if (beat == cairn::Guestbook::Beat::news) {
    parts_.log("server " + id + (server.status == Server::Status::draining ? " drains" : " beats"));
    parts_.news();
  }
  const auto word = parts_.guestbook.find(server.id);
  if (word && word->status != Server::Status::available) {
    acknowledgeLeaving(visit, id);
    return;
  }
  json answer = json::object();
  if (!target.empty()) answer["heartbeat_target"] = target;
  visit->answer(200, "OK", answer.dump(), kJson);
}

void Office::acknowledgeLeaving(const Visit::Ptr& visit, const std::string& id) {
  parts_.whenHeld(InstanceId(id), [visit](bool held) {
    if (held) {
      visit->answer(200, "OK", "{}", kJson);
    } else {
      visit->fail(ErrorKind::noMajority);
    }
  });
}

void Office::deregister(const Visit::Ptr& visit, const std::string& id) {
  if (parts_.guestbook.deregister(InstanceId(id), parts_.bell.now())) {
    parts_.log("server " + id + " has left");
    if (const auto now = parts_.guestbook.find(InstanceId(id))) parts_.serverHeard(*now);
    parts_.news();
  }
  acknowledgeLeaving(visit, id);
}

void Office::change(const Visit::Ptr& visit, const std::string& body, bool whole) {
  auto asked = cairn::readDocument(body);
  if (!asked) {
    visit->fail(ErrorKind::invalidConfig, "the body can't be read whole");
    return;
  }
  auto document = std::make_shared<json>(std::move(*asked));
  const auto baseText = visit->request.get("Base-Revision", "");
  Revision base;
  const auto read = std::from_chars(baseText.data(), baseText.data() + baseText.size(), base.value);
  if (read.ec != std::errc() || read.ptr != baseText.data() + baseText.size()) {
    visit->fail(ErrorKind::invalidConfig, "Base-Revision: a whole number is wanted");
    return;
  }
  std::string problem;
  if (whole) {
    problem = Chart::read(*document).problem;
  } else {
    problem = cairn::schemaProblem(cairn::SchemaKind::update, *document);
  }
  if (!problem.empty()) {
    parts_.log("change refused, " + problem);
    visit->fail(ErrorKind::invalidConfig, problem);
    return;
  }
  const cairn::Order order{whole, base, cairn::orderDigest(whole, baseText, body), document,
                           whole ? cairn::Signboard::of(body) : nullptr};
  parts_.council.climb(
      [order, terms = cairn::OrderTerms{parts_.fewestVoters}, most = parts_.mostConfig](
          const Value& current, Value& next) {
        auto verdict = decide(order, terms, current, next);
        if (verdict.kind == Climber::Verdict::Kind::put && next.config->text().size() > most) {
          verdict.kind = Climber::Verdict::Kind::refuse;
          verdict.error = ErrorKind::invalidConfig;
          verdict.detail = "larger than the " + std::to_string(most) + " bytes that the disks take";
        }
        return verdict;
      },
      kCallLimit + cairn::extraTime(body.size()),
      [this, visit, document](const Climber::Result& result) {
        const auto revision = std::to_string((*document)["revision"].get<std::int64_t>());
        if (!result.ok) {
          parts_.log("version " + revision + " refused: " + answerFor(result.error).text);
          visit->fail(result.error, result.detail);
          return;
        }
        parts_.log("version " + revision + " taken");
        visit->answer(200, "OK", json{{"revision", (*document)["revision"]}}.dump(), kJson);
      });
}

void Office::describe(const Visit::Ptr& visit) {
  parts_.council.climb([](const Value&, Value&) { return Climber::Verdict{}; }, kCallLimit,
                       [visit](const Climber::Result& result) {
                         if (!result.ok || !result.known) {
                           visit->fail(ErrorKind::noMajority);
                         } else if (!result.chosen.config) {
                           visit->fail(ErrorKind::noConfig);
                         } else {
                           visit->answer(200, "OK", result.chosen.config->text(), kJson);
                         }
                       });
}

}  // namespace merlin::hut
