// A key-value store for tests in which several operators race: each call yields to other fibers, and a
// seed decides which replies are lost, which writes land late and when the store is down.
//
// It also plants faults in the store, which a checker of the history must see.
#pragma once

#include "whinyard/backing/FakeStore.h"
#include "whinyard/base/Random.h"
#include "whinyard/config/Document.h"

#include <boost/fiber/operations.hpp>

namespace whinyard::admin {

// What is wrong with the store on purpose.
enum class PlantedFault : std::uint8_t {
    none,
    ignoresExpectedRevision, // Writes over whatever stands there.
    acknowledgesLostWrites, // Says that a write took effect that never will.
    dropsHistory, // Loses records of the history.
    forgetsSubmissions, // Hides the accepted submissions from readers.
};

// How often something went wrong.
struct RacingCounts {
    std::size_t lostReplies = 0;
    std::size_t delayedWrites = 0;
    std::size_t lateEffects = 0;
    std::size_t outages = 0;
};

class RacingStore final : public backing::KeyValueStore {
public:
    RacingStore(const Clock& clock, Random& random, PlantedFault planted)
        : m_store(clock)
        , m_random(random)
        , m_planted(planted)
    {
    }

    // Every configuration that stood in the current record, in order.
    const std::vector<config::Configuration>& versions() const { return m_versions; }
    const RacingCounts& counts() const { return m_counts; }
    backing::MemoryStore& memory() { return m_store.memory(); }

    // Lets all delayed writes land.
    void settle()
    {
        m_store.setDown(false);
        m_counts.lateEffects += m_store.releaseDelayed();
        observe();
    }

    std::optional<backing::Record> read(const std::string& key, Failure& failure) override
    {
        disturb();
        auto record = m_store.read(key, failure);
        if (record && m_planted == PlantedFault::forgetsSubmissions)
            record->value = withoutSubmissions(record->value);
        return record;
    }

    std::optional<backing::Revision> swap(const backing::Swap& swap, Failure& failure) override
    {
        disturb();
        const bool isHistory = swap.key != config::currentKey;
        if (m_planted == PlantedFault::dropsHistory && isHistory && chance(0.3))
            return 1;
        if (m_planted == PlantedFault::acknowledgesLostWrites && !isHistory && chance(0.1))
            return 1;
        if (m_planted == PlantedFault::ignoresExpectedRevision && !isHistory) {
            const auto revision = m_store.memory().put(swap.key, swap.value);
            observe();
            return revision;
        }
        chooseWriteFault();
        const auto revision = m_store.swap(swap, failure);
        observe();
        yield();
        return revision;
    }

    bool erase(const std::string& key, backing::Revision expected, Failure& failure) override { return m_store.erase(key, expected, failure); }

    std::optional<std::vector<backing::Record>> list(const std::string& prefix, const std::string& after, std::size_t limit, Failure& failure) override
    {
        disturb();
        return m_store.list(prefix, after, limit, failure);
    }

    std::optional<backing::Record> watch(const std::string& key, backing::Revision known, std::chrono::milliseconds timeout, Failure& failure) override { return m_store.watch(key, known, timeout, failure); }
    std::optional<backing::LeaseId> grantLease(std::chrono::milliseconds timeToLive, Failure& failure) override { return m_store.grantLease(timeToLive, failure); }
    bool keepLease(backing::LeaseId lease, Failure& failure) override { return m_store.keepLease(lease, failure); }

private:
    bool chance(double probability) { return uniform(m_random) < probability; }

    void yield()
    {
        for (auto turns = below(m_random, 4); turns > 0; --turns)
            boost::this_fiber::yield();
    }

    void disturb()
    {
        yield();
        const bool down = chance(0.05);
        m_counts.outages += down ? 1 : 0;
        m_store.setDown(down);
        if (chance(0.2))
            m_counts.lateEffects += m_store.releaseDelayed();
        observe();
    }

    void chooseWriteFault()
    {
        if (chance(0.15)) {
            ++m_counts.lostReplies;
            m_store.loseNextReply();
        } else if (chance(0.15)) {
            ++m_counts.delayedWrites;
            m_store.delayNextWrite();
        }
    }

    void observe()
    {
        const auto record = m_store.memory().read(std::string(config::currentKey));
        if (!record || record->revision == m_lastRevision)
            return;
        m_lastRevision = record->revision;
        Failure failure;
        m_versions.push_back(config::parseRecord(record->value, failure).value());
    }

    static std::string withoutSubmissions(const std::string& text)
    {
        Failure failure;
        auto configuration = config::parseRecord(text, failure).value();
        configuration.accepted.clear();
        configuration.submission = "forgotten";
        return config::toRecord(configuration);
    }

    backing::FakeStore m_store;
    Random& m_random;
    const PlantedFault m_planted;
    RacingCounts m_counts;
    backing::Revision m_lastRevision = 0;
    std::vector<config::Configuration> m_versions;
};

}
