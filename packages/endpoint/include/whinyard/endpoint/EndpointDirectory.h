// The endpoints that this instance may send work to: the platform's lagging list, corrected by what
// the endpoints themselves and the other instances say.
//
// The router asks it for an endpoint before every dispatch and tells it how each attempt ended; the
// daemon feeds it the list and the load reports. It belongs to one duty and does no I/O.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Random.h"
#include "whinyard/config/Routing.h"
#include "whinyard/endpoint/EndpointStatement.h"
#include "whinyard/endpoint/EngineClient.h"
#include "whinyard/policy/Cascade.h"
#include "whinyard/policy/EndpointChoice.h"
#include "whinyard/policy/EnginePaces.h"
#include "whinyard/policy/PlacePool.h"
#include "whinyard/policy/StatedRates.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whinyard::endpoint {

// What a choice needs to know about an attempt. Exactly one of `version` and `service` is set.
struct EndpointWish {
    VersionName version;
    ServiceName service;
    std::uint64_t affinity = 0; // Digest of the session or of the prompt's first part; 0 for none.
    std::vector<std::uint64_t> prefix; // Chained digests of the prompt's blocks.
    std::uint32_t promptTokens = 0; // 0 for plain services.
    std::uint8_t priority = 1; // 0 is served first.
    bool mayProbe = true; // False for calls that may not be repeated.
    SteadyTime deadline = SteadyTime::max();
    std::chrono::nanoseconds tokenTime { 0 }; // See policy::EndpointRequest.
    bool stallsOthers = false;
    SteadyTime firstEventDue = SteadyTime::max();
    std::vector<float> prefixShares;
    std::vector<EndpointName> excluded; // Tried already.
    std::vector<EndpointName> among; // See policy::EndpointRequest.
    config::Residency residency; // Only endpoints of these regions may get the request.
    std::uint32_t neededTokens = 0; // Of an engine's memory; see policy::EndpointRequest for these two.
    SteadyTime roomBy = SteadyTime::max();
};

// The endpoint that was chosen.
struct ChosenEndpoint {
    EndpointName name;
    net::Address address;
    std::string reason;
    std::uint64_t incarnation = 0; // Of its process; 0 if it doesn't say.
    policy::EndpointPlan plan; // With the waits that are expected, for policy::planRedispatch().
};

using policy::EndpointOutcome;

// What one cold endpoint of a service bears.
struct ColdBound {
    std::uint32_t requestsInAnySecond = 0; // From all instances.
    std::chrono::milliseconds coldFor { 0 }; // After its start, or after its zone is taken back.

    bool operator==(const ColdBound&) const = default;
};

// What a statement has changed in what is believed of its endpoint, besides its rate.
struct StatementEffect {
    bool beganToLeave = false;
    bool beganToRest = false; // Or rests for longer than was known.
    bool beganToBeBrittle = false; // Its service's endpoints, as far as is known.
};

class EndpointDirectory {
public:
    // `zone` is the instance's own.
    EndpointDirectory(ZoneName zone, Random random, const policy::EndpointTableSettings& table = {}, const policy::WaitSelectorSettings& selector = {});

    // Takes the region of each availability zone. The endpoints of a zone that isn't named get no request that is restricted
    // to regions.
    void useRegions(std::map<ZoneName, RegionName> regions) { m_regions = std::move(regions); }

    // Takes the platform's list. Entries of other instances are ignored.
    void replace(const std::vector<backing::ListedEndpoint>& listed, SteadyTime now);

    // Takes what has changed of the list.
    void change(const std::vector<backing::ListedEndpoint>& changed, const std::vector<EndpointName>& gone, SteadyTime now);

    // Returns the versions of each service that was ever listed, with endpoints that the list doesn't have as leaving.
    std::map<ServiceName, std::vector<VersionName>> liveVersions() const;

    // Takes the zones whose endpoints get nothing more. Those of a zone that is taken back may have become cold meanwhile, and
    // count as cold until they had the time to become warm.
    void useEvacuatedZones(const std::set<ZoneName>& zones, SteadyTime now);

    // Takes what the cold endpoints of each service bear; one that isn't named bears any number of requests.
    void useColdBounds(const std::map<ServiceName, ColdBound>& bounds);

    // Takes how many tokens the KV cache of each service's engines holds; of one that isn't named it isn't accounted. See
    // policy::EngineMemory.
    void useCacheTokens(const std::map<ServiceName, std::uint64_t>& tokens);

    // Takes the instances that live, which share what endpoints under a quota take. See policy::EndpointQuotas.
    void useInstances(const InstanceName& self, const std::vector<InstanceName>& instances) { m_table.quotas().useInstances(self, instances); }

    // Returns how many instances that is.
    std::size_t instances() const { return m_table.quotas().instances(); }

    // Takes what an endpoint states of itself in its answer to a request that was sent at `sentAt`.
    StatementEffect recordStatement(const EndpointName& endpoint, const EndpointStatement& statement, SteadyTime sentAt, SteadyTime now);

    // Takes what another instance tells of an endpoint's rate.
    void takeRateNews(const RateNews& news, SteadyTime now);

