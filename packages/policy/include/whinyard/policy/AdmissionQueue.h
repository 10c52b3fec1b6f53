// The bounded queue of requests that wait for capacity: fair between customers, soonest deadline
// first within one, and a refusal at once when the deadline can't be met.
//
// The router puts a request in when no endpoint can take it at once, and takes the next one out when
// one can. Pure: times are passed in; once its lists have grown, nothing allocates.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/policy/CustomerLimits.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace whinyard::policy {

// Priorities from 0, served most, to 2.
inline constexpr std::size_t priorityCount = 3;

struct QueueSettings {
    std::size_t capacity = 4'096; // Requests.
    std::array<std::uint32_t, priorityCount> weights { 16, 4, 1 }; // Capacity that a customer gets, by its requests' priority.
    std::uint32_t quantum = 256; // Cost that weight 1 gets in each round; about the mean cost of a request.
    std::chrono::milliseconds patience { 30'000 }; // Stands for a later deadline when requests of a customer are ordered.
    std::chrono::milliseconds drainMemory { 2'000 }; // Time constant of the measured drain rate.
    std::chrono::milliseconds initialRetryAfter { 250 }; // Before any drain was measured.
};

// A waiting request as the queue sees it.
struct QueueItem {
    std::uint64_t id = 0; // Chosen by the caller.
    CustomerIndex customer {};
    std::uint8_t priority = 1;
    std::uint32_t cost = 1; // Expected work, for example tokens; at least 1.
    SteadyTime deadline = SteadyTime::max();
};

enum class QueueVerdict : std::uint8_t {
    accepted,
    full, // The queue is full, and this customer has the longest part of it.
    deadlineUnreachable,
};

struct QueueDecision {
    QueueVerdict verdict = QueueVerdict::accepted;
    std::chrono::milliseconds expectedWait { 0 }; // From the measured drain rate; 0 before the first measurement.
    std::chrono::milliseconds retryAfter { 0 }; // For a refusal: when there will be room within such a deadline.
    std::optional<std::uint64_t> evicted; // A waiting request of the longest part that gave way; refuse it as not run.
};

// What take() found.
enum class TakeVerdict : std::uint8_t {
    serve,
    expired, // Its deadline passed while it waited; refuse it as not run.
};

struct TakenItem {
    std::uint64_t id = 0;
    TakeVerdict verdict = TakeVerdict::serve;
};

// Deficit round robin (Shreedhar, Varghese, SIGCOMM 1995) over flows, one for each customer and priority. A
// flow's part of the capacity is its weight over the weights of all flows that wait, so none starves. Within
// a flow the soonest deadline goes first, and waiting counts: patience bounds how long a late deadline is passed.
class AdmissionQueue {
public:
    explicit AdmissionQueue(QueueSettings settings = {});

    // Puts a request in, or refuses it.
    QueueDecision offer(const QueueItem& item, SteadyTime now);

    // Takes the next request out; nothing if none waits. Call it when there is capacity, and again
    // after an expired one.
    std::optional<TakenItem> take(SteadyTime now);

    // Takes out a request whose caller went away. Returns whether it was waiting. Slow: looks at the whole flow.
    bool remove(const QueueItem& item);

    // Forecasts waits from a rate that the caller knows, as cost per second, in place of the measured one.
    void useDrainRate(double costPerSecond) { m_statedRate = costPerSecond; }

    std::size_t size() const { return m_size; }

    // The expected wait of a new request of this customer and priority.
    std::chrono::milliseconds expectedWait(CustomerIndex customer, std::uint8_t priority) const;

private:
    struct Waiting {
        SteadyTime order; // The deadline, at most patience after the arrival.
        SteadyTime deadline;
        std::uint64_t id;
        std::uint32_t cost;
    };

    struct Flow {
        std::vector<Waiting> heap; // The soonest order first.
        std::uint64_t cost = 0; // Of all that waits.
        std::uint64_t deficit = 0;
        std::uint32_t weight = 1;
        bool isActive = false;
    };

    static bool isLater(const Waiting& left, const Waiting& right);
    std::size_t flowIndex(CustomerIndex customer, std::uint8_t priority) const;
    Flow& flowFor(const QueueItem& item);
    std::uint64_t costAhead(const Flow& flow, std::uint64_t added) const;
    std::chrono::milliseconds waitFor(std::uint64_t cost) const;
    std::optional<std::uint64_t> evictFromLongest(const Flow& newcomer);
    void activate(std::size_t flow);
    void deactivateFront();
    void popFrom(Flow& flow);
    void measure(std::uint32_t cost, SteadyTime now);

    const QueueSettings m_settings;
    std::vector<Flow> m_flows;
    std::vector<std::size_t> m_active; // A ring of the flows with requests; m_front is next.
    std::size_t m_front = 0;
    std::size_t m_activeCount = 0;
    std::size_t m_size = 0;
    std::uint64_t m_cost = 0;
    std::uint64_t m_activeWeight = 0;
    double m_drainedCost = 0; // Decaying sums while requests wait.
    double m_drainSeconds = 0;
    double m_statedRate = 0; // Zero: the measured one counts.
    std::optional<SteadyTime> m_busySince; // Since when, or since the last take(), requests have waited.
};

}
