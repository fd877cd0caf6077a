#include "control/config_change.hpp"

#include <Poco/SHA1Engine.h>

#include <optional>
#include <utility>

#include "config/config_update.hpp"
#include "config/document_parser.hpp"
#include "config/route_table.hpp"

namespace merlingauge::control {

using config::ChangeHistory;
using config::ConfigText;
using consensus::Proposer;
using consensus::RegisterValue;
using nlohmann::json;

namespace {
std::string currentRevisionDetail(const RegisterValue& current) {
  return "version " + std::to_string(current.revision().value) + " is in place";
}

// The rejection that follows from the history alone; nothing where the change builds on the current
// revision and must be decided on its content.
std::optional<ChangeDecision> decideByHistory(const ConfigChange& change,
                                              const ChangeHistory& history,
                                              const RegisterValue& current) {
  switch (history.outcomeOf(change.baseRevision, change.digest)) {
    case ChangeHistory::Outcome::committed:
      return ChangeAlreadyCommitted{};
    case ChangeHistory::Outcome::superseded:
      return ChangeRejected{ErrorKind::versionConflict, currentRevisionDetail(current)};
    case ChangeHistory::Outcome::truncated:
      return ChangeRejected{ErrorKind::changeHistoryTruncated,
                            "known from version " + std::to_string(history.floor().value) + " on"};
    case ChangeHistory::Outcome::baseNotYetCommitted:
      return ChangeRejected{ErrorKind::baseNotYetCommitted, currentRevisionDetail(current)};
    case ChangeHistory::Outcome::undecided:
      break;
  }
  return std::nullopt;
}

// While the voter set is being changed both sets count: a value must survive in the smaller one.
bool hasTooFewVoters(const RegisterValue& current, std::size_t minVoters) {
  const bool leavingTooFew =
      !current.previousVoters.empty() && current.previousVoters.size() < minVoters;
  return leavingTooFew || current.voters.size() < minVoters;
}

ChangeRejected invalidConfig(std::string detail) {
  return ChangeRejected{ErrorKind::invalidConfig, std::move(detail)};
}

// The text that the change makes of the current configuration, or why it is invalid.
std::variant<ConfigText::Ptr, ChangeRejected> resultingText(const ConfigChange& change,
                                                            const RegisterValue& current) {
  if (change.kind == ConfigChange::Kind::replace) return change.text;
  if (!current.config) return invalidConfig("there is no configuration to change");
  const auto base = config::parseDocument(current.config->text());
  if (!base) return invalidConfig("the configuration to change can't be read");
  const auto updated = config::applyUpdate(*base, *change.document);
  if (updated.error) return invalidConfig(updated.error->message());
  // Each item has passed the schema; the rules between the items are still to be checked.
  const auto parsed = config::RouteTable::parseValidated(updated.config);
  if (parsed.error) return invalidConfig(parsed.error->message());
  auto text = updated.config.dump();
  if (!config::isWithinDocumentBounds(text)) return invalidConfig("too many items");
  return ConfigText::create(std::move(text));
}
}  // namespace

std::uint64_t changeDigest(ConfigChange::Kind kind, const std::string& baseRevision,
                           const std::string& body) {
  const char* const prefix = kind == ConfigChange::Kind::replace ? "replace/" : "update/";
  Poco::SHA1Engine engine;
  engine.update(prefix + baseRevision + "/" + body);
  const auto& bytes = engine.digest();
  std::uint64_t digest = 0;
  for (std::size_t i = 0; i < sizeof digest; ++i) digest = digest << 8U | bytes.at(i);
  return digest;
}

ChangeDecision decideChange(const ConfigChange& change, const ConfigChangeLimits& limits,
                            const RegisterValue& current) {
  const ChangeHistory unknownHistory(current.revision());
  const ChangeHistory& history = current.history ? *current.history : unknownHistory;
  if (auto decided = decideByHistory(change, history, current)) return *std::move(decided);
  if (hasTooFewVoters(current, limits.minVoters)) {
    return ChangeRejected{ErrorKind::tooFewVoters, std::to_string(current.voters.size()) + " of " +
                                                       std::to_string(limits.minVoters)};
  }
  auto result = resultingText(change, current);
  if (auto* const rejected = std::get_if<ChangeRejected>(&result)) return std::move(*rejected);
  ChangeApplied applied;
  applied.config = std::get<ConfigText::Ptr>(std::move(result));
  applied.revision = Revision{(*change.document)["revision"].get<std::int64_t>()};
  if (applied.revision <= current.revision())
    return invalidConfig("revision: not above the current one");
  if (applied.config->text().size() > limits.maxTextBytes) {
    return invalidConfig("larger than the " + std::to_string(limits.maxTextBytes) +
                         " bytes that the disks take");
  }
  applied.history = history.extendedBy({applied.revision, change.digest}, limits.maxHistoryEntries);
  return applied;
}

Proposer::Decision toProposerDecision(ChangeDecision decision, RegisterValue& next) {
  Proposer::Decision result;
  if (auto* const rejected = std::get_if<ChangeRejected>(&decision)) {
    result.kind = Proposer::Decision::Kind::reject;
    result.error = rejected->error;
    result.detail = std::move(rejected->detail);
  } else if (auto* const applied = std::get_if<ChangeApplied>(&decision)) {
    result.kind = Proposer::Decision::Kind::write;
    next.config = std::move(applied->config);
    next.configRevision = applied->revision;
    next.history = std::move(applied->history);
  }
  return result;
}

}  // namespace merlingauge::control
