// change_history_codec: the entries of a change history as a text, on the wire and on the disk.
//
// An entry is the step from the revision before it, then its digest, in the 64 characters of
// base64url, 6 bits each, lowest bits first:
//   step    5 bits a character; the sixth bit is set where more characters of the step follow
//   digest  11 characters (66 bits for 64)
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/change_history.hpp"

namespace merlingauge::config {

/// Appends an entry to `packed`. `before`: the revision of the entry before it, or the floor.
void packEntry(Revision before, const ChangeHistory::Entry& entry, std::string& packed);

/// The entries that follow the revision `before`. Throws DecodeError where a character or an entry
/// is malformed, revisions do not rise, or there are more than ChangeHistory::kMaxEntries.
std::vector<ChangeHistory::Entry> unpackEntries(Revision before, std::string_view packed);

}  // namespace merlingauge::config
