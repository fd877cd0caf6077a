// stored_state: what the store holds of a voter, as it is written and as it is read back.
#pragma once

#include <string>
#include <variant>

#include "config/config_text.hpp"
#include "storage/storage_error.hpp"

namespace merlingauge::storage {

/// A voter's state to be written. The two parts are always written as one transaction.
struct StateRecord {
  std::string head;  ///< the acceptor's state (promises, accepted ballot and value) as JSON
  /// The accepted configuration; null: none yet. Large and seldom changed: it is written only where
  /// it differs from the one on the disk.
  config::ConfigText::Ptr configText;
};

/// A voter's state as it was read back.
struct StoredState {
  std::string head;
  std::string configText;  ///< empty: no configuration yet
};

/// Nothing was ever saved. Told apart from damage: where state is lost, promises may be too.
struct NothingStored {};

/// What loading a store finds. StorageError: something was saved, and can't be read.
using LoadResult = std::variant<NothingStored, StoredState, StorageError>;

}  // namespace merlingauge::storage
