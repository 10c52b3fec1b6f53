// The endpoints that a store lists, over the times at which the store itself was away.
//
// Endpoints keep their entries under leases, which may lapse while the store is away although the endpoints live. So
// an entry that vanishes around such a time is kept for a moment; one that vanishes at any other time is gone.
// A store that comes back from an older copy may lack entries, and hold those of endpoints that have left since.
// The daemon feeds it what a store's watch tells and hands its list to EndpointDirectory. Pure.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Clock.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace whinyard::endpoint {

struct RosterSettings {
    // Endpoints that live are listed again about two seconds after the store's return; one that isn't is gone.
    std::chrono::milliseconds returnWithin { 2'200 };
    // For so long the name of an endpoint that has gone is remembered, and an entry that only an older copy has is left out: endpoints
    // that live write theirs several times meanwhile, and the store drops those of the others.
    std::chrono::milliseconds goneFor { 15'000 };
};

// What has changed of a list.
struct RosterChanges {
    std::vector<backing::ListedEndpoint> changed; // As they stand now.
    std::vector<EndpointName> gone;
};

class EndpointRoster {
public:
    explicit EndpointRoster(const RosterSettings& settings = {});

    // Takes all entries as they are now.
    void replace(const std::vector<backing::ListedEndpoint>& listed, SteadyTime now);

    // Takes all entries as they stand in an older copy from which the store has just come back.
    void replaceByCopy(const std::vector<backing::ListedEndpoint>& listed, SteadyTime now);

    // Take one entry that was written, or vanished. put() returns whether it says something new.
    bool put(const backing::ListedEndpoint& endpoint);
    void remove(const EndpointName& endpoint, SteadyTime now);

    // Take the same from another instance whose list is settled: what it says is gone is gone, and a time for which an endpoint
    // is cold is that of a new coldness where it differs from the one that was known.
    void replaceByTold(const std::vector<backing::ListedEndpoint>& listed);
    void putByTold(const backing::ListedEndpoint& endpoint);
    void removeByTold(const EndpointName& endpoint);

    // Notes that a call to the store failed, or succeeded.
    void storeFailed();
    void storeAnswered(SteadyTime now);

    // Returns whether the list holds no more than the store lists: the store answers, has for long enough, and settle() has
    // dropped what didn't return. While it is not so, the list may hold endpoints that have left, and must not be told to
    // instances that know better.
    bool isSettled(SteadyTime now) const;

    // Returns whether it holds endpoints that the store no longer lists, until they are dropped or listed again.
    bool holdsLapsed() const;

    // Drops the entries that were kept for long enough. Returns whether the list has changed, for any reason, since
    // the last call.
    bool settle(SteadyTime now);

    // Returns what has changed since the last call: what a change costs doesn't grow with the list.
    RosterChanges takeChanges();

    // Has the changes returned again by the next call, since whom they were for could not take them.
    void giveBack(const RosterChanges& changes);

    // Returns how many endpoints the list has.
    std::size_t size() const { return m_entries.size(); }

    // Returns an endpoint of the list; null where it isn't there.
    const backing::ListedEndpoint* find(const EndpointName& name) const;

    // Returns the endpoints in the order of their names. A cold one keeps the time that it said first until it is warm, or cold
    // again: it says a shorter one each second, and that is no change to tell.
    std::vector<backing::ListedEndpoint> list() const;

private:
    struct Entry {
        backing::ListedEndpoint endpoint;
        std::optional<SteadyTime> goneAt; // When it is dropped unless it is listed again.
        bool isLackedByCopy = false; // For that reason: all instances keep it, and may be told of it.
        std::chrono::milliseconds saidColdLeft { 0 }; // In its latest entry.
    };

    // Returns whether the store answers, and has for long enough that what it doesn't list is gone.
    bool isStoreComplete(SteadyTime now) const;

    using ListedNames = std::unordered_set<std::string_view>;

    // An endpoint that has gone.
    struct Gone {
        SteadyTime until; // Remembered.
        std::optional<backing::ListedEndpoint> copied; // Its entry in an older copy.
    };

    static ListedNames namesOf(const std::vector<backing::ListedEndpoint>& listed);
    void noteChange(const EndpointName& name);
    bool take(Entry& entry, const backing::ListedEndpoint& endpoint);
    void drop(std::map<EndpointName, Entry>::iterator entry, SteadyTime now);
    void noteGone(const EndpointName& name);
    bool isLeftOut(const backing::ListedEndpoint& endpoint) const;
    void settleGone(SteadyTime now);

    const RosterSettings m_settings;
    std::map<EndpointName, Entry> m_entries;
    bool m_storeFails = false;
    std::optional<SteadyTime> m_backSince; // Since when the store has answered again.
    std::map<EndpointName, Gone> m_gone; // Of late.
    SteadyTime m_now; // Of the last call that told it.
    bool m_changed = false;
    std::set<EndpointName> m_touched; // Changed or gone since the changes were taken.
};

}
