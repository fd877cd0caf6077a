// store_layout: the names that the store has on the disk. Stores written by earlier versions have
// to be read, so none of them ever changes.
#pragma once

namespace merlingauge::storage {

/// The store's directory below a node's data directory.
constexpr const char* kStoreDirectory = "register";
/// In it: LMDB's data file, with its two meta pages first.
constexpr const char* kDataFile = "data.mdb";
/// In it: the commit records, see commit_record.hpp.
constexpr const char* kCommitRecordFile = "seals";

/// The keys in LMDB's main database. Each value is prefixed with its checksum, see
/// checksummed_value.hpp.
constexpr const char* kHeadKey = "ledge";  ///< the acceptor's state, without the configuration
constexpr const char* kTextKey = "text";   ///< the text of the accepted configuration

}  // namespace merlingauge::storage
