// How many tokens of its KV cache each engine uses for running requests, as far as this instance knows.
//
// EndpointTable owns one, and the selector asks it in each choice, so that no engine is given more than its cache holds: an
// engine whose cache overflows preempts a running request and prefills it again. Own requests count from their exact begin to
// their exact end, reported ones of other instances until their expected end, and those that other instances don't report are
// estimated from the own ones of the same kind. Pure: no I/O, no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace whinyard::policy {

enum class EndpointIndex : std::uint32_t;
enum class TargetIndex : std::uint32_t;

class EngineMemory {
public:
    // Of an engine's capacity that requests are given while another engine has room. The rest is for responses that get longer
    // than was expected, and for requests that no notice has told of yet.
    static constexpr double fillLimit = 0.9;

    // Reports of one engine that are told apart; further ones are merged. An engine runs fewer requests than this.
    static constexpr std::size_t mostReports = 64;

    // A report counts no longer than this, whatever it says.
    static constexpr std::chrono::seconds longestReport { 120 };

    // Of an engine's capacity that estimated requests of other instances take at most. Their estimate is a mean over engines.
    static constexpr double largestEstimatedShare = 0.5;

    // Where a report is told to a part of the other instances, each of these takes it for so many at most.
    static constexpr double mostStoodFor = 3;

    // How much of the memory of requests a part of the other instances hears, in the mean, if each report says `factor` times it.
    struct Telling {
        double factor = 1;
        double share = 0;
    };

    // Returns that for reports which are told to `told` of the `others`. The factor makes up for reports that an instance doesn't
    // get, in the mean of many; a larger one would let single reports shut an engine.
    static Telling telling(std::size_t told, std::size_t others);

    // A running request of this instance.
    struct Hold {
        EndpointIndex endpoint {};
        std::uint64_t id = 0; // 0: nothing is held.
    };

    // The shares of the capacity that are believed to be used.
    struct Shares {
        double largest = 0; // Of any engine.
        double mean = 0;
    };

    // A request that runs on after its expected end, of which other instances are to hear again.
    struct Overdue {
        EndpointIndex endpoint {};
        std::uint32_t tokens = 0;
        std::chrono::nanoseconds duration { 0 }; // Until its next expected end.
    };

    // Sets the engine's capacity, how many requests it runs at once, and the target whose engines are alike. 0 tokens: unknown, and
    // the engine always has room. Requests beyond its slots wait without using memory.
    void useCapacity(EndpointIndex endpoint, std::uint64_t tokens, std::uint32_t slots, TargetIndex target);

    // Returns the engine's capacity in tokens; 0 if it is unknown.
    std::uint32_t capacity(EndpointIndex endpoint) const;

    // Notes that the engine holds nothing: it is another process.
    void clear(EndpointIndex endpoint);

    // Counts an own request that is sent to the engine and is expected to end at `until`. The other instances hear of the share
    // `toldTo` of its memory in the mean, and this instance likewise of theirs.
    Hold begin(EndpointIndex endpoint, std::uint32_t tokens, SteadyTime until, double toldTo);

    // Ends it. Does nothing for a request whose engine has restarted since.
    void end(const Hold& hold);

    // Takes another instance's report of a request that is expected to end at `until`.
    void report(EndpointIndex endpoint, std::uint32_t tokens, SteadyTime until, SteadyTime now);

    // Returns the own requests that were told of and have run on since the last call. Each time the same one comes later: its
    // expected end moves by twice as much as before.
    std::vector<Overdue> takeOverdue() { return std::exchange(m_overdue, {}); }

    // Returns how many tokens the engine is believed to use.
    double used(EndpointIndex endpoint, SteadyTime now) const;

    // Returns whether so many more tokens leave the engine below its limit; always if its capacity is unknown.
    bool hasRoom(EndpointIndex endpoint, std::uint32_t tokens, SteadyTime now) const;

    // Returns how many tokens are free up to the whole capacity; less than 0 if requests wait there.
    double room(EndpointIndex endpoint, SteadyTime now) const;

    // Returns when so many tokens are expected to be free; SteadyTime::max() if the engine never holds as many.
    SteadyTime roomAt(EndpointIndex endpoint, std::uint32_t tokens, SteadyTime now) const;

    // Returns the believed shares over all engines of known capacity.
    Shares shares(SteadyTime now) const;

    // Forgets reports that have ended, moves the expected end of own requests that run on, and estimates the unreported requests of the other instances. `engines` tells how many
    // engines a target has, `instances` how many instances live, this one included. Call it about every 100 ms.
    void refresh(SteadyTime now, std::size_t instances, const std::function<std::size_t(TargetIndex)>& engines);

    // Returns for how many engines anything is counted.
    std::size_t size() const { return m_entries.size(); }

private:
    struct Engine {
        std::uint32_t capacity = 0;
        std::uint32_t slots = 0;
        TargetIndex target {};
    };

    struct Own {
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
        SteadyTime until;
        double untold = 0; // Tokens times the share of the other instances that doesn't hear of the request.
        std::chrono::nanoseconds extension { 0 }; // By which its expected end was moved last.
    };

    struct Report {
        std::uint64_t tokens = 0; // Of several, where they are merged.
        SteadyTime until;
    };

    struct Entry {
        std::vector<Own> own;
        std::vector<Report> reports;
    };

    // What this instance runs without other instances hearing of it, on all engines of a target.
    struct Untold {
        double tokens = 0;
        double mean = 0; // Decaying.
        double othersOnEach = 0; // What the other instances are estimated to run likewise on each engine.
    };

    Engine engine(EndpointIndex endpoint) const;
    double estimated(const Engine& engine) const;
    static double countedAt(const Engine& engine, const Entry& entry, SteadyTime at, SteadyTime now);
    void extend(EndpointIndex endpoint, Own& own, SteadyTime now);
    static void mergeReport(std::vector<Report>& reports, const Report& added);

    std::vector<Engine> m_engines; // By EndpointIndex; empty while no capacity is known.
    std::size_t m_known = 0; // Engines of known capacity.
    std::unordered_map<EndpointIndex, Entry> m_entries; // Only of engines that are used.
    std::unordered_map<TargetIndex, Untold> m_untold;
    std::vector<Overdue> m_overdue;
    SteadyTime m_refreshedAt;
    std::uint64_t m_lastId = 0;
};

}
