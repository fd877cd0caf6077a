// wire_keys.hpp: every JSON key of the register's messages between nodes.
//
// Nodes of two versions talk to each other during a rolling upgrade, and the encoded value is part
// of what is stored: these bytes never change. A new field gets a key that its message has not used
// yet, and is left out where it has no content, so that an older version ignores it.
#pragma once

namespace merlingauge::consensus::wire_keys {

/// A RegisterValue, in an accept request, in a reply, in gossip and in the stored acceptor state.
namespace value {
inline constexpr const char* kSequence = "s";        ///< number
inline constexpr const char* kEpoch = "e";           ///< number
inline constexpr const char* kVoters = "v";          ///< list of node ids
inline constexpr const char* kPreviousVoters = "b";  ///< list of node ids; absent: none
inline constexpr const char* kUniqueId = "t";        ///< string; absent: the initial value
inline constexpr const char* kConfigRevision = "n";  ///< number; absent: there is no configuration
inline constexpr const char* kHistory = "h";         ///< object, see `history`
/// List of [revision, SHA-1 in hex], at most 32: what the first versions wrote in place of a
/// history. Only read.
inline constexpr const char* kLegacyHistory = "r";

// The configuration text in one of four forms; `kTextId` is there with each.
inline constexpr const char* kTextId = "i";       ///< id of the text; alone: the receiver has it
inline constexpr const char* kPlainText = "c";    ///< the text itself
inline constexpr const char* kPackedText = "z";   ///< the text, deflated and in base64
inline constexpr const char* kTextDelta = "d";    ///< its difference from the text `kDeltaBase`
inline constexpr const char* kDeltaBase = "o";    ///< id of the text that the difference is from
inline constexpr const char* kTextOmitted = "m";  ///< 1: the receiver fetches it if it lacks it
}  // namespace value

/// The change history inside a value; `kId` alone: the receiver has it.
namespace history {
inline constexpr const char* kId = "i";       ///< id of the whole history
inline constexpr const char* kFloor = "f";    ///< revision below which nothing is known; absent: 0
inline constexpr const char* kEntries = "a";  ///< packed entries
inline constexpr const char* kBase = "o";     ///< the entries come after the history of this id
inline constexpr const char* kSeed = "s";     ///< else: id of what lies below the floor
}  // namespace history

/// A RegisterRequest.
namespace request {
inline constexpr const char* kKind = "k";          ///< number of the RegisterRequest::Kind
inline constexpr const char* kSender = "f";        ///< node id
inline constexpr const char* kBallot = "b";        ///< [number, author]
inline constexpr const char* kValue = "v";         ///< accept: see `value`
inline constexpr const char* kIncarnation = "n";   ///< rejoin: number
inline constexpr const char* kTextId = "x";        ///< the text that the sender has; fetch: wants
inline constexpr const char* kKnownValueId = "h";  ///< prepare: string; absent: none
inline constexpr const char* kCachedHistoryId = "g";  ///< prepare: number; absent: none
}  // namespace request

/// A RegisterReply. What has its default is absent, but for the first three.
namespace reply {
inline constexpr const char* kGranted = "o";               ///< boolean
inline constexpr const char* kIncarnation = "n";           ///< number
inline constexpr const char* kPromisedBallot = "p";        ///< [number, author]
inline constexpr const char* kRecovering = "z";            ///< true
inline constexpr const char* kValueRecovered = "c";        ///< true
inline constexpr const char* kTextId = "x";                ///< number
inline constexpr const char* kHistoryId = "g";             ///< number
inline constexpr const char* kRequesterIncarnation = "k";  ///< number
inline constexpr const char* kIncarnations = "l";          ///< object: node id to number
inline constexpr const char* kAcceptedBallot = "a";        ///< [number, author]
inline constexpr const char* kSameValue = "i";             ///< true: `kValue` is left out
inline constexpr const char* kValue = "v";                 ///< see `value`
}  // namespace reply

}  // namespace merlingauge::consensus::wire_keys
