// previous_format: an acceptor's stored state as the version of the program before wrote it.
#pragma once

#include <string>

namespace merlingauge::test::register_world {

/// The last 32 changes, each with its whole digest, in place of the packed history.
std::string inPreviousFormat(const std::string& storedHead);

}  // namespace merlingauge::test::register_world
