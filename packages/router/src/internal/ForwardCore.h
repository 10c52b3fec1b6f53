// The forwarder's parts and settings with its state, as the requests on the path share them.
#pragma once

#include "internal/AnswerMemory.h"
#include "whinyard/policy/AnswerLengths.h"
#include "whinyard/policy/EnginePrice.h"
#include "whinyard/policy/PromptRates.h"
#include "whinyard/policy/ReadDelay.h"
#include "whinyard/policy/RepeatBudget.h"
#include "whinyard/policy/RetryPolicy.h"
#include "whinyard/policy/ReturnSchedule.h"
#include "whinyard/policy/StartForecast.h"
#include "whinyard/policy/SufficiencyRates.h"
#include "whinyard/router/Forwarder.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace whinyard::router {

class ForwardRun;

struct ForwardCore {
    // Repeats are bounded for each service by itself.
    policy::RepeatBudget& budgetOf(const ServiceName& service)
    {
        const auto known = budgets.find(service);
        if (known != budgets.end())
            return known->second;
        const policy::RepeatBounds bounds { settings.repeatRatio, settings.repeatsPerSecond, settings.repeatWindow };
        return budgets.try_emplace(service, bounds, sharedRepeats, startedAt, uniform(random)).first->second;
    }

    // Tells how much of what is allowed the repeats of each service take.
    void tellRepeats()
    {
        for (auto& [service, budget] : budgets)
            parts.metrics.set("whinyard_repeats_used_share{service=\"" + service.value + "\"}", budget.use(parts.clock.now()).share());
    }

    // Tells what whole answers hold.
    void tellAnswerMemory() const { parts.metrics.set("whinyard_answers_held_bytes", static_cast<double>(answerMemory.bytes())); }

    // Moves on silence have a bound of their own beside that of all repeats.
    policy::RetryBudget& movesOf(const ServiceName& service)
    {
        return moves.try_emplace(service, settings.moveRatio, settings.movesPerSecond).first->second;
    }

    // Returns when a caller comes back that is refused because no endpoint of the service takes a request before `wait` is over.
    std::chrono::milliseconds returnAfter(const ServiceName& service, std::chrono::milliseconds wait)
    {
        const double perSecond = parts.directory.capacity(service) / static_cast<double>(parts.directory.instances());
        return returns[service].next(wait, perSecond, parts.clock.now(), random);
    }

    // Returns the endpoints of the version that requests are to be concentrated on. Naming them looks at all of its endpoints, so it is
    // done once for each turn.
    const std::vector<EndpointName>& concentrated(const VersionName& version, const policy::LoadConcentration& concentration)
    {
        Concentrated& known = concentrations[version];
        if (known.draw != concentration.draw || known.turn != concentration.turn)
            known = { concentration.draw, concentration.turn, policy::concentratedEndpoints(concentration, parts.directory.liveEndpoints(version)) };
        return known.endpoints;
    }

    policy::ServiceLoad& loadOf(const ServiceName& service)
    {
        const auto [entry, isNew] = loads.try_emplace(service);
        if (isNew)
            entry->second.service = service;
        return entry->second;
    }

    policy::EnginePrice& priceOf(const ServiceName& service)
    {
        return prices.try_emplace(service, settings.enginePrice).first->second;
    }

    policy::PromptRates& ratesOf(const ServiceName& service) { return rates.try_emplace(service).first->second; }

    // Has endpoints chosen by the newest routing and evacuations. Every dispatch asks for it in the gate before.
    void followRouting()
    {
        if (const auto zones = parts.routing.evacuatedZones(); zones && zones != evacuated) {
            evacuated = zones;
            parts.directory.useEvacuatedZones(*zones, parts.clock.now());
        }
        if (const auto newest = parts.routing.newest(); newest && newest != table) {
            table = newest;
            parts.directory.useColdBounds(coldBounds());
            parts.directory.useCacheTokens(cacheTokens());
        }
    }

    // Returns what cold endpoints bear by the routing that is followed.
    std::map<ServiceName, endpoint::ColdBound> coldBounds() const
    {
        std::map<ServiceName, endpoint::ColdBound> bounds;
        for (const config::RoutedService& service : table->routing().services) {
            if (service.coldRequestsPerSecond > 0)
                bounds[service.name] = { static_cast<std::uint32_t>(settings.coldFactor * service.coldRequestsPerSecond + settings.coldSlack), service.coldFor };
        }
        return bounds;
    }

    // Returns what engines hold by the routing that is followed, where it is accounted.
    std::map<ServiceName, std::uint64_t> cacheTokens() const
    {
        std::map<ServiceName, std::uint64_t> tokens;
        for (const config::RoutedService& service : table->routing().services) {
            if (settings.accountMemory && service.cacheTokens > 0)
                tokens[service.name] = service.cacheTokens;
        }
        return tokens;
    }

    // Returns whether a configuration and a list of endpoints are known; then they stay so.
    bool isStarted()
    {
        started = started || (parts.routing.newest() && parts.directory.size() > 0);
        return started;
    }

    // Returns whether this instance is behind; then time-outs say nothing of endpoints, paths and relays, and are no reason to send a
    // request anew.
    bool isBehind() const { return parts.load && parts.load->isBehind(); }

    std::chrono::milliseconds connectTimeout() const { return isBehind() ? settings.connectTimeoutBehind : settings.connectTimeout; }

    // Returns whether the process ends too soon for another attempt.
    bool isEnding() const { return parts.clock.now() >= endsAt; }

    // Learns what engines' time costs now.
    void notePrices()
    {
        for (auto& [service, price] : prices)
            price.note(parts.directory.meanBacklog(service, parts.clock.now()), parts.directory.busyShare(service, parts.clock.now()), parts.clock.now());
    }

    struct Concentrated {
        std::uint64_t draw = 0;
        std::uint64_t turn = 0;
        std::vector<EndpointName> endpoints;
    };

    ForwarderParts parts;
    ForwarderSettings settings;
    Random random;
    SteadyTime startedAt; // Of this instance; a window before where none ran before it.
    policy::SharedAllowance sharedRepeats;
    policy::ReadDelay reads {};
    policy::StartForecast start;
    std::unique_ptr<Wakeup> news;
    policy::EndpointPaths paths;
    AnswerMemory answerMemory;
    std::map<InstanceName, net::Address> relays {}; // Of the other instances.
    std::shared_ptr<const std::set<ZoneName>> evacuated {}; // As the directory knows them.
    std::shared_ptr<const config::RoutingTable> table {}; // Whose bounds the directory knows.
    std::map<ServiceName, policy::RepeatBudget> budgets {};
    std::map<ServiceName, policy::RetryBudget> moves {};
    std::map<ServiceName, policy::PromptRates> rates {};
    policy::SufficiencyRates sufficiency {};
    policy::AnswerLengths answers {};
    std::map<ServiceName, policy::EnginePrice> prices {};
    std::map<ServiceName, policy::ReturnSchedule> returns {};
    std::map<ServiceName, policy::ServiceLoad> loads {};
    std::map<ServiceName, std::vector<std::string>> versions {};
    std::map<VersionName, Concentrated> concentrations {};
    std::set<ForwardRun*> runs {}; // With an attempt that may be given up.
    std::optional<std::chrono::nanoseconds> shortestConnect {}; // To any endpoint, since it was taken.
    std::uint64_t wastedBytes = 0; // Of answers that no caller gets, since they were taken.
    std::size_t active = 0;
    bool started = false;
    SteadyTime endsAt = SteadyTime::max(); // From then on nothing is sent to an endpoint.
};

}
