// register_rpc.hpp: how the register's messages travel between nodes.
#pragma once

namespace merlingauge::control {

/// The path of the register's requests on the internal port. On the wire: never changes.
constexpr const char* kRegisterRpcPath = "/register";

}  // namespace merlingauge::control
