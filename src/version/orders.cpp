#include "version/orders.hpp"

#include <Poco/SHA1Engine.h>

#include <utility>

#include "version/chart.hpp"

namespace merlin::cairn {

using nlohmann::json;

std::uint64_t orderDigest(bool whole, const std::string& base, const std::string& body) {
  Poco::SHA1Engine engine;
  engine.update((whole ? "replace/" : "update/") + base + "/" + body);
  std::uint64_t out = 0;
  const auto& bytes = engine.digest();
  for (std::size_t i = 0; i < sizeof out; ++i) out = out << 8U | bytes.at(i);
  return out;
}

namespace {
Climber::Verdict refuse(ErrorKind error, std::string detail) {
  return {Climber::Verdict::Kind::refuse, error, std::move(detail)};
}

// What the order makes of the current text; empty `problem` where it is valid.
std::string build(const Order& order, const Value& current, Value& next) {
  if (order.whole) {
    next.config = order.text;
  } else {
    if (!current.config) return "there is no configuration to change";
    auto updated = applyUpdate(json::parse(current.config->text()), *order.document);
    if (!updated.problem.empty()) return updated.problem;
    // Its items have passed the schema one by one; what is left are the rules between them.
    const auto read = Chart::read(updated.config, false);
    if (!read.chart) return read.problem;
    next.config = Signboard::of(updated.config.dump());
  }
  next.configRevision = Revision{(*order.document)["revision"].get<std::int64_t>()};
  return next.configRevision > current.revision() ? "" : "revision: not above the current one";
}
}  // namespace

Climber::Verdict decide(const Order& order, const OrderTerms& terms, const Value& current,
                        Value& next) {
  const History none(current.revision());
  const History& history = current.history ? *current.history : none;
  switch (history.fate(order.base, order.digest)) {
    case History::Fate::taken:
      return {};
    case History::Fate::superseded:
      return refuse(ErrorKind::otherVersion,
                    "version " + std::to_string(current.revision().value) + " is in place");
    case History::Fate::forgotten:
      return refuse(ErrorKind::orderForgotten,
                    "known from version " + std::to_string(history.floor().value) + " on");
    case History::Fate::ahead:
      return refuse(ErrorKind::baseAhead,
                    "version " + std::to_string(current.revision().value) + " is in place");
    case History::Fate::open:
      break;
  }
  // Whatever is acknowledged must survive the losses to be borne: the voters are made up first.
  const bool stepping = !current.before.empty() && current.before.size() < terms.fewestVoters;
  if (stepping || current.voters.size() < terms.fewestVoters) {
    return refuse(ErrorKind::fewVoters, std::to_string(current.voters.size()) + " of " +
                                            std::to_string(terms.fewestVoters));
  }
  if (auto problem = build(order, current, next); !problem.empty()) {
    return refuse(ErrorKind::invalidConfig, std::move(problem));
  }
  next.history = history.with({next.configRevision, order.digest}, terms.most);
  Climber::Verdict put;
  put.kind = Climber::Verdict::Kind::put;
  return put;
}

}  // namespace merlin::cairn
