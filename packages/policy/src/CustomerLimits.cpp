#include "whinyard/policy/CustomerLimits.h"

#include "whinyard/policy/FairShare.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace whinyard::policy {

namespace {

    using Seconds = std::chrono::duration<double>;

    // Own reports kept one by one; older ones are merged into their lowest demand.
    constexpr std::size_t maximumTold = 64;

    constexpr double kilosecond = 1'000;

    // Requests a second; a smaller rate counts as this where it divides.
    constexpr double smallestRate = 1e-3;

    // The pause that a refusal for concurrent requests names when nothing better is known.
    constexpr std::chrono::milliseconds concurrencyPause { 100 };

    std::uint32_t toReportUnit(double value)
    {
        return static_cast<std::uint32_t>(std::clamp(std::ceil(value), 0.0, 4e9));
    }

}

CustomerLimits::CustomerLimits(InstanceName self, Incarnation incarnation, LimitSettings settings)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(settings)
{
}

void CustomerLimits::replaceCustomers(std::span<const CustomerLimit> customers)
{
    for (Customer& customer : m_customers)
        customer.isConfigured = false;
    for (const CustomerLimit& limit : customers) {
        const auto [place, isNew] = m_byName.try_emplace(limit.name.value, static_cast<CustomerIndex>(m_customers.size()));
        if (isNew) {
            m_customers.emplace_back();
            m_customers.back().digest = stableHash(limit.name.value);
            m_customers.back().tokens = 1;
            m_byDigest.emplace(m_customers.back().digest, place->second);
        }
        at(place->second).limit = limit;
        at(place->second).isConfigured = true;
    }
    for (ToldReport& told : m_told)
        told.byCustomer.resize(m_customers.size());
    for (Peer& peer : m_peers)
        peer.byCustomer.resize(m_customers.size());
    updateShares(m_reportedAt);
}

std::optional<CustomerIndex> CustomerLimits::find(const CustomerName& customer) const
{
    const auto found = m_byName.find(customer.value);
    if (found == m_byName.end() || !at(found->second).isConfigured)
        return std::nullopt;
    return found->second;
}

void CustomerLimits::replacePeers(std::span<const InstanceName> listed, SteadyTime now)
{
    for (Peer& peer : m_peers)
        peer.isListed = false;
    for (const InstanceName& name : listed)
        peerNamed(name).isListed = true;
    dropPeers(now);
    updateShares(now);
}

CustomerLimits::Peer& CustomerLimits::peerNamed(const InstanceName& name)
{
    for (Peer& peer : m_peers) {
        if (peer.name == name)
            return peer;
    }
    Peer& peer = m_peers.emplace_back();
    peer.name = name;
    peer.byCustomer.resize(m_customers.size());
    return peer;
}

void CustomerLimits::dropPeers(SteadyTime now)
{
    const auto isGone = [&](const Peer& peer) { return !peer.isListed && now - peer.heardAt > m_settings.peerLifetime; };
    for (const Peer& peer : m_peers) {
        if (isGone(peer))
            subtract(peer);
    }
    std::erase_if(m_peers, isGone);
}

void CustomerLimits::subtract(const Peer& peer)
{
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        m_customers[i].othersRate -= peer.byCustomer[i].requestsPerKilosecond;
        m_customers[i].othersConcurrent -= peer.byCustomer[i].concurrent;
        m_customers[i].othersInFlight -= peer.byCustomer[i].inFlight;
    }
}

LimitDecision CustomerLimits::admit(CustomerIndex index, SteadyTime now)
{
    Customer& customer = at(index);
    ++customer.offered;
    fill(customer, now);
    if (customer.tokens < 1) {
        const Seconds wait((1 - customer.tokens) / std::max(customer.rateShare, smallestRate));
        return { LimitVerdict::rateExceeded, std::chrono::ceil<std::chrono::milliseconds>(wait) };
    }
    if (customer.inFlight + 1 > std::max(1.0, std::floor(customer.concurrencyShare))) {
        ++customer.refusedConcurrent;
        return { LimitVerdict::concurrencyExceeded, concurrencyPause };
    }
    customer.tokens -= 1;
    ++customer.admitted;
    ++customer.inFlight;
    customer.peakInFlight = std::max(customer.peakInFlight, customer.inFlight);
    return {};
}

void CustomerLimits::release(CustomerIndex index)
{
    if (at(index).inFlight > 0)
        --at(index).inFlight;
}

// A token bucket: Turner, "New directions in communications", IEEE Communications Magazine 1986.
void CustomerLimits::fill(Customer& customer, SteadyTime now) const
{
    const Seconds passed = std::max(now - customer.filledAt, SteadyTime::duration::zero());
    customer.tokens = std::min(customer.tokens + passed.count() * customer.rateShare, capacity(customer));
    customer.filledAt = std::max(now, customer.filledAt);
}

