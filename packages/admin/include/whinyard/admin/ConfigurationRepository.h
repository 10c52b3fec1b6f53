// The operators' configuration as it is kept in the key-value service: submission, history, rollback.
//
// The administration API of every instance uses it. One compare-and-swap of one record decides which
// of several racing submissions is written. Whether a written revision is accepted, the instances decide:
// see ConfirmationSource in AdminParts.h.
#pragma once

#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/base/Clock.h"
#include "whinyard/config/Diff.h"
#include "whinyard/config/Document.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::admin {

// Waits between two tries. In production it suspends the calling fiber; in tests it moves the clock.
class Waiter {
public:
    virtual ~Waiter() = default;

    virtual void wait(std::chrono::milliseconds duration) = 0;
};

// One form session's document.
struct Submission {
    std::string identity; // Chosen once for the session; every repetition carries the same one.
    std::string author; // The operator's name.
    std::string summary; // What the author says of the change.
    std::uint64_t basedOn = 0; // The revision that the document was made from; 0 before the first.
    config::Document document;
};

enum class SubmitOutcome : std::uint8_t {
    written, // The swap landed, now or before under the same identity.
    invalid, // Refused: `faults` names why.
    conflict, // Refused: another document was written since `basedOn`.
};

// Both sides of a conflict, each as its differences from the common base. Without a readable base,
// `mine` is compared with the configuration in force and `theirs` is empty.
struct Conflict {
    std::uint64_t revision = 0; // In force now.
    std::string author; // Of the revision in force.
    bool baseKnown = false;
    std::vector<config::Difference> theirs;
    std::vector<config::Difference> mine;
};

struct SubmitAnswer {
    SubmitOutcome outcome = SubmitOutcome::invalid;
    std::uint64_t revision = 0; // For written: the document's.
    std::vector<config::Fault> faults;
    Conflict conflict;
};

struct RepositoryOptions {
    std::chrono::milliseconds deadline { 10'000 }; // For one submission with all its tries.
    std::chrono::milliseconds retryPause { 100 };
};

// Reads and changes the configuration. Calls suspend the calling fiber; several may run at once, on
// one instance or on many.
class ConfigurationRepository {
public:
    // The store, clock and waiter must outlive the repository.
    ConfigurationRepository(backing::KeyValueStore& store, const Clock& clock, Waiter& waiter, RepositoryOptions options = {});

    // Returns the configuration in force; revision 0 with an empty document before the first.
    // Failures: storeUnavailable, corruptRecord with the record's key.
    std::optional<config::Configuration> current(Failure& failure);

    // Returns a written revision. Failures: notFound, storeUnavailable, corruptRecord.
    std::optional<config::Configuration> at(std::uint64_t revision, Failure& failure);

    // Returns up to `limit` written revisions, the newest first.
    std::optional<std::vector<config::Configuration>> history(std::size_t limit, Failure& failure);

    // Submits a document. A lost reply is resolved by reading back; while neither the write nor its
    // refusal is seen, the same write is tried again until the deadline. Failures: storeUnavailable
    // (certainly not written), storeUncertain (submit again with the same identity to learn the
    // outcome), keyReused (the identity was written with another document), corruptRecord.
    std::optional<SubmitAnswer> submit(const Submission& submission, Failure& failure);

    // Submits the document of an earlier revision as a new one; submission.document is ignored.
    std::optional<SubmitAnswer> rollback(std::uint64_t revision, Submission submission, Failure& failure);

private:
    // The configuration in force with its place in the store.
    struct Held {
        config::Configuration configuration;
        backing::Revision storeRevision = 0;
    };

    std::optional<Held> readHeld(Failure& failure);
    bool confirmNoHistory(Failure& failure);
    std::optional<Held> readUntil(SteadyTime deadline, Failure& failure);
    std::optional<SubmitAnswer> resolve(const Submission& submission, const Held& held, Failure& failure);
    std::optional<SubmitAnswer> write(const Submission& submission, const Held& base, SteadyTime deadline, Failure& failure);
    bool keepInHistory(const config::Configuration& configuration, SteadyTime deadline, Failure& failure);
    Conflict describeConflict(const Submission& submission, const Held& held);
    bool writtenLongAgo(const Submission& submission, const config::Configuration& current);
    bool pause(SteadyTime deadline);

    backing::KeyValueStore& m_store;
    const Clock& m_clock;
    Waiter& m_waiter;
    const RepositoryOptions m_options;
};

// Returns the text form of `outcome`.
std::string_view toText(SubmitOutcome outcome);

}
