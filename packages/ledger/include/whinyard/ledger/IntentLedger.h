// The durable record of calls that may run at most once.
//
// The router asks it for admission before it dispatches a non-idempotent call, and tells it the
// outcome afterwards. Calls are addressed by the caller's idempotency key.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/ledger/UsageLine.h"

#include <cstdint>
#include <optional>
#include <string>

namespace whinyard::ledger {

// Identifies a non-idempotent call over all instances and retries.
struct CallIdentity {
    CustomerName customer;
    ServiceName service;
    std::string key; // The caller's idempotency key.
    std::string bodyDigest; // Hexadecimal SHA-256 of method, path and body.
};

// The answer of an endpoint as it is kept for later calls with the same key.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer&) const = default;
};

// What the record says of a call.
enum class Admission : std::uint8_t {
    granted, // The intent is durable and is ours: dispatch now, once.
    running, // An attempt is under way; its writer lives.
    finished, // The call ran; the answer is in the record.
    unknown, // It may or may not have run; it is never run again.
};

// Names an intent that this process was granted.
struct IntentTicket {
    std::uint32_t partition = 0;
    std::uint64_t sequence = 0;
};

struct AdmissionAnswer {
    Admission admission = Admission::unknown;
    IntentTicket ticket; // Only for granted.
    StoredAnswer answer; // Only for finished.
    RequestId firstRequest; // The request that wrote the intent.
    std::uint64_t revision = 0; // Of the partition's record that says so.
};

// The ledger. Calls suspend the calling fiber; use them on one duty only.
class IntentLedger {
public:
    virtual ~IntentLedger() = default;

    // Asks whether a call may run. Failures: keyReused (another body under this key), and
    // storeUnavailable, corruptRecord or overloaded (for this request nothing was dispatched and nothing will be).
    // Failure::runState is unknown when an earlier request with this key is known that may have run, else notRun:
    // what this process can't know it doesn't claim of other requests.
    // Whoever is granted a call and doesn't dispatch it has to release() it.
    virtual std::optional<AdmissionAnswer> admit(const CallIdentity& call, const RequestId& request, Failure& failure) = 0;

    // Records the answer of a granted call with what it costs. Returns once that is durable, or
    // with a failure when the store is away for too long; the ledger then goes on trying. After a failure the
    // answer may still be handed over, once the usage ledger has its line; a kill before the outcome is durable
    // then leaves the call unknown for later requests with its key.
    virtual bool finish(const IntentTicket& ticket, const StoredAnswer& answer, const UsageLine& usage, Failure& failure) = 0;

    // Records that a granted call has certainly not run, so that its key may run later.
    virtual bool release(const IntentTicket& ticket, Failure& failure) = 0;

    // Records that nobody knows whether a granted call ran.
    virtual bool leaveUnknown(const IntentTicket& ticket, Failure& failure) = 0;
};

}
