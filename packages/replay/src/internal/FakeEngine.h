// A model engine as far as decisions notice it: a queue, batch slots, a step time and a bounded prefix cache.
#pragma once

#include "internal/EventQueue.h"
#include "whinyard/replay/Trace.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace whinyard::replay {

// One attempt of a request at an engine.
struct EngineJob {
    std::uint64_t id = 0;
    std::uint32_t session = 0; // Whose prompt prefix the cache may hold.
    std::uint32_t promptTokens = 0;
    std::uint32_t prefixTokens = 0;
    std::uint32_t completionTokens = 1;
};

class FakeEngine {
public:
    // Called at the end of the step that made the first, or the last, token of a job.
    struct Listener {
        std::function<void(std::uint64_t job)> firstToken;
        std::function<void(std::uint64_t job)> finished;
    };

    FakeEngine(const TraceEngine& description, EventQueue& events, Listener listener);

    void submit(const EngineJob& job);

    // Ends a job early. Returns the tokens that were worked for it, prompt and completion; 0 if it isn't here.
    std::uint64_t cancel(std::uint64_t job);

    // Loses everything; returns the jobs that were here. It takes no work afterwards.
    std::vector<std::uint64_t> lose();

    bool isLost() const { return m_lost; }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(m_queue.size()); }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    const TraceEngine& description() const { return m_description; }

    // The exact time to the first token if `job` came now and nothing after it.
    std::chrono::microseconds trueFirstToken(const EngineJob& job) const;

private:
    struct Running {
        EngineJob job;
        std::uint32_t prefillLeft = 0;
        std::uint32_t prefilled = 0;
        std::uint32_t generated = 0;
    };

    // The last prompts, by session, the most recent first.
    class PrefixCache {
    public:
        explicit PrefixCache(std::uint32_t capacity)
            : m_capacity(capacity)
        {
        }

        std::uint32_t tokensOf(std::uint32_t session) const;
        void put(std::uint32_t session, std::uint32_t tokens);

    private:
        struct Entry {
            std::uint32_t session;
            std::uint32_t tokens;
        };

        std::uint32_t m_capacity;
        std::uint32_t m_held = 0;
        std::list<Entry> m_entries;
        std::unordered_map<std::uint32_t, std::list<Entry>::iterator> m_places;
    };

    std::uint32_t prefillOf(const EngineJob& job) const;
    void admit();
    void startStep();
    void endStep();

    const TraceEngine& m_description;
    EventQueue& m_events;
    Listener m_listener;
    std::deque<EngineJob> m_queue;
    std::vector<Running> m_running;
    PrefixCache m_cache;
    bool m_stepping = false;
    bool m_lost = false;
};

}
