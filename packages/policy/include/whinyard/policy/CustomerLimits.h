// Limits of customers over all instances without a shared counter: rates and concurrent requests.
//
// Each instance tells its peers the demand that it sees, in its heartbeats, and uses the share that
// fairShare() gives it. For its own part it takes the lowest demand that it told since the oldest
// report that every peer has acknowledged. So no peer takes its demand for lower than it does
// itself, whatever is late or lost, and the shares in use sum to at most
//
//     limit x (1 + floorShare)
//
// at every instant, as long as each instance counts each other one that uses more than its floor. Two
// cases stand outside: an instance that is counted by nobody yet uses its floor only, which adds
// limit x floorShare / members each; one that is cut off from its peers and that the platform's list
// has dropped keeps at most the share that it had when it was cut off, and one that still hears those who dropped it
// keeps it for ackLifetime. Rates add a burst of at most
// burst x share and one request an instance; concurrent requests add one an instance.
//
// The router asks admit() before a request and release() after it; the peers' duty carries reports.
// Pure: no I/O, no clock of its own; admit() and release() never allocate.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace whinyard::policy {

// The dense number of a customer in CustomerLimits and AdmissionQueue.
enum class CustomerIndex : std::uint32_t {};

// The limits of one customer, over all instances together.
struct CustomerLimit {
    CustomerName name;
    double requestsPerSecond = 0;
    std::uint32_t concurrentRequests = 0;
};

// What one instance sees of one customer.
struct CustomerDemand {
    std::uint64_t customer = 0; // stableHash() of the name.
    std::uint32_t requestsPerKilosecond = 0; // Offered, refused ones included.
    std::uint32_t concurrent = 0; // That would be in flight if none were refused for the limit of concurrent ones.
    std::uint32_t inFlight = 0;

    bool operator==(const CustomerDemand&) const = default;
};

// Says which report of an instance is counted by the one that says so.
struct DemandAck {
    InstanceName instance;
    Incarnation incarnation;
    std::uint64_t sequence = 0;

    bool operator==(const DemandAck&) const = default;
};

// What an instance tells its peers. Only the newest one matters, whichever way it arrives. Customers
// whose demand the instance's part of the floor covers are left out.
struct DemandReport {
    Incarnation incarnation;
    std::uint64_t sequence = 0; // Rises by one with each report.
    std::vector<CustomerDemand> demands;
    std::vector<DemandAck> acks; // One for each peer that is counted; a message may leave some out, in turn.

    bool operator==(const DemandReport&) const = default;
};

