// logger.hpp: the log of this module.
#pragma once

#include <Poco/Logger.h>

namespace merlingauge::control {

/// Its name is the prefix of each line.
inline Poco::Logger& logger() { return Poco::Logger::get("control"); }

}  // namespace merlingauge::control
