// The rates that endpoints state for all instances together, as this instance heard them in answers or was told.
//
// A statement holds until an answer comes without one. Answers overtake each other, and so do the notices of other instances.
// So two times are kept for each endpoint that only grow, whoever told of them: when an answer that states a rate was last
// heard, and when the latest request was sent whose answer states none. The rate holds unless the second one is later.
//
// EndpointDirectory owns one, and has its quotas follow. Pure: no I/O, no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/RateNews.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace whinyard::policy {

// What was learnt of an endpoint's rate.
struct RateReport {
    enum class Kind {
        begun,
        changed,
        confirmed, // An answer stated what was believed already.
        ended,
        confirmedEnd,
    };

    Kind kind = Kind::confirmed;
    bool isOwn = true; // This instance heard it in an answer; else it was told.
    RateNews news;

    // Returns whether what is believed has changed.
    bool isChange() const { return kind != Kind::confirmed && kind != Kind::confirmedEnd; }

    // Returns whether all other instances are to be told at once; else a few are.
    bool concernsAll() const { return kind == Kind::begun || kind == Kind::ended; }
};

class StatedRates {
public:
    // An end is remembered for so long, so that older statements that are told late don't begin it anew.
    static constexpr std::chrono::seconds endRemembered { 30 };

    // A list may lack an endpoint that lives, while the store is away.
    static constexpr std::chrono::seconds unlistedRemembered { 60 };

    // Takes what the answer to a request that was sent at `sentAt` states.
    void takeAnswer(const EndpointName& endpoint, std::optional<double> requestsPerSecond, SteadyTime sentAt, SteadyTime now);

    void takeNews(const RateNews& news, SteadyTime now);

    // Returns the rate that holds.
    std::optional<double> rate(const EndpointName& endpoint) const;

    // Returns when an answer that states a rate was last heard, by anybody.
    SteadyTime heardAt(const EndpointName& endpoint) const;

    // Returns how many rates hold.
    std::size_t size() const;

    // Forgets what an earlier process of the name stated.
    void forget(const EndpointName& endpoint) { m_beliefs.erase(endpoint); }

    // Forgets ends that were long ago, and endpoints that the list hasn't shown for long.
    void refresh(SteadyTime now, const std::function<bool(const EndpointName&)>& isListed);

    // Returns what was learnt since the last call.
    std::vector<RateReport> takeReports();

private:
    // Reports beyond this many are dropped: the confirmations that follow tell the same.
    static constexpr std::size_t mostReports = 256;

    struct Belief {
        double requestsPerSecond = 0;
        SteadyTime statedAt;
        SteadyTime clearedAt;
        SteadyTime endedAt; // When this instance learnt that the rate doesn't hold any more.

        bool holds() const { return statedAt >= clearedAt; }
    };

    void report(RateReport::Kind kind, bool isOwn, const EndpointName& endpoint, const Belief& belief, SteadyTime now);

    std::map<EndpointName, Belief> m_beliefs; // Of endpoints that state a rate, or did until lately.
    std::vector<RateReport> m_reports;
};

}
