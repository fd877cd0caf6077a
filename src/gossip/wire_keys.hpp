// wire_keys: the path and the JSON keys of the pull protocol. They are one letter long since a pull
// goes out every second or two on each link, also between zones where bytes are charged. Their
// bytes never change: two versions of the program run side by side during a roll-out.
#pragma once

namespace merlingauge::gossip::wire {

/// HTTP path that all messages of the protocol are posted to.
constexpr const char* kPath = "/news";

// Requests. Which kind a request is, is told by the key it carries: kProbe, kDiscovery, kReplicate,
// or none of them for a pull.

/// 1: a health check; the answer is an empty object.
constexpr const char* kProbe = "p";
/// 1: bootstrap discovery; the answer has kControlNodes.
constexpr const char* kDiscovery = "g";
/// 1: the items under kItems are to be held before the answer, which then has kHolds.
constexpr const char* kReplicate = "k";
/// NodeId: the sender of the request.
constexpr const char* kSender = "f";
/// Integer: sequence of the committed register value that the puller has.
constexpr const char* kValueSequence = "s";
/// Integer, milliseconds: how long the request may be held until there is an update; 0: not at all.
constexpr const char* kHoldTime = "w";
/// Integer: hash of the puller's whole version vector.
constexpr const char* kVectorHash = "d";
/// Integer: digest of the puller's registry.
constexpr const char* kRegistryDigest = "h";
/// Integer: id of the configuration text that the puller has; absent where it has none.
constexpr const char* kConfigTextId = "t";
/// The puller asks to be pulled from as well: 1 at the ordinary rate, 2 at the low one.
constexpr const char* kPullBack = "b";
/// 1: the puller is a control node.
constexpr const char* kFromControlNode = "c";
/// 1: kVector is the puller's whole version vector and not what has changed of it.
constexpr const char* kWholeVector = "a";
/// List of sources that have left the puller's version vector.
constexpr const char* kRemovedSources = "x";
/// Integer, a bit a range: the ranges in which both registries differ; their items are asked for.
constexpr const char* kRepairRanges = "m";

// Requests and responses.

/// Object, source to counter: the sender's version vector, or what has changed of it.
constexpr const char* kVector = "v";
/// List of registry items.
constexpr const char* kItems = "i";

// Responses to a pull.

/// The committed register value, for the configuration text that the puller has.
constexpr const char* kValue = "c";
/// 1: the next pull has to carry the whole version vector.
constexpr const char* kWantsWholeVector = "q";
/// List of integers: the digest of each range of the registry.
constexpr const char* kRangeDigests = "r";
/// Number, milliseconds: the full sync comes later; the puller is to pull again after this time.
constexpr const char* kRetryAfter = "l";
/// Number, milliseconds before the arrival of the pull, negative after it: everything chosen up to
/// then is known to the sender of the response.
constexpr const char* kKnownUpToAge = "e";
/// The same of what the sender's own acceptor had accepted.
constexpr const char* kAcceptedAsOfAge = "y";
/// 1: the sender is a control node without contact to a quorum of the voters.
constexpr const char* kOutOfQuorum = "u";

// Response to a replication request.

/// 1: the sender of the response is a replica: it holds the items and counts as a control node.
constexpr const char* kHolds = "k";

// Response to bootstrap discovery.

/// List of [node, zone]: the control nodes known to the sender; the zone is empty where unknown.
constexpr const char* kControlNodes = "c";

}  // namespace merlingauge::gossip::wire
