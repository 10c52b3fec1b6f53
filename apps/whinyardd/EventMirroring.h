// Hands this instance's events to another instance, so that the time line outlives a kill.
//
// It runs on the peers duty: a batch each half second, and at once after a step of a call that may
// not be repeated. The holder stands in another availability zone where there is one.
#pragma once

#include "Shared.h"

#include "whinyard/net/Duty.h"
#include "whinyard/peer/Peers.h"

#include <atomic>
#include <memory>
#include <vector>

namespace whinyard::daemon {

// Returns the instances that may hold events of `view.self`, the preferred first: those of other zones before its own,
// each group by rendezvous hash, so that nearly all batches of an instance lie in one place.
std::vector<InstanceName> eventHolders(const peer::MembershipView& view);

class EventMirroring {
public:
    // Starts on `duty`. All references must outlive stop().
    EventMirroring(net::Duty& duty, peer::Peers& peers, Shared& shared);

    // Hands over what is there. Called on the duty.
    void flush();

    // Ends the loop. Called on the duty.
    void stop();

private:
    struct Loop;

    std::shared_ptr<Loop> m_loop;
};

}
