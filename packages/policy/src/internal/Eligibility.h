// Which endpoints a request may be sent to at all; shared by the selectors.
#pragma once

#include "whinyard/policy/EndpointChoice.h"

namespace whinyard::policy {

// Returns whether the request has tried the endpoint already.
bool isExcluded(const EndpointRequest& request, EndpointIndex endpoint);

// Returns whether the request is one that is kept to certain endpoints, and the endpoint is none of them or has no free slot.
bool isKeptFrom(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now);

// Returns whether the request may be served in the endpoint's zone.
bool isInAllowedZone(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint);

// Returns whether the request may be sent to the endpoint now, whether or not it has room for it.
bool takesRequest(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now);

// Returns whether the engine's memory has room for the request; always for a request whose need isn't accounted.
bool hasRoom(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now);

// Returns whether the request may be sent to the endpoint now and there is room for it.
bool isEligible(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now);

// Returns the plan when no endpoint of `list` is eligible: why, and when the first one will be.
EndpointPlan planForNone(const EndpointTable& table, const EndpointRequest& request, const std::vector<EndpointIndex>& list, SteadyTime now);

// Returns the plan when no endpoint of `list` is eligible, for a request whose need of memory may be the cause: the engine with
// the most room and the wait for it, if it has room in time; else why not.
EndpointPlan planForFull(const EndpointTable& table, const EndpointRequest& request, const std::vector<EndpointIndex>& list, SteadyTime now);

// Returns the healthy endpoints, or the ejected and probing ones if none is healthy, as the list
// that a choice falls back on. `reason` is set to allEjected in the second case.
const std::vector<EndpointIndex>& choiceList(const TargetMembers& members, ChoiceReason& reason);

}