    // Returns what was learnt of endpoints' rates since the last call.
    std::vector<policy::RateReport> takeRateReports() { return m_rates.takeReports(); }

    // Notes that an endpoint turned a request away. A brittle one gets none of this instance for a second.
    void recordTurnedAway(const EndpointName& endpoint, SteadyTime now);

    // Returns how many versions have endpoints that are brittle.
    std::size_t brittleVersions() const { return m_brittle.size(); }

    // Returns how many endpoints state a rate that holds.
    std::size_t limitedEndpoints() const { return m_rates.size(); }

    // Returns how many requests a second the live endpoints of the service take, from all instances.
    double capacity(const ServiceName& service) const;

    // Notes that an endpoint says that it is cold for so long.
    void recordCold(const EndpointName& endpoint, std::chrono::milliseconds left, SteadyTime now);

    // Returns how many endpoints are cold, of those whose coldness matters.
    std::size_t coldEndpoints(SteadyTime now) const;

    // Takes the endpoint out of all choices at once, until the list shows another process of it. See
    // policy::EndpointTable::markLeaving().
    void markLeaving(const EndpointName& endpoint);

    // Chooses an endpoint. Fills `failure` with noEndpoint, or overloaded when none can answer before
    // the deadline, with the time to come back.
    std::optional<ChosenEndpoint> choose(const EndpointWish& wish, SteadyTime now, Failure& failure);

    // Returns the endpoint as choose() does, where a request with this wish may be sent to it now: it is live, its zone isn't
    // evacuated, the wish neither excludes it nor keeps out of its region, and it takes a request of this instance. Its
    // health isn't asked: who names it knows of the failures that other instances had there.
    std::optional<ChosenEndpoint> chooseNamed(const EndpointName& name, const EndpointWish& wish, SteadyTime now) const;

    // Returns the endpoints of a version that are live and not in an evacuated zone. Those that don't say how many requests
    // they run at once have no slots.
    std::vector<policy::PooledEndpoint> liveEndpoints(const VersionName& version) const;

    // Returns the endpoint as it is listed; nothing where it isn't, or leaves.
    std::optional<backing::ListedEndpoint> findLive(const EndpointName& name) const;

    // Returns up to so many different endpoints of the service, drawn from the live ones of all its versions; those that are ejected
    // come in where there are too few others. The cost doesn't grow with their number.
    std::vector<backing::ListedEndpoint> drawLive(const ServiceName& service, std::size_t count);

    // Returns the slots of the service's endpoints that are live and not in an evacuated zone, where they are fewer than
    // `bound`; nothing where they aren't, there are none, or one doesn't say how many it has. The cost grows with the bound.
    std::optional<std::uint64_t> slotsBelow(const ServiceName& service, std::uint64_t bound) const;
    // Returns the plan of the last choice.
    const policy::EndpointPlan& lastPlan() const { return m_lastPlan; }

    // Returns how many tokens the KV cache of an engine for this wish holds; 0 if it is unknown.
    std::uint32_t cacheTokens(const EndpointWish& wish) const;

    // Counts the memory of a request that is sent to an engine, until releaseMemory(). See policy::EngineMemory::begin().
    policy::EngineMemory::Hold holdMemory(const EndpointName& endpoint, std::uint32_t tokens, SteadyTime until, double toldTo);
    void releaseMemory(const policy::EngineMemory::Hold& hold) { m_table.memory().end(hold); }

    // Takes another instance's word of a request that it has sent to an engine.
    void takeMemoryNews(const EndpointName& endpoint, std::uint32_t tokens, std::chrono::nanoseconds duration, SteadyTime now);

    // Calls `tell` with the name of the engine, the tokens and the next expected end of each own request that runs on after its
    // expected end, to tell other instances. See policy::EngineMemory::takeOverdue().
    void tellOverdue(const std::function<void(const EndpointName&, std::uint32_t, std::chrono::nanoseconds)>& tell);

    // Returns the believed shares of engines' memory in use.
    policy::EngineMemory::Shares memoryShares(SteadyTime now) const { return m_table.memory().shares(now); }

    // Counts an attempt that is being sent, the time to its first byte, that it still waits after policy::patienceFor(),
    // and its end.
    void recordDispatch(const EndpointName& endpoint, const std::vector<std::uint64_t>& prefix, SteadyTime now);
    void recordFirstByte(const EndpointName& endpoint, std::chrono::nanoseconds elapsed);
    void recordExpectation(const EndpointName& endpoint, std::chrono::nanoseconds elapsed, std::chrono::nanoseconds expected, SteadyTime now);
    void recordQueued(const EndpointName& endpoint, SteadyTime now);

    // Takes the time to the first event of a request to `chosen`, where it shows how fast the engine is. Does nothing, as the
    // functions below, unless the selector's settings share the paces of engines.
    void recordPace(const ChosenEndpoint& chosen, const ModelName& model, std::chrono::nanoseconds elapsed, SteadyTime now);

    // Takes what another instance tells of an engine's pace.
    void takePaceNews(const policy::PaceNews& news, SteadyTime now);

