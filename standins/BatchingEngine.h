// The core of the engines' stand-in, free of I/O and time: continuous batching by steps, priorities
// and a bounded prefix cache.
//
// EngineStandIn.cpp drives it with a timer; its tests step it by hand.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace whinyard::standin {

// The least recently used digests leave first.
class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacity);

    // Returns how many leading blocks of the chain are held, and counts them as used.
    std::size_t match(const std::vector<std::uint64_t>& chain);

    void insert(const std::vector<std::uint64_t>& chain);

    // Returns the digests, the latest used first.
    std::vector<std::uint64_t> digests() const;

private:
    bool touch(std::uint64_t digest);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};

struct EngineLimits {
    std::size_t slots = 8; // Generations that run at once.
    std::size_t queueLength = 256;
    std::size_t cacheBlocks = 1'024;
    std::size_t prefillBlocksPerStep = 4;
    std::size_t keptFinished = 1'000; // Finished generations that can still be read.
};

enum class GenerationState : std::uint8_t {
    queued,
    running,
    finished,
    cancelled,
};

// One attempt's generation.
struct Generation {
    std::string attempt;
    std::string version;
    std::uint32_t priority = 1; // 0 is served first.
    std::vector<std::string> tokens; // The whole answer.
    bool truncated = false; // The answer was longer than allowed.
    std::size_t promptTokens = 0;
    std::vector<std::uint64_t> prompt; // Chain of its blocks' digests.
    std::int64_t arrivedMs = 0; // Wall clock, for the history.

    GenerationState state = GenerationState::queued;
    std::size_t prefillSteps = 0; // Left before the first token.
    std::size_t produced = 0; // Tokens made so far.

    bool ended() const { return state == GenerationState::finished || state == GenerationState::cancelled; }
};

using GenerationRef = std::shared_ptr<const Generation>;

// One line of the history that checkers read.
struct EngineRun {
    std::string attempt;
    std::string version;
    std::size_t tokens = 0; // Made when the state last changed.
    GenerationState state = GenerationState::queued;
    std::int64_t arrivedMs = 0;
};

class BatchingEngine {
public:
    explicit BatchingEngine(const EngineLimits& limits);

    // Takes a generation. Returns null when the queue is full or the attempt is known.
    GenerationRef add(Generation generation);

    // Does one step: fills free slots by priority, then each running generation advances by one
    // step of prefill or one token.
    void step();

    // Ends a generation early; returns false when there is none of this name.
    bool cancel(const std::string& attempt);

    // Returns null for an unknown attempt, or one that ended long ago.
    GenerationRef find(const std::string& attempt) const;

    // Returns whether an attempt of this name was ever taken.
    bool knows(const std::string& attempt) const { return m_historyIndex.contains(attempt); }

    bool busy() const { return !m_running.empty() || !m_queue.empty(); }
    std::size_t running() const { return m_running.size(); }
    std::size_t queued() const { return m_queue.size(); }
    std::size_t slots() const { return m_limits.slots; }
    std::vector<std::uint64_t> cachedPrefixes() const { return m_cache.digests(); }

    // Returns every attempt ever taken, in order of arrival.
    const std::vector<EngineRun>& history() const { return m_history; }

private:
    using Mutable = std::shared_ptr<Generation>;
    using Rank = std::pair<std::uint32_t, std::uint64_t>; // Priority, then order of arrival.

    void admit(const Mutable& generation);
    void advance(Generation& generation);
    void setState(Generation& generation, GenerationState state);
    void end(Generation& generation, GenerationState state);

    EngineLimits m_limits;
    PrefixCache m_cache;
    std::map<Rank, Mutable> m_queue;
    std::vector<Mutable> m_running;
    std::unordered_map<std::string, Mutable> m_known; // By attempt; holds what can be read.
    std::deque<std::string> m_ended; // Oldest first.
    std::vector<EngineRun> m_history;
    std::unordered_map<std::string, std::size_t> m_historyIndex; // By attempt.
};

}
