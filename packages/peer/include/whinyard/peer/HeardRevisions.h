// Decides when this instance reads newer records of the operators, and from which other instance.
//
// Instances state up to which revision they know the operators' records. One that is behind reads them from one
// that isn't, one read at a time: a read that makes progress is never begun anew, and after one that failed the next waits
// longer each time and is made of another instance. A follower does the same beside its own watch of the store, which may
// stay silent over a change without being cut. Pure: the daemon makes the reads.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Random.h"
#include "whinyard/base/Revision.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace whinyard::peer {

struct HeardRevisionsSettings {
    // What the store's own word may take longer than another instance's, for one that follows the store itself: the store
    // tells all watches within some ten milliseconds of each other.
    std::chrono::milliseconds followerPatience { 200 };
    std::chrono::milliseconds firstPause { 100 }; // After a read that failed; it doubles with each further one.
    std::chrono::milliseconds longestPause { 1'600 };
    std::uint32_t failuresBeforeStore = 2; // In a row, after which the store is read, then and now, by few of all instances at once.
    std::size_t mostHeard = 16; // Instances to read from, the latest that were heard.
};

// A read that is due.
struct RevisionRead {
    std::optional<InstanceName> from; // Nothing: the store.

    bool operator==(const RevisionRead&) const = default;
};

class HeardRevisions {
public:
    explicit HeardRevisions(Random random, const HeardRevisionsSettings& settings = {});

    // Takes how many instances there are.
    void useInstances(std::size_t instances) { m_instances = instances; }

    // Takes up to which revision another instance knows the records.
    void hear(const InstanceName& instance, const Revision& revision, SteadyTime now);

    // Returns the newest revision that was heard of; 0 before the first.
    Revision newest() const { return m_newest; }

    // Returns whether a newer revision than `own` was heard of.
    bool isBehind(const Revision& own) const;

    // Returns the read that is due now for an instance that knows the records up to `own`; nothing while none is, or one
    // is under way.
    std::optional<RevisionRead> due(const Revision& own, bool isFollower, SteadyTime now);

    // Notes that the read that due() returned begins, and how it ended.
    void noteBegun() { m_isReading = true; }
    void noteEnded(bool succeeded, SteadyTime now);

private:
    // Returns an instance that knows more than `own`; nothing where none is known.
    std::optional<InstanceName> choose(const Revision& own);

    const HeardRevisionsSettings m_settings;
    Random m_random;
    struct Heard {
        InstanceName instance;
        Revision revision;
    };

    std::vector<Heard> m_heard; // The latest last.
    std::size_t m_instances = 1;
    Revision m_newest;
    SteadyTime m_newestSince;
    bool m_isReading = false;
    std::optional<InstanceName> m_asked; // By the read that was due last.
    std::set<InstanceName> m_failed; // Instances whose reads failed since the last that didn't; asked after the others.
    std::uint32_t m_failures = 0; // In a row.
    SteadyTime m_notBefore; // When the next read may begin.
};

}
