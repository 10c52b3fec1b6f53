// The operators' configuration: one validated document that holds customers, models, versions,
// cascades, roll-outs and plain services.
//
// The gate, the policy, the administration API and the command line read it. A document is a value:
// an instance holds the newest one it knows behind a shared pointer and replaces it as a whole.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::config {

enum class VersionState : std::uint8_t {
    active,
    withdrawn, // Receives no new work; its sessions move.
};

struct Version {
    VersionName name;
    ModelName model;
    VersionState state = VersionState::active;
    double costPerThousandTokens = 1;

    bool operator==(const Version&) const = default;
};

struct Customer {
    CustomerName name;
    std::string keySalt; // Hexadecimal.
    std::string keyDigest; // Hexadecimal SHA-256 of salt and key; the key itself is never kept.
    std::vector<VersionName> versions; // The versions it allows.
    std::vector<ServiceName> services; // The plain services it may call.
    double requestsPerSecond = 100; // Over all instances together.
    std::uint32_t concurrentRequests = 1'000; // Over all instances together.
    std::uint8_t priority = 1; // 0 is served first, 2 last.
    std::vector<CascadeName> cascades = {}; // The cascades it may use; it allows each of their steps.

    bool operator==(const Customer&) const = default;
};

// Versions from cheap to strong under one name that callers use as a model.
struct Cascade {
    CascadeName name;
    std::vector<VersionName> steps;
    double qualityTarget = 0.8; // The rating, 0 to 1, from which a step's answer is shown.

    bool operator==(const Cascade&) const = default;
};

enum class RolloutState : std::uint8_t {
    running,
    paused, // Keeps its share, draws no new sessions to the new version.
    stopped, // All new sessions take the old version.
    completed, // All new sessions take the new version.
};

// New sessions of a model move from one version to another by a share.
struct Rollout {
    ModelName model;
    VersionName from;
    VersionName to;
    double share = 0; // Of new sessions that take the new version, 0 to 1.
    RolloutState state = RolloutState::running;
    std::uint32_t exposureLimit = 200; // Rated-bad answers are judged within this many exposed requests.
    double tolerableBadShare = 0.05; // Of bad answers that a good version may give.
    double unacceptableBadShare = 0.2; // Of bad answers at which a version must be stopped.
    std::uint32_t trial = 0; // Raised by an operator to judge the same versions anew after a stop.

    bool operator==(const Rollout&) const = default;
};

struct Service {
    ServiceName name;
    bool idempotent = false; // Calls may be repeated only where this is true.
    std::uint64_t costPerCall = 1; // In the billing unit.

    bool operator==(const Service&) const = default;
};

// Endpoints of this availability zone get nothing more until the entry is removed.
struct Evacuation {
    ZoneName name;

    bool operator==(const Evacuation&) const = default;
};

struct Document {
    std::vector<Version> versions;
    std::vector<Customer> customers;
    std::vector<Cascade> cascades;
    std::vector<Rollout> rollouts;
    std::vector<Service> services;
    std::vector<Evacuation> evacuations = {};

    bool operator==(const Document&) const = default;
};

// A form session whose document was accepted.
struct AcceptedSubmission {
    std::string identity;
    std::uint64_t revision = 0; // Under which it was accepted.
    std::string digest; // Of its document, as documentDigest() gives it.

    bool operator==(const AcceptedSubmission&) const = default;
};

// How many accepted submissions a configuration remembers.
inline constexpr std::size_t rememberedSubmissions = 64;

// A document with its place in the history, as an instance holds it.
struct Configuration {
    std::uint64_t revision = 0; // Rises with every accepted document; 0 is before the first.
    std::string submission; // Identity of the form session that made it.
    std::string author; // The operator's name.
    Document document;
    std::uint64_t basedOn = 0; // The revision that the author had before him.
    WallTime submittedAt {}; // In whole milliseconds.
    std::string summary = {}; // What the author says of the change.
    std::vector<AcceptedSubmission> accepted = {}; // The latest ones, its own the last, so that a repeated submission is recognized.
};

// One fault of a document at its field.
struct Fault {
    std::string path; // A JSON path, for example "/cascades/0/steps/1".
    std::string message; // What is wrong and what is allowed.

    bool operator==(const Fault&) const = default;
};

// Reads a document from JSON with comments. Unknown keys, wrong types and values out of range are
// all reported in `faults`; then nothing is returned.
std::optional<Document> parseDocument(std::string_view json, std::vector<Fault>& faults);

// Checks the rules between parts and returns every fault: names that stand twice or for two things,
// unknown versions, cascades and services, cascades with a step that a customer who may use them
// doesn't allow, shares that don't add up, roll-outs between versions of other models or towards a
// withdrawn one, withdrawals that leave a customer or a cascade nothing.
std::vector<Fault> validate(const Document& document);

// Writes a document as JSON that parseDocument() reads, with two spaces of indentation.
std::string toJson(const Document& document);

// Returns the hexadecimal SHA-256 of the document's JSON.
std::string documentDigest(const Document& document);

// Returns the key of the record in which an accepted revision is kept.
std::string historyKey(std::uint64_t revision);

// The key of the record that holds the configuration in force.
inline constexpr std::string_view currentKey = "config/current";

// What the keys of all accepted revisions start with.
inline constexpr std::string_view historyPrefix = "config/history/";

// Writes and reads a configuration as it stands in the key-value service.
std::string toRecord(const Configuration& configuration);
std::optional<Configuration> parseRecord(std::string_view text, Failure& failure);

// Look-ups; null when there is none of this name.
const Version* findVersion(const Document& document, const VersionName& name);
const Cascade* findCascade(const Document& document, const CascadeName& name);
const Service* findService(const Document& document, const ServiceName& name);
const Customer* findCustomer(const Document& document, const CustomerName& name);
const Rollout* findRollout(const Document& document, const ModelName& model);

// Finds the customer that a bearer key belongs to, comparing digests in constant time.
const Customer* authenticate(const Document& document, std::string_view key);

// Returns whether `key` has this digest under this salt, comparing in constant time.
bool keyMatches(std::string_view saltHex, std::string_view digestHex, std::string_view key);

// Returns hexadecimal SHA-256 of the salt's bytes followed by the key's.
std::string keyDigest(std::string_view saltHex, std::string_view key);

}