double CustomerLimits::capacity(const Customer& customer) const
{
    return std::max(1.0, customer.rateShare * Seconds(m_settings.burst).count());
}

DemandReport CustomerLimits::makeReport(SteadyTime now)
{
    const Seconds period = now - m_reportedAt;
    for (Customer& customer : m_customers)
        measure(customer, period);
    m_reportedAt = now;
    DemandReport report = tell();
    dropPeers(now);
    forgetAcknowledged();
    updateShares(now);
    return report;
}

// Little's law: refused requests would have stayed as long as the admitted ones do.
double CustomerLimits::wantedConcurrent(const Customer& customer) const
{
    const double offered = customer.admitted + customer.refusedConcurrent;
    return customer.peakInFlight * std::max(1.0, offered / std::max<double>(customer.admitted, 1));
}

void CustomerLimits::measure(Customer& customer, Seconds period)
{
    if (period.count() <= 0)
        return;
    const double keep = std::exp(-period / Seconds(m_settings.demandMemory));
    const double offeredRate = customer.offered / period.count();
    // A few requests a second say little in a second: their mean is taken over as many requests.
    const double rate = std::max({ customer.demandRate, offeredRate, smallestRate });
    const Seconds memory = std::clamp<Seconds>(Seconds(m_settings.demandSamples / rate), m_settings.demandMemory, m_settings.longestDemandMemory);
    const double keepRate = std::exp(-period / memory);
    customer.demandRate = keepRate * customer.demandRate + (1 - keepRate) * offeredRate;
    const double decayed = keep * customer.demandConcurrent;
    const double wanted = std::min<double>(wantedConcurrent(customer), customer.limit.concurrentRequests);
    customer.demandConcurrent = std::max({ wanted, decayed, static_cast<double>(customer.inFlight) });
    customer.offered = 0;
    customer.admitted = 0;
    customer.refusedConcurrent = 0;
    customer.peakInFlight = customer.inFlight;
}

DemandReport CustomerLimits::tell()
{
    DemandReport report;
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    ToldReport told;
    told.sequence = m_sequence;
    told.byCustomer.resize(m_customers.size());
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        const Customer& customer = m_customers[i];
        if (isCoveredByFloor(customer))
            continue;
        CustomerDemand demand;
        demand.customer = customer.digest;
        demand.requestsPerKilosecond = toReportUnit(customer.demandRate * kilosecond);
        demand.concurrent = toReportUnit(customer.demandConcurrent);
        demand.inFlight = customer.inFlight;
        told.byCustomer[i] = { demand.requestsPerKilosecond, demand.concurrent };
        report.demands.push_back(demand);
    }
    m_told.push_back(std::move(told));
    if (m_told.size() > maximumTold)
        mergeOldestTold();
    for (const Peer& peer : m_peers) {
        if (peer.incarnation)
            report.acks.push_back({ peer.name, *peer.incarnation, peer.sequence });
    }
    return report;
}

bool CustomerLimits::isCoveredByFloor(const Customer& customer) const
{
    const double part = m_settings.floorShare / static_cast<double>(m_peers.size() + 1);
    const bool isRateCovered = customer.demandRate <= customer.limit.requestsPerSecond * part;
    return isRateCovered && customer.demandConcurrent <= customer.limit.concurrentRequests * part;
}

// The merged report stands for both, with the lower demands, under the older number.
void CustomerLimits::mergeOldestTold()
{
    std::vector<Told>& merged = m_told[0].byCustomer;
    const std::vector<Told>& next = m_told[1].byCustomer;
    for (std::size_t i = 0; i < merged.size(); ++i) {
        merged[i].rate = std::min(merged[i].rate, next[i].rate);
        merged[i].concurrent = std::min(merged[i].concurrent, next[i].concurrent);
    }
    m_told.erase(m_told.begin() + 1);
}

void CustomerLimits::takeReport(const InstanceName& name, const DemandReport& report, SteadyTime now)
{
    Peer& peer = peerNamed(name);
    const bool isSameLife = peer.incarnation && report.incarnation == *peer.incarnation;
    const bool isOldLife = peer.incarnation && report.incarnation < *peer.incarnation;
    if (isOldLife || (isSameLife && report.sequence <= peer.sequence))
        return;
    peer.heardAt = now;
    takeAck(peer, report, now);
    countReport(peer, report);
    forgetAcknowledged();
    updateShares(now);
}