// The numbers that the limits are run with.
struct LimitSettings {
    double floorShare = 0.05; // Of the limit, split evenly, that instances may use without any demand told.
    std::chrono::milliseconds burst { 3'000 }; // The time whose share may be used at once after a pause.
    std::chrono::milliseconds demandMemory { 1'000 }; // Shortest time constant of the measured demand.
    std::chrono::milliseconds longestDemandMemory { 30'000 };
    double demandSamples = 30; // Requests that the measured demand is a mean of, within these times.
    std::chrono::milliseconds peerLifetime { 10'000 }; // A silent peer that isn't listed counts for this long.
    std::chrono::milliseconds ackLifetime { 10'000 }; // An acknowledgement that isn't repeated in reports counts for this long.
};

// Why a request is admitted or not.
enum class LimitVerdict : std::uint8_t {
    admitted,
    rateExceeded,
    concurrencyExceeded,
};

struct LimitDecision {
    LimitVerdict verdict = LimitVerdict::admitted;
    std::chrono::milliseconds retryAfter { 0 }; // When a request can pass, for a refused one.
};

class CustomerLimits {
public:
    CustomerLimits(InstanceName self, Incarnation incarnation, LimitSettings settings = {});

    // Replaces the customers and limits; those that stay keep their index and state. Allocates.
    void replaceCustomers(std::span<const CustomerLimit> customers);

    // Takes the platform's list of the other instances. Instances that are not on it but were heard
    // lately count too, since the list lags.
    void replacePeers(std::span<const InstanceName> listed, SteadyTime now);

    std::optional<CustomerIndex> find(const CustomerName& customer) const;

    // Decides on one request; an admitted one holds a place until release().
    LimitDecision admit(CustomerIndex customer, SteadyTime now);

    // Ends a request that admit() admitted.
    void release(CustomerIndex customer);

    // Measures the demand and returns the report for the next heartbeat. Call it once a heartbeat.
    DemandReport makeReport(SteadyTime now);

    // Counts a peer's report; one that isn't newer than the last is ignored.
    void takeReport(const InstanceName& peer, const DemandReport& report, SteadyTime now);

    // The share of the limits that this instance uses now.
    double rateShare(CustomerIndex customer) const;
    double concurrencyShare(CustomerIndex customer) const;
    std::uint32_t inFlight(CustomerIndex customer) const;

private:
    struct Customer {
        CustomerLimit limit;
        std::uint64_t digest = 0;
        bool isConfigured = false;
        std::uint32_t offered = 0; // Since the last report.
        std::uint32_t admitted = 0; // Since the last report.
        std::uint32_t refusedConcurrent = 0; // Since the last report.
        std::uint32_t inFlight = 0;
        std::uint32_t peakInFlight = 0; // Since the last report.
        double demandRate = 0; // Moving mean, requests a second.
        double demandConcurrent = 0;
        double tokens = 0;
        SteadyTime filledAt;
        std::uint64_t othersRate = 0; // Sums over the peers' reports, in their units.
        std::uint64_t othersConcurrent = 0;
        std::uint64_t othersInFlight = 0;
        double rateShare = 0;
        double concurrencyShare = 0;
    };

    // What was told to the peers about one customer.
    struct Told {
        std::uint32_t rate = 0;
        std::uint32_t concurrent = 0;
    };

    struct ToldReport {
        std::uint64_t sequence = 0;
        std::vector<Told> byCustomer;
    };

    struct Peer {
        InstanceName name;
        bool isListed = false;
        SteadyTime heardAt;
        std::optional<Incarnation> incarnation; // Of the report that the sums hold; nothing before the first.
        std::uint64_t sequence = 0;
        std::optional<std::uint64_t> acknowledged; // The newest own report that it counts.
        SteadyTime acknowledgedAt;
        std::vector<CustomerDemand> byCustomer;
        std::size_t customersAtReport = 0; // How many customers were known here when it last reported.
    };

    Customer& at(CustomerIndex customer) { return m_customers[static_cast<std::size_t>(customer)]; }
    const Customer& at(CustomerIndex customer) const { return m_customers[static_cast<std::size_t>(customer)]; }
    Peer& peerNamed(const InstanceName& name);
    void countReport(Peer& peer, const DemandReport& report);
    std::optional<std::uint64_t> acknowledgedIn(const DemandReport& report) const;
    void takeAck(Peer& peer, const DemandReport& report, SteadyTime now);
    bool isCoveredByFloor(const Customer& customer) const;
    void dropPeers(SteadyTime now);
    void subtract(const Peer& peer);
    double wantedConcurrent(const Customer& customer) const;
    void measure(Customer& customer, std::chrono::duration<double> period);
    DemandReport tell();
    void mergeOldestTold();
    void forgetAcknowledged();
    std::optional<std::uint64_t> oldestAcknowledged() const;
    std::size_t customersReportedByAll() const;
    void updateShares(SteadyTime now);
    Told lowestTold(std::size_t customer) const;
    void fill(Customer& customer, SteadyTime now) const;
    double capacity(const Customer& customer) const;

    InstanceName m_self;
    Incarnation m_incarnation;
    LimitSettings m_settings;
    std::vector<Customer> m_customers;
    std::unordered_map<std::string, CustomerIndex> m_byName;
    std::unordered_map<std::uint64_t, CustomerIndex> m_byDigest;
    std::vector<Peer> m_peers;
    std::deque<ToldReport> m_told; // From the oldest one that a peer may still count.
    std::uint64_t m_sequence = 0;
    SteadyTime m_reportedAt;
};

}
