// decode_error: the one error for bytes from a peer or a disk that can't be understood.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace merlingauge {

/// Thrown while a message or a stored record is decoded; caught where the message or record came
/// in, and nowhere in between. what() is "FIELD: REASON", fit for one log line.
class DecodeError : public std::runtime_error {
 public:
  DecodeError(std::string field, std::string reason)
      : std::runtime_error(field + ": " + reason),
        field_(std::move(field)),
        reason_(std::move(reason)) {}
  /// The key or position in the document as it is written, for example "v" or "item 3".
  [[nodiscard]] const std::string& field() const { return field_; }
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

}  // namespace merlingauge
