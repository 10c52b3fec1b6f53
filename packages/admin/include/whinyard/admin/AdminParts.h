// What the administration API and the console need of their process, as interfaces that the daemon
// implements over the peers, the ledger and the log.
#pragma once

#include "whinyard/admin/ConfigurationRepository.h"
#include "whinyard/admin/Operators.h"
#include "whinyard/admin/TraceReport.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/ledger/UsageLine.h"
#include "whinyard/peer/Acceptance.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::admin {

// What is known of one instance of the fleet.
struct InstanceStatus {
    InstanceName name;
    ZoneName zone;
    std::string state; // alive, suspect or leaving.
    std::uint64_t revision = 0; // The configuration that it says it holds.
};

// The fleet as this instance sees it. Functions run on a fiber of the admin duty.
class FleetView {
public:
    virtual ~FleetView() = default;

    // Returns every instance, this one included, in the order of names.
    virtual std::vector<InstanceStatus> instances() = 0;

    // Returns whether this instance takes new requests, and else the reason.
    virtual bool isReady(std::string& reason) = 0;
};

// Asks the instances whether they hold a written revision. Only a majority of them makes it accepted.
class ConfirmationSource {
public:
    virtual ~ConfirmationSource() = default;

    // Asks until `revision` is accepted, at most for `timeout` and one more round of calls. Suspends the
    // calling fiber. An answer without acceptance says nothing of what is in force later.
    virtual peer::Acceptance confirm(std::uint64_t revision, std::chrono::milliseconds timeout) = 0;
};

// Which requests a support engineer asks about: one of an identity, a key with its customer and
// service, or a session.
struct TraceQuestion {
    RequestId request {};
    CustomerName customer {};
    ServiceName service {};
    std::string key {}; // The caller's idempotency key.
    SessionName session {};
};

// Finds events over all instances.
class TraceSource {
public:
    virtual ~TraceSource() = default;

    virtual std::optional<TraceMaterial> find(const TraceQuestion& question, Failure& failure) = 0;
};

// The sum of a customer's bill lines for one version or plain service. Each identity counts once.
struct BillTotal {
    CustomerName customer;
    std::string item;
    std::uint64_t lines = 0;
    std::uint64_t billedUnits = 0; // In thousandths of the configured cost unit.
    std::uint64_t innerUnits = 0; // Cost of all attempts; never billed.
    std::uint64_t tokens = 0;
};

struct Bill {
    std::vector<BillTotal> totals; // In the order of customers and items.
    std::vector<std::string> faults; // Records that can't be read, by their keys; what they hold is missing.
};

// Adds up the bill lines, of which every instance is asked to make its latest durable first.
class BillSource {
public:
    virtual ~BillSource() = default;

    // An empty name stands for all customers.
    virtual std::optional<Bill> bill(const CustomerName& customer, Failure& failure) = 0;

    // Returns the single lines in the order of their times.
    virtual std::optional<std::vector<ledger::UsageLine>> lines(const CustomerName& customer, Failure& failure) = 0;
};

// One change that an operator tried.
struct AuditEntry {
    std::string operatorName;
    std::string action; // submit or rollback.
    std::uint64_t basedOn = 0;
    std::string submission;
    std::string result; // accepted, written, invalid, conflict, or the error kind's name.
    std::uint64_t revision = 0; // Of a written change, and so of an accepted one.
    std::size_t confirmed = 0; // How many instances confirmed that revision when the operator was answered,
    std::size_t instances = 0; // and of how many a majority is needed.
};

class AuditLog {
public:
    virtual ~AuditLog() = default;

    virtual void record(const AuditEntry& entry) = 0;
};

// Writes audit entries as lines of the process's log.
class LogAudit final : public AuditLog {
public:
    void record(const AuditEntry& entry) override;
};

// All of it. The parts must outlive what is made from them; all are used on the admin duty.
struct AdminParts {
    ConfigurationRepository& repository;
    FleetView& fleet;
    ConfirmationSource& confirmations;
    TraceSource& traces;
    BillSource& bills;
    const Metrics& metrics;
    AuditLog& audit;
    const Clock& clock;
};

}
