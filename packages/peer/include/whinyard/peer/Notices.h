// What entry instances that share a store tell each other, one notice a datagram.
//
// Notices save calls of the store and make choices better. No promise rests on one that arrives: each receiver notices a
// gap, or bears it. The daemon sends and takes them in; policy and endpoint give their fields a meaning.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/QueryNews.h"
#include "whinyard/base/RateNews.h"
#include "whinyard/base/Revision.h"
#include "whinyard/leadership/UsageWindows.h"
#include "whinyard/policy/EnginePaces.h"
#include "whinyard/policy/PlacePool.h"
#include "whinyard/policy/ServiceDemand.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace whinyard::peer {

// Work that the sender has just given to an engine. An engine reads prompts in turn, and its own report of what waits
// comes too late for the next choice.
struct WorkNotice {
    EndpointName endpoint;
    std::chrono::microseconds work { 0 }; // Of reading the prompt.
    std::vector<std::uint64_t> prefixes; // Chained digests of the prompt's parts, whose memory the engine holds from now on.
    std::uint32_t tokens = 0; // Of the engine's memory that the request holds; 0: the sender doesn't account it.
    std::chrono::milliseconds duration { 0 }; // Until the request is expected to end.
    std::uint64_t identity = 0; // The same in a repetition; 0: it isn't repeated.

    bool operator==(const WorkNotice&) const = default;
};

// Sessions that have had a request on the versions in use, and would be drawn to a new one by an instance that doesn't
// know that.
struct PinNotice {
    ServiceName service;
    std::vector<std::uint64_t> sessions; // Digests.

    bool operator==(const PinNotice&) const = default;
};

// What the sender has counted of a version under an order.
struct EvidenceNotice {
    ServiceName service;
    InstanceName instance;
    std::string evidence; // As policy writes it.

    bool operator==(const EvidenceNotice&) const = default;
};

// How far an order is, as the sender has just written it to the store.
struct ShiftNotice {
    ServiceName service;
    std::string record; // As policy writes it.
    Revision revision {}; // Of the record in the store.

    bool operator==(const ShiftNotice&) const = default;
};

// How the list of endpoints has changed at an instance that follows the store, as another one hands it on. One without changes says
// that the list was current when it was sent, or that the store fails the instance. Changes that don't fit into one are told by their
// revision alone: who hears of them asks for what changed.
struct RosterNotice {
    InstanceName instance;
    std::uint64_t life = 0; // Of the instance's process.
    std::uint64_t number = 0; // Rises with each notice of the instance.
    std::vector<backing::ListedEndpoint> changed;
    std::vector<EndpointName> gone;
    bool isCurrent = true;
    // Revisions of the store: whoever knows the list as it stood at `since`, or at any time after, knows it up to `upTo` with the
    // changes of this notice, whichever instance told it before. Both 0: not known.
    Revision since {};
    Revision upTo {};
    // Who sends it, and up to which revisions that one knows the list and the operators' records itself.
    InstanceName teller {};
    Revision listedUpTo {};
    Revision operators {};

    bool operator==(const RosterNotice&) const = default;
};

// Up to which revision an instance knows the operators' records. A RosterNotice says it as well; this one is for changes that must
// not wait for it, and for times at which there is no list of endpoints to tell.
struct RecordsNotice {
    InstanceName instance;
    Revision operators {};

    bool operator==(const RecordsNotice&) const = default;
};

// An instance has started, and takes notices at this address. The same stands in its record in the store.
struct InstanceNotice {
    InstanceName instance;
    net::Address address;
    std::uint32_t linkMegabits = 0; // Of its link.

    bool operator==(const InstanceNotice&) const = default;
};

// What the sender has noted of requests that end endpoints. Verdicts are told again by all that know them, so that one datagram
// that is lost keeps nobody from learning of them.
struct QueryNotice {
    QueryNews news;

    bool operator==(const QueryNotice&) const = default;
};

