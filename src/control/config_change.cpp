#include "control/config_change.hpp"

#include <Poco/SHA1Engine.h>

#include <utility>

#include "config/route_table.hpp"

namespace merlingauge::control {

using nlohmann::json;

std::uint64_t changeDigest(bool whole, const std::string& base, const std::string& body) {
  Poco::SHA1Engine engine;
  engine.update((whole ? "replace/" : "update/") + base + "/" + body);
  std::uint64_t out = 0;
  const auto& bytes = engine.digest();
  for (std::size_t i = 0; i < sizeof out; ++i) out = out << 8U | bytes.at(i);
  return out;
}

namespace {
consensus::Proposer::Decision refuse(ErrorKind error, std::string detail) {
  return {consensus::Proposer::Decision::Kind::reject, error, std::move(detail)};
}

// What the order makes of the current text; empty `problem` where it is valid.
std::string build(const ConfigChange& order, const consensus::RegisterValue& current,
                  consensus::RegisterValue& next) {
  if (order.isReplace) {
    next.config = order.text;
  } else {
    if (!current.config) return "there is no configuration to change";
    auto updated = config::applyUpdate(json::parse(current.config->text()), *order.document);
    if (!updated.error.empty()) return updated.error;
    // Its items have passed the schema one by one; what is left are the rules between them.
    const auto read = config::RouteTable::parse(updated.config, false);
    if (!read.table) return read.error;
    next.config = config::ConfigText::create(updated.config.dump());
  }
  next.configRevision = Revision{(*order.document)["revision"].get<std::int64_t>()};
  return next.configRevision > current.revision() ? "" : "revision: not above the current one";
}
}  // namespace

consensus::Proposer::Decision decideChange(const ConfigChange& order,
                                           const ConfigChangeLimits& terms,
                                           const consensus::RegisterValue& current,
                                           consensus::RegisterValue& next) {
  const config::ChangeHistory none(current.revision());
  const config::ChangeHistory& history = current.history ? *current.history : none;
  switch (history.outcomeOf(order.baseRevision, order.digest)) {
    case config::ChangeHistory::Outcome::committed:
      return {};
    case config::ChangeHistory::Outcome::superseded:
      return refuse(ErrorKind::versionConflict,
                    "version " + std::to_string(current.revision().value) + " is in place");
    case config::ChangeHistory::Outcome::truncated:
      return refuse(ErrorKind::changeHistoryTruncated,
                    "known from version " + std::to_string(history.floor().value) + " on");
    case config::ChangeHistory::Outcome::baseNotYetCommitted:
      return refuse(ErrorKind::baseNotYetCommitted,
                    "version " + std::to_string(current.revision().value) + " is in place");
    case config::ChangeHistory::Outcome::undecided:
      break;
  }
  // Whatever is acknowledged must survive the losses to be borne: the voters are made up first.
  const bool stepping =
      !current.previousVoters.empty() && current.previousVoters.size() < terms.minVoters;
  if (stepping || current.voters.size() < terms.minVoters) {
    return refuse(ErrorKind::tooFewVoters,
                  std::to_string(current.voters.size()) + " of " + std::to_string(terms.minVoters));
  }
  if (auto problem = build(order, current, next); !problem.empty()) {
    return refuse(ErrorKind::invalidConfig, std::move(problem));
  }
  next.history = history.extendedBy({next.configRevision, order.digest}, terms.maxHistoryEntries);
  consensus::Proposer::Decision put;
  put.kind = consensus::Proposer::Decision::Kind::write;
  return put;
}

}  // namespace merlingauge::control