    // Returns the sums of own samples to tell the others, of at most so many engines. Returns some twice a second at most.
    std::vector<policy::PaceNews> takePaceNewsToTell(std::size_t most, SteadyTime now) { return m_paces.takeNews(most, now); }

    // Returns which engines began or ended to count as slow since the last call.
    std::vector<policy::PaceChange> takePaceChanges() { return m_paces.takeChanges(); }

    // Returns how many engines count as slow.
    std::size_t slowEngines() const { return m_paces.slowEngines(); }

    // Returns the engine's prefill time as a multiple of an ordinary engine's, as the choices use it.
    double pace(const EndpointName& endpoint) const;

    // Notes that an engine was given a prompt whose reading takes an ordinary engine `work`, by this instance or another one.
    void recordWork(const EndpointName& endpoint, std::chrono::nanoseconds work, SteadyTime now);

    // Notes that an engine holds the memory of these prefixes, by the word of another instance.
    void recordPrefixes(const EndpointName& endpoint, const std::vector<std::uint64_t>& prefixes, SteadyTime now);

    void recordEnd(const EndpointName& endpoint, EndpointOutcome outcome, std::chrono::nanoseconds elapsed, SteadyTime now);

    // Returns the time until the engine has read the prompts that it was given, as far as is known.
    std::chrono::nanoseconds backlog(const EndpointName& endpoint, SteadyTime now) const;

    // Takes a load report. `wallNow` tells how old it is.
    void recordReport(const EndpointName& endpoint, const LoadReport& report, SteadyTime now, WallTime wallNow);

    // Returns the endpoints that have refused new work as leaving since the last call, to tell other instances.
    std::vector<EndpointName> takeRefusals();

    // Returns the engines that are listed and not leaving, in the order of their names.
    std::vector<backing::ListedEndpoint> engines() const;

    // Returns the mean time until a live endpoint of any version of the service has read the prompts that it was given; where
    // all hold work off, the time until the first one takes any.
    std::chrono::nanoseconds meanBacklog(const ServiceName& service, SteadyTime now);

    // Returns the share of the live endpoints of any version of the service that have prompts to read or hold work off.
    double busyShare(const ServiceName& service, SteadyTime now);

    // Returns how many endpoints are listed and not leaving.
    std::size_t size() const;

    // Ends ejections that are over and ejects slow endpoints. Call it about every 100 ms.
    void refresh(SteadyTime now);

    // Respects an endpoint's wish to get no new work before `at`.
    void recordComeBackAt(const EndpointName& endpoint, SteadyTime at);

    // Returns what few requests exceed until the first token and until the whole answer of a version, for cascades. Both
    // are an hour where no endpoint can take it.
    policy::CascadeStep expectation(const VersionName& version, SteadyTime now, std::uint32_t promptTokens = 0);

private:
    void drawLiveFrom(const std::vector<const std::vector<policy::EndpointIndex>*>& lists, std::size_t count, std::vector<backing::ListedEndpoint>& drawn);
    bool isLive(const backing::ListedEndpoint& endpoint) const;
    void placeMembers();
    void countVersions(const backing::ListedEndpoint& listed, int change);
    std::vector<policy::TargetIndex> targetsOf(const ServiceName& service) const;
    bool servesAny(policy::EndpointIndex endpoint, const std::vector<policy::TargetIndex>& targets) const;
    policy::EndpointMember memberOf(const backing::ListedEndpoint& listed) const;
    std::optional<policy::TargetIndex> targetOf(const EndpointWish& wish) const;
    std::vector<policy::ZoneIndex> zonesOf(const config::Residency& residency) const;
    std::vector<policy::ZoneIndex> zonesOfOwnRegion() const;
    std::vector<policy::EndpointIndex> indexesOf(const std::vector<EndpointName>& names) const;
    void useRate(const EndpointName& endpoint);
    bool noteBrittle(const EndpointName& endpoint, SteadyTime now);
    void usePacesOf(const std::vector<backing::ListedEndpoint>& changed, const std::vector<EndpointName>& gone);
    void refreshPaces(SteadyTime now);

    ZoneName m_zone;
    std::map<ZoneName, RegionName> m_regions; // Of each zone.
    Random m_random;
    policy::EndpointTable m_table;
    std::unique_ptr<policy::EndpointSelector> m_selector;
    std::map<EndpointName, backing::ListedEndpoint> m_listed;
    std::map<ServiceName, std::map<VersionName, int>> m_live; // How many endpoints of each version are listed and don't leave.
    std::set<ZoneName> m_evacuated;
    std::map<ServiceName, ColdBound> m_coldBounds;
    std::map<ServiceName, std::uint64_t> m_cacheTokens;
    std::map<VersionName, SteadyTime> m_brittle; // Until when the endpoints of a version count as brittle.
    policy::EndpointPlan m_lastPlan;
    policy::StatedRates m_rates;
    const bool m_sharesPaces;
    policy::EnginePaces m_paces; // Without engines where paces aren't shared.
    std::vector<EndpointName> m_paced; // Whose pace in the table isn't that of an ordinary engine.
    std::vector<EndpointName> m_refusals;
};

}