// An acknowledgement that a report of the same life leaves out still counts for a while.
void CustomerLimits::takeAck(Peer& peer, const DemandReport& report, SteadyTime now)
{
    const std::optional<std::uint64_t> sequence = acknowledgedIn(report);
    const bool isSameLife = peer.incarnation && *peer.incarnation == report.incarnation;
    if (sequence)
        peer.acknowledgedAt = now;
    else if (isSameLife && now - peer.acknowledgedAt <= m_settings.ackLifetime)
        return;
    peer.acknowledged = sequence;
}

std::optional<std::uint64_t> CustomerLimits::acknowledgedIn(const DemandReport& report) const
{
    for (const DemandAck& ack : report.acks) {
        if (ack.instance == m_self && ack.incarnation == m_incarnation)
            return ack.sequence;
    }
    return std::nullopt;
}

void CustomerLimits::countReport(Peer& peer, const DemandReport& report)
{
    subtract(peer);
    std::fill(peer.byCustomer.begin(), peer.byCustomer.end(), CustomerDemand());
    for (const CustomerDemand& demand : report.demands) {
        const auto found = m_byDigest.find(demand.customer);
        if (found == m_byDigest.end())
            continue;
        peer.byCustomer[static_cast<std::size_t>(found->second)] = demand;
        Customer& customer = at(found->second);
        customer.othersRate += demand.requestsPerKilosecond;
        customer.othersConcurrent += demand.concurrent;
        customer.othersInFlight += demand.inFlight;
    }
    peer.customersAtReport = m_customers.size();
    peer.incarnation = report.incarnation;
    peer.sequence = report.sequence;
}

// Nothing if a peer counts no report of this instance, or one that is no longer remembered here.
std::optional<std::uint64_t> CustomerLimits::oldestAcknowledged() const
{
    std::uint64_t oldest = m_sequence;
    for (const Peer& peer : m_peers) {
        if (!peer.acknowledged || m_told.empty() || *peer.acknowledged < m_told.front().sequence)
            return std::nullopt;
        oldest = std::min(oldest, *peer.acknowledged);
    }
    return oldest;
}

void CustomerLimits::forgetAcknowledged()
{
    const std::optional<std::uint64_t> oldest = oldestAcknowledged();
    if (!oldest)
        return;
    while (m_told.size() > 1 && m_told[1].sequence <= *oldest)
        m_told.pop_front();
}

// A peer's demand for a customer is known only from reports that came after the customer's configuration.
std::size_t CustomerLimits::customersReportedByAll() const
{
    std::size_t count = m_customers.size();
    for (const Peer& peer : m_peers)
        count = std::min(count, peer.customersAtReport);
    return count;
}

CustomerLimits::Told CustomerLimits::lowestTold(std::size_t customer) const
{
    Told lowest { std::numeric_limits<std::uint32_t>::max(), std::numeric_limits<std::uint32_t>::max() };
    for (const ToldReport& told : m_told) {
        lowest.rate = std::min(lowest.rate, told.byCustomer[customer].rate);
        lowest.concurrent = std::min(lowest.concurrent, told.byCustomer[customer].concurrent);
    }
    return lowest;
}

void CustomerLimits::updateShares(SteadyTime now)
{
    const std::size_t members = m_peers.size() + 1;
    const double floorPart = m_settings.floorShare / static_cast<double>(members);
    const bool isCounted = !m_told.empty() && oldestAcknowledged().has_value();
    const std::size_t reported = isCounted ? customersReportedByAll() : 0;
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        Customer& customer = m_customers[i];
        fill(customer, now);
        const double rateLimit = customer.limit.requestsPerSecond;
        const double concurrencyLimit = customer.limit.concurrentRequests;
        customer.rateShare = rateLimit * floorPart;
        customer.concurrencyShare = concurrencyLimit * floorPart;
        if (i >= reported && !m_peers.empty())
            continue;
        const Told own = isCounted ? lowestTold(i) : Told();
        const double othersRate = static_cast<double>(customer.othersRate) / kilosecond;
        customer.rateShare += fairShare(rateLimit, own.rate / kilosecond, othersRate, members);
        const double concurrency = fairShare(concurrencyLimit, own.concurrent, static_cast<double>(customer.othersConcurrent), members);
        // Requests that run elsewhere above a share that has just shrunk still count.
        const double unused = std::max(0.0, concurrencyLimit - static_cast<double>(customer.othersInFlight));
        customer.concurrencyShare += std::min(concurrency, unused);
    }
    for (Customer& customer : m_customers)
        customer.tokens = std::min(customer.tokens, capacity(customer));
}

double CustomerLimits::rateShare(CustomerIndex customer) const
{
    return at(customer).rateShare;
}

double CustomerLimits::concurrencyShare(CustomerIndex customer) const
{
    return at(customer).concurrencyShare;
}

std::uint32_t CustomerLimits::inFlight(CustomerIndex customer) const
{
    return at(customer).inFlight;
}

}
