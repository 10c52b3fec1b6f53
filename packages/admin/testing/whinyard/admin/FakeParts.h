// Hand-written parts for tests of the administration API, the console and the command line, over one
// store in memory.
#pragma once

#include "whinyard/admin/AdminParts.h"
#include "whinyard/backing/FakeStore.h"
#include "whinyard/base/FakeClock.h"

namespace whinyard::admin {

// Instances that hold what `entries` says and confirm it by the rule of acceptance. Unless a test says
// otherwise there is one, which holds every revision.
class FakeFleet final : public FleetView, public ConfirmationSource {
public:
    static constexpr std::uint64_t everyRevision = 1'000'000;

    std::vector<InstanceStatus> entries { { { "entry-1" }, { "zilina-a" }, "alive", everyRevision } };
    bool ready = true;

    std::vector<InstanceStatus> instances() override { return entries; }

    peer::Acceptance confirm(std::uint64_t revision, std::chrono::milliseconds) override
    {
        std::vector<InstanceName> names;
        for (const InstanceStatus& entry : entries)
            names.push_back(entry.name);
        peer::AcceptanceTracker tracker(revision, names);
        for (const std::chrono::milliseconds round : { std::chrono::milliseconds(0), std::chrono::milliseconds(1) }) {
            for (const InstanceStatus& entry : entries)
                tracker.take({ entry.name, { 1 } }, entry.revision, SteadyTime(round), SteadyTime(round));
        }
        return tracker.status();
    }

    bool isReady(std::string& reason) override
    {
        reason = ready ? "" : "no configuration yet";
        return ready;
    }
};

class FakeTraces final : public TraceSource {
public:
    TraceMaterial material; // Found whatever is asked.
    TraceQuestion asked;

    std::optional<TraceMaterial> find(const TraceQuestion& question, Failure&) override
    {
        asked = question;
        return material;
    }
};

class FakeBills final : public BillSource {
public:
    Bill sum;
    std::vector<ledger::UsageLine> single;

    std::optional<Bill> bill(const CustomerName&, Failure&) override { return sum; }
    std::optional<std::vector<ledger::UsageLine>> lines(const CustomerName&, Failure&) override { return single; }
};

class FakeAudit final : public AuditLog {
public:
    std::vector<AuditEntry> entries;

    void record(const AuditEntry& entry) override { entries.push_back(entry); }
};

// Waits by moving the clock.
class FakeWaiter final : public Waiter {
public:
    explicit FakeWaiter(FakeClock& clock)
        : m_clock(clock)
    {
    }

    void wait(std::chrono::milliseconds duration) override { m_clock.advance(duration); }

private:
    FakeClock& m_clock;
};

// All parts, ready to use. Operators: "jana" with key "jana-key" may change, "eva" with "eva-key" may view.
struct FakeParts {
    FakeClock clock;
    FakeWaiter waiter { clock };
    backing::FakeStore store { clock };
    ConfigurationRepository repository { store, clock, waiter };
    FakeFleet fleet;
    FakeTraces traces;
    FakeBills bills;
    Metrics metrics;
    FakeAudit audit;

    AdminParts parts() { return { repository, fleet, fleet, traces, bills, metrics, audit, clock }; }

    static std::vector<Operator> operators()
    {
        const std::string salt = "00112233445566778899aabbccddeeff";
        return { { "jana", Role::change, salt, config::keyDigest(salt, "jana-key") }, { "eva", Role::view, salt, config::keyDigest(salt, "eva-key") } };
    }
};

}
