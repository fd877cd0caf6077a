// json_fields: typed access to the fields of a JSON document from outside. Every failure is a
// DecodeError that names the field; no exception of the JSON library passes through.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "base/decode_error.hpp"

namespace merlingauge {

/// `value` as a T. `name` is only for the error.
template <class T>
T decodeAs(const nlohmann::json& value, const std::string& name) {
  try {
    return value.get<T>();
  } catch (const nlohmann::json::exception&) {
    throw DecodeError(name, std::string("unexpected type ") + value.type_name());
  }
}

/// The member `key` of an object. Throws DecodeError where it is missing or this is no object.
inline const nlohmann::json& requiredMember(const nlohmann::json& object, const char* key) {
  if (!object.is_object()) throw DecodeError(key, "not inside an object");
  const auto found = object.find(key);
  if (found == object.end()) throw DecodeError(key, "missing");
  return *found;
}

/// The member `key` of an object as a T.
template <class T>
T requiredField(const nlohmann::json& object, const char* key) {
  return decodeAs<T>(requiredMember(object, key), key);
}

/// The same, or `fallback` where the object has no such member.
template <class T>
T optionalField(const nlohmann::json& object, const char* key, T fallback) {
  if (!object.is_object()) throw DecodeError(key, "not inside an object");
  const auto found = object.find(key);
  return found == object.end() ? fallback : decodeAs<T>(*found, key);
}

/// The element at `index` of an array. Throws DecodeError where the array is shorter.
inline const nlohmann::json& requiredElement(const nlohmann::json& array, std::size_t index) {
  const std::string name = "item " + std::to_string(index);
  if (!array.is_array()) throw DecodeError(name, "not inside a list");
  if (index >= array.size()) throw DecodeError(name, "missing");
  return array[index];
}

/// The element at `index` of an array as a T.
template <class T>
T requiredItem(const nlohmann::json& array, std::size_t index) {
  return decodeAs<T>(requiredElement(array, index), "item " + std::to_string(index));
}

}  // namespace merlingauge
