// json_fields: typed access to the fields of a JSON document from outside. Every failure is a
// DecodeError that names the field; no exception of the JSON library passes through.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/decode_error.hpp"

namespace merlingauge {

/// `value` as a T. `name` is only for the error.
template <class T>
T decodeAs(const nlohmann::json& value, std::string_view name) {
  try {
    return value.get<T>();
  } catch (const nlohmann::json::exception&) {
    throw DecodeError(std::string(name), std::string("unexpected type ") + value.type_name());
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

/// The element at `index` of an array. Throws DecodeError where the array is shorter. `name` is
/// only for the error.
inline const nlohmann::json& requiredElement(const nlohmann::json& array, std::size_t index,
                                             std::string_view name) {
  if (!array.is_array()) throw DecodeError(std::string(name), "not inside a list");
  if (index >= array.size()) throw DecodeError(std::string(name), "missing");
  return array[index];
}

/// The same, named by its index.
inline const nlohmann::json& requiredElement(const nlohmann::json& array, std::size_t index) {
  return requiredElement(array, index, "item " + std::to_string(index));
}

/// The element at `index` of an array as a T. `name` is only for the error.
template <class T>
T requiredItem(const nlohmann::json& array, std::size_t index, std::string_view name) {
  return decodeAs<T>(requiredElement(array, index, name), name);
}

/// The same, named by its index.
template <class T>
T requiredItem(const nlohmann::json& array, std::size_t index) {
  return decodeAs<T>(requiredElement(array, index), "item " + std::to_string(index));
}

}  // namespace merlingauge
