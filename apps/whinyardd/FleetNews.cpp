#include "FleetNews.h"

#include "Shared.h"
#include "whinyard/base/Log.h"
#include "whinyard/policy/DemandCodec.h"

#include <sstream>

namespace whinyard::daemon {

namespace {

    const std::string demandTopic = "demand";
    // Judgements come in parts, since a gossip entry is small.
    std::string judgementTopicOf(std::size_t part) { return "judgement-" + std::to_string(part); }
    const std::string refusalTopic = "leaving";
    const std::string verdictTopic = "queries";

    // An instance tells its numbers at most this often for each instance there is: a value of 256 bytes
    // then costs every instance at most 8 KB a second, whatever their number.
    constexpr std::chrono::milliseconds intervalPerInstance { 32 };

    // How long a refusal is told. The list shows the endpoint as leaving, or has dropped it, by then.
    constexpr std::chrono::seconds refusalLifetime { 10 };

    std::vector<InstanceName> namesOf(const peer::MembershipView& view)
    {
        std::vector<InstanceName> names;
        for (const peer::Member& member : view.members)
            names.push_back(member.name);
        return names;
    }

    std::vector<policy::DemandPeer> livesOf(const peer::MembershipView& view)
    {
        std::vector<policy::DemandPeer> lives;
        for (const peer::Member& member : view.members)
            lives.push_back({ member.name, member.incarnation });
        return lives;
    }

}

FleetNews::FleetNews(Shared& shared, peer::Peers& peers, endpoint::EndpointDirectory& directory, policy::CustomerLimits& limits, policy::RolloutJudge& judge, policy::QueryOfDeathTable& queries)
    : m_shared(shared)
    , m_peers(peers)
    , m_directory(directory)
    , m_limits(limits)
    , m_judge(judge)
    , m_queries(queries)
{
}

void FleetNews::takeList(const std::vector<backing::ListedEndpoint>& listed)
{
    m_listed.clear();
    for (const backing::ListedEndpoint& entry : listed) {
        if (entry.kind == backing::ListedKind::instance && entry.name.value != m_shared.settings.instance.value)
            m_listed.push_back({ entry.name.value });
    }
    m_limits.replacePeers(m_listed, m_shared.clock.now());
}

void FleetNews::turn(bool storeReachable)
{
    const SteadyTime now = m_shared.clock.now();
    m_judge.setStoreReachable(storeReachable);
    const std::vector<InstanceName> instances = namesOf(*m_peers.view());
    m_judge.useFleet(instances);
    m_directory.useInstances(m_shared.settings.instance, instances);
    m_directory.takeRateReports(); // Each instance hears endpoints for itself.
    takeDemands();
    takeJudgements();
    takeRefusals();
    takeVerdicts();
    m_judge.refresh(now);
    m_queries.refresh(now);
    noteStops();
    tellRefusals();
    tellVerdicts();
    const std::chrono::milliseconds interval = std::max(m_shared.settings.timing.heartbeat, intervalPerInstance * static_cast<std::int64_t>(instances.size()));
    if (now - m_toldAt < interval)
        return;
    m_toldAt = now;
    tellDemand();
    tellJudgement();
}

std::vector<peer::GossipEntry> FleetNews::freshEntries(const std::string& topic)
{
    std::vector<peer::GossipEntry> fresh;
    for (peer::GossipEntry& entry : m_peers.published(topic)) {
        if (entry.origin == m_shared.settings.instance)
            continue;
        Seen& seen = m_seen[topic][entry.origin];
        if (seen.incarnation == entry.incarnation && seen.version == entry.version)
            continue;
        seen = { entry.incarnation, entry.version };
        fresh.push_back(std::move(entry));
    }
    return fresh;
}

void FleetNews::takeDemands()
{
    const std::vector<policy::DemandPeer> lives = livesOf(*m_peers.view());
    for (const peer::GossipEntry& entry : freshEntries(demandTopic)) {
        const std::optional<policy::DemandReport> report = policy::unpackDemandReport(entry.value, entry.incarnation, lives);
        if (report)
            m_limits.takeReport(entry.origin, *report, m_shared.clock.now());
        else
            m_shared.metrics.add("whinyard_gossip_unreadable_total");
    }
}

void FleetNews::takeJudgements()
{
    for (std::size_t part = 0; part < policy::RolloutJudge::maximumSections; ++part) {
        for (const peer::GossipEntry& entry : freshEntries(judgementTopicOf(part))) {
            if (!m_judge.merge(entry.value))
                m_shared.metrics.add("whinyard_gossip_unreadable_total");
        }
    }
}

// Names stand on a line each. Those of the own refusals were marked when they came.
void FleetNews::takeRefusals()
{
    for (const peer::GossipEntry& entry : freshEntries(refusalTopic)) {
        for (std::size_t begin = 0; begin < entry.value.size();) {
            const std::size_t end = std::min(entry.value.find('\n', begin), entry.value.size());
            m_directory.markLeaving({ entry.value.substr(begin, end - begin) });
            begin = end + 1;
        }
    }
}

// Requests that are refused stand on a line each, with the time of day until which that holds: an entry is read long after it
// was written, by instances that start.
void FleetNews::takeVerdicts()
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(m_shared.clock.wallNow().time_since_epoch());
    for (const peer::GossipEntry& entry : freshEntries(verdictTopic)) {
        std::istringstream lines(entry.value);
        std::string digest;
        std::int64_t until = 0;
        while (lines >> digest >> until) {
            if (const std::optional<RequestDigest> request = parseRequestDigest(digest))
                m_queries.takeVerdict({ *request, {}, {}, std::chrono::milliseconds(until) - now }, m_shared.clock.now());
        }
    }
}

