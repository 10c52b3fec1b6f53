// What the instances tell each other by gossip for their decisions: customers' demand, the judgement of
// versions, and endpoints that refused new work as leaving.
//
// Belongs to the serve duty. Its cost is bounded: with more instances each one tells less often.
#pragma once

#include "Shared.h"

#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/peer/Peers.h"
#include "whinyard/policy/CustomerLimits.h"
#include "whinyard/policy/QueryOfDeath.h"
#include "whinyard/policy/RolloutJudge.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace whinyard::daemon {

class FleetNews {
public:
    // All must outlive the object.
    FleetNews(Shared& shared, peer::Peers& peers, endpoint::EndpointDirectory& directory, policy::CustomerLimits& limits, policy::RolloutJudge& judge, policy::QueryOfDeathTable& queries);

    // Takes the instances of the platform's list.
    void takeList(const std::vector<backing::ListedEndpoint>& listed);

    // Takes in the others' news and tells this instance's own. `storeReachable` is what the judge of
    // roll-outs goes by. Call it about ten times a second.
    void turn(bool storeReachable);

private:
    // An endpoint that refused this instance.
    struct Refusal {
        EndpointName endpoint;
        SteadyTime at;
    };

    // The latest entry that was taken in from one instance under one topic.
    struct Seen {
        Incarnation incarnation;
        std::uint64_t version = 0;
    };

    std::vector<peer::GossipEntry> freshEntries(const std::string& topic);
    void takeDemands();
    void takeJudgements();
    void takeRefusals();
    void takeVerdicts();
    void tellDemand();
    void tellJudgement();
    void tellRefusals();
    void tellVerdicts();
    void noteStops();

    Shared& m_shared;
    peer::Peers& m_peers;
    endpoint::EndpointDirectory& m_directory;
    policy::CustomerLimits& m_limits;
    policy::RolloutJudge& m_judge;
    policy::QueryOfDeathTable& m_queries;
    std::vector<InstanceName> m_listed; // Other instances of the platform's list.
    std::map<std::string, std::map<InstanceName, Seen>> m_seen;
    std::deque<Refusal> m_refusals;
    std::vector<std::string> m_toldJudgement; // By part.
    std::string m_toldRefusals;
    std::set<RequestDigest> m_toldVerdicts;
    SteadyTime m_toldAt {};
    std::size_t m_nextAck = 0;
    bool m_demandFits = true;
};

}
