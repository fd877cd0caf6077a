#include "config/config_update.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

#include "config/config_schema.hpp"

namespace merlingauge::config {

using nlohmann::json;

namespace {

std::string nameOf(const json& item) { return item["name"].get<std::string>(); }

// What the update says in one of its sections of one list; an empty array where it says nothing.
const json& sectionOf(const json& update, const char* section, const char* list) {
  static const json kNothing = json::array();
  if (!update.contains(section) || !update[section].contains(list)) return kNothing;
  return update[section][list];
}

// The list with this key after the removals and upserts. Of upserts with the same name the last one
// counts; an item that is both removed and upserted stays.
json updatedList(const json& current, const json& update, const char* key) {
  const auto& upserts = sectionOf(update, "upserts", key);
  std::map<std::string, const json*> pending;
  for (const auto& item : upserts) pending[nameOf(item)] = &item;
  std::set<std::string> removed;
  for (const auto& name : sectionOf(update, "removals", key)) {
    removed.insert(name.get<std::string>());
  }
  json items = json::array();
  for (const auto& item : current) {
    const auto name = nameOf(item);
    const auto replacement = pending.find(name);
    if (replacement != pending.end()) {
      items.push_back(*replacement->second);
      pending.erase(replacement);
    } else if (!removed.contains(name)) {
      items.push_back(item);
    }
  }
  for (const auto& item : upserts) {
    const auto added = pending.find(nameOf(item));
    if (added != pending.end() && added->second == &item) items.push_back(item);
  }
  return items;
}

}  // namespace

UpdateResult applyUpdate(const json& base, const json& update) {
  if (auto violation = schemaViolation(SchemaKind::update, update)) {
    return {json(), std::move(violation)};
  }
  json config = base;
  config["revision"] = update["revision"];
  for (const char* list : {"route_rules", "services"}) {
    config[list] = updatedList(config[list], update, list);
  }
  if (update.contains("upserts") && update["upserts"].contains("limits")) {
    config["limits"] = update["upserts"]["limits"];
  }
  return {std::move(config), std::nullopt};
}

}  // namespace merlingauge::config