// As many as fit; told anew when one comes or goes.
void FleetNews::tellVerdicts()
{
    logQueryChanges(m_queries);
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(m_shared.clock.wallNow().time_since_epoch());
    std::string lines;
    std::set<RequestDigest> told;
    for (const QueryVerdict& verdict : m_queries.standing(m_shared.clock.now())) {
        const std::string line = toText(verdict.request) + " " + std::to_string((now + verdict.left).count()) + "\n";
        if (lines.size() + line.size() > peer::largestGossipValue)
            break;
        lines += line;
        told.insert(verdict.request);
    }
    if (told == m_toldVerdicts)
        return;
    m_peers.publish(verdictTopic, lines);
    m_toldVerdicts = std::move(told);
}

void FleetNews::tellDemand()
{
    const policy::DemandReport report = m_limits.makeReport(m_shared.clock.now());
    const std::optional<std::string> bytes = policy::packDemandReport(report, peer::largestGossipValue, m_nextAck);
    m_nextAck += report.acks.empty() ? 0 : report.acks.size() / 2 + 1;
    if (bytes)
        m_peers.publish(demandTopic, *bytes);
    if (bytes.has_value() != m_demandFits)
        log::warning(bytes ? "the demand of all customers fits one gossip entry again" : "the demand of so many customers doesn't fit one gossip entry; limits go by what was told last");
    m_demandFits = bytes.has_value();
}

void FleetNews::tellJudgement()
{
    const std::vector<std::string> sections = m_judge.sections();
    m_toldJudgement.resize(std::max(m_toldJudgement.size(), sections.size()));
    for (std::size_t part = 0; part < sections.size(); ++part) {
        if (sections[part] == m_toldJudgement[part])
            continue;
        if (!m_peers.publish(judgementTopicOf(part), sections[part]))
            log::warning("a part of the judgement of versions doesn't fit one gossip entry");
        m_toldJudgement[part] = sections[part];
    }
}

void FleetNews::tellRefusals()
{
    const SteadyTime now = m_shared.clock.now();
    for (EndpointName& endpoint : m_directory.takeRefusals())
        m_refusals.push_back({ std::move(endpoint), now });
    while (!m_refusals.empty() && now - m_refusals.front().at > refusalLifetime)
        m_refusals.pop_front();
    std::string names;
    // The newest first, since not all may fit.
    for (auto refusal = m_refusals.rbegin(); refusal != m_refusals.rend(); ++refusal) {
        if (names.size() + refusal->endpoint.value.size() + 1 > peer::largestGossipValue)
            break;
        names += refusal->endpoint.value + "\n";
    }
    if (names == m_toldRefusals)
        return;
    m_peers.publish(refusalTopic, names);
    m_toldRefusals = names;
}

void FleetNews::noteStops()
{
    for (const policy::StopNotice& stop : m_judge.takeStops()) {
        m_shared.metrics.add("whinyard_version_stops_total");
        log::warning("version stopped", { { "version", stop.version.value }, { "reason", std::string(toText(stop.reason)) }, { "trial", std::to_string(stop.trial) }, { "exposed", std::to_string(stop.exposed) } });
    }
}

}
