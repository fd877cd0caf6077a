// snapshot_codec: a voter's state as the bytes of one file, and back.
//
// The file: one line of JSON, ended by a line feed, then `head_bytes` bytes of head and
// `text_bytes` bytes of configuration text, and nothing after them. The line's fields:
//
//   format      "merlingauge snapshot"
//   version     1
//   revision    revision of the accepted configuration, for people; not read back
//   epoch       epoch of the accepted voter set, for people; not read back
//   head_bytes  size of the head
//   text_bytes  size of the configuration text
//   sha1        SHA-1, in hexadecimal, of the size of the head in decimal, "/", head and text
#pragma once

#include <optional>
#include <string>

#include "consensus/acceptor_state.hpp"
#include "storage/stored_state.hpp"

namespace merlingauge::storage {

/// The bytes of a snapshot file.
std::string encodeSnapshot(const StoredState& state);

/// The state in a snapshot file. Throws DecodeError where the bytes are no snapshot, one of another
/// version, cut off or damaged, or where the state isn't that of a voter.
StoredState decodeSnapshot(const std::string& bytes);

/// The acceptor's state in a stored record; none where it holds none.
std::optional<consensus::AcceptorState> acceptorStateIn(const StoredState& state);

}  // namespace merlingauge::storage