// What the sender has learnt of the rates that endpoints state.
struct RateNotice {
    std::vector<RateNews> rates;

    bool operator==(const RateNotice&) const = default;
};

// A part of what the sender has counted in one window, for the instances that may report it.
struct UsageNotice {
    InstanceName instance;
    std::uint64_t life = 0; // Of the instance's process.
    leadership::UsageWindow window;

    bool operator==(const UsageNotice&) const = default;
};

// What the sender has done for services, for the instances that may order endpoints.
struct DemandNotice {
    InstanceName instance;
    std::uint64_t life = 0;
    std::vector<policy::ServiceLoad> loads;

    bool operator==(const DemandNotice&) const = default;
};

// Asks the coordinator of a scarce service for a permit. Sent again with the same number until it is answered.
struct PlaceRequestNotice {
    ServiceName service;
    std::string version;
    policy::PermitRequest request;

    bool operator==(const PlaceRequestNotice&) const = default;
};

// The coordinator's decision on a request.
struct PlaceAnswerNotice {
    InstanceName coordinator;
    ServiceName service;
    std::string version;
    policy::PermitDecision decision;

    bool operator==(const PlaceAnswerNotice&) const = default;
};

// Gives a permit back, or withdraws a request that waits.
struct PlaceReturnNotice {
    ServiceName service;
    std::string version;
    policy::PermitId id;
    std::optional<policy::EndpointOutcome> outcome; // Nothing where no request was sent under it.
    std::chrono::microseconds serviceTime { 0 };

    bool operator==(const PlaceReturnNotice&) const = default;
};

// A permit of the sender, which the notice names once for all of them.
struct NoticedPermit {
    std::uint64_t number = 0;
    EndpointName endpoint;

    bool operator==(const NoticedPermit&) const = default;
};

// The permits that the sender holds. A coordinator that has just taken over learns from it which slots are taken.
struct PlacesHeldNotice {
    InstanceName requester;
    ServiceName service;
    std::string version;
    std::vector<NoticedPermit> permits;

    bool operator==(const PlacesHeldNotice&) const = default;
};

// What the sender has observed of the speeds of engines since its last notice. Sums of samples add up: a notice that is lost loses
// its samples and nothing else.
struct PaceNotice {
    std::vector<policy::PaceNews> paces;

    bool operator==(const PaceNotice&) const = default;
};

using Notice = std::variant<WorkNotice, PinNotice, EvidenceNotice, ShiftNotice, RosterNotice, InstanceNotice, RecordsNotice, QueryNotice, RateNotice, UsageNotice, DemandNotice, PlaceRequestNotice,
    PlaceAnswerNotice, PlaceReturnNotice, PlacesHeldNotice, PaceNotice>;

// The most entries of one notice, so that it fits into a datagram.
inline constexpr std::size_t mostPins = 128;
inline constexpr std::size_t mostPrefixes = 16;
// The most that a WorkNotice says of a request's memory; a larger value stands for this one.
inline constexpr std::uint32_t mostHeldTokens = 10'000'000;
inline constexpr std::chrono::milliseconds longestHeld { 600'000 };
inline constexpr std::size_t mostRosterChanges = 64;
inline constexpr std::size_t mostRates = 16;
inline constexpr std::size_t mostCustomers = 32;
inline constexpr std::size_t mostLoads = 16;
inline constexpr std::size_t mostExcludedPlaces = 16;
inline constexpr std::size_t mostHeldPlaces = 24;
inline constexpr std::size_t mostPaces = 24;

std::string encodeNotice(const Notice& notice);

// Writes and reads an instance's record, whose key names the instance.
std::string writeInstanceRecord(const InstanceNotice& notice);
std::optional<InstanceNotice> readInstanceRecord(const InstanceName& instance, const std::string& record, Failure& failure);

// Returns nothing for bytes that encodeNotice() would not write.
std::optional<Notice> decodeNotice(std::string_view bytes);

}
