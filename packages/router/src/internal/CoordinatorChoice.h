// Decides which instance is asked to coordinate a service, and which ones are silent. SharedPlaces owns one.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace whinyard::router {

class CoordinatorChoice {
public:
    // Instances of a service that are asked in place of silent ones. When all are silent the network is at fault, and asking
    // more of them would only delay the request.
    static constexpr std::size_t mostRanked = 4;

    explicit CoordinatorChoice(std::chrono::milliseconds silentFor)
        : m_silentFor(silentFor)
    {
    }

    // Takes the instances that live. Instances that are gone are no longer silent ones either.
    void useInstances(const std::vector<InstanceName>& instances);

    // Returns the instance that is believed to coordinate the service: the first by hash that isn't silent.
    std::optional<InstanceName> current(const ServiceName& service) const;

    // Returns the instance to ask for one request. A silent one is asked again by a single request once its time is over; then
    // noteSilent(), noteAlive() or noteUndecided() follows.
    std::optional<InstanceName> draw(const ServiceName& service, SteadyTime now);

    // Notes that an instance gave no answer. Returns whether it was believed to answer until now.
    bool noteSilent(const InstanceName& instance, SteadyTime now);

    // Notes that an instance has answered. Returns whether it was silent before.
    bool noteAlive(const InstanceName& instance);

    // Notes that a request to an instance ended before it could tell anything.
    void noteUndecided(const InstanceName& instance);

private:
    struct Silence {
        SteadyTime until;
        bool isAsked = false; // By a request that is to find out.
    };

    const std::vector<InstanceName>& rankedFor(const ServiceName& service) const;

    const std::chrono::milliseconds m_silentFor;
    std::vector<InstanceName> m_instances;
    mutable std::map<ServiceName, std::vector<InstanceName>> m_ranked; // Of services that were asked for since the list changed.
    std::map<InstanceName, Silence> m_silent;
};

}
