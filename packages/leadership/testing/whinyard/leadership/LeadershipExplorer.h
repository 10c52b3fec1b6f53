// Runs the election and the reports of usage of two instances through every order of their steps, up to a stated depth, with lost answers
// and freezes at any call, and checks what the provider sees.
//
// A run is replayed from a list of choices; the next list is the one that follows it in order (stateless search, as in Godefroid, POPL
// 1997). The code that runs is the daemon's own; the store, the provider and the clock are played here.
#pragma once

#include "whinyard/backing/EraStore.h"
#include "whinyard/leadership/LeaderLease.h"
#include "whinyard/leadership/UsageReporter.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::leadership {

struct ExplorerSettings {
    std::size_t steps = 6; // Of each run.
    std::uint32_t faults = 1; // Lost answers and freezes of each run, at most.
    std::uint32_t returns = 0; // Times that the store comes back from an older copy, at most, in each run.
    // Breaks the protocol, so that the checks can be seen to work.
    bool actsWithoutProof = false; // A leader goes on until it hears that it no longer leads.
    bool fixesForItself = false; // Each instance fixes the counts in a record of its own.
};

struct ExplorerResult {
    std::uint64_t runs = 0;
    std::uint64_t calls = 0; // That reached the provider.
    std::optional<std::string> violation; // Of the first run that broke a rule, with its steps.
};

// Answers each question of a run from a list, and finds the list of the next run.
class ChoiceList {
public:
    // Returns a number below `options`.
    std::size_t choose(std::size_t options)
    {
        if (m_position == m_choices.size())
            m_choices.push_back({ 0, options });
        return m_choices[m_position++].chosen;
    }

    // Moves on to the next run. Returns false when all were made.
    bool next()
    {
        m_position = 0;
        while (!m_choices.empty()) {
            Choice& last = m_choices.back();
            if (++last.chosen < last.options)
                return true;
            m_choices.pop_back();
        }
        return false;
    }

private:
    struct Choice {
        std::size_t chosen = 0;
        std::size_t options = 0;
    };

    std::vector<Choice> m_choices;
    std::size_t m_position = 0;
};

class ExplorerWorld {
public:
    ExplorerWorld(const ExplorerSettings& settings, ChoiceList& choices)
        : m_settings(settings)
        , m_choices(choices)
        , m_faultsLeft(settings.faults)
        , m_returnsLeft(settings.returns)
        , m_instances { Instance(*this, 0), Instance(*this, 1) }
    {
    }

    void run()
    {
        for (std::size_t step = 0; step < m_settings.steps && !m_violation; ++step) {
            if (m_returnsLeft > 0)
                m_copies.push_back({ m_records, m_leases, m_revision.number, m_lastLease });
            switch (m_choices.choose(2 + 2 * m_instances.size() + (m_returnsLeft > 0 ? 1 : 0))) {
            case 0:
                advance(std::chrono::milliseconds(1'000));
                break;
            case 1:
                advance(leaseTime);
                break;
            case 2:
                keepLease(0);
                break;
            case 3:
                keepLease(1);
                break;
            case 4:
                report(0);
                break;
            case 5:
                report(1);
                break;
            default:
                returnStore();
            }
        }
    }

    const std::optional<std::string>& violation() const { return m_violation; }
    std::uint64_t calls() const { return m_calls; }

private:
    static constexpr std::chrono::milliseconds leaseTime { 3'800 };
    static constexpr std::chrono::milliseconds turnGap { 3'000 }; // In which no two leaders act by turns.
    static constexpr std::chrono::milliseconds answerTime { 4 };
    static constexpr std::chrono::milliseconds thawTime { 300 }; // After a freeze, in which a late call is borne.
    static constexpr std::string_view usageKey = "usage";

    class WorldClock final : public Clock {
    public:
        SteadyTime now() const override { return time; }
        WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(time.time_since_epoch())); }

        SteadyTime time { std::chrono::seconds(1'007) };
    };

    // The store as one instance reaches it.
    class Connection final : public backing::WatchableStore {
    public:
        Connection(ExplorerWorld& world, std::size_t instance)
            : m_world(world)
            , m_instance(instance)
        {
        }

        std::uint64_t era() const override { return m_era; }

        std::optional<backing::RecordPage> range(const std::string& prefix, const std::string&, backing::ReadAge, Failure& failure) override
        {
            const Fault fault = m_world.beginCall(m_instance);
            m_world.lapseLeases();
            backing::RecordPage page;
            page.storeRevision = m_world.m_revision;
            for (const auto& [key, record] : m_world.m_records) {
                if (key.starts_with(prefix))
                    page.records.push_back(record);
            }
            if (fault != Fault::lostAnswer) {
                m_era = m_world.m_revision.era;
                return page;
            }
            failure = { .kind = ErrorKind::storeUnavailable, .reason = "no answer" };
            return std::nullopt;
        }

        std::optional<backing::ChangePage> watch(const std::string&, backing::Revision, std::chrono::milliseconds, Failure&) override { return std::nullopt; }
        void interruptReads() override { }
        bool answers(Failure&) override { return true; }

        std::optional<backing::Revision> transact(const backing::Transaction& transaction, Failure& failure) override
        {
            const Fault fault = m_world.beginCall(m_instance);
            m_world.lapseLeases();
            for (const backing::Precondition& precondition : transaction.preconditions) {
                const auto found = m_world.m_records.find(precondition.key);
                if ((found == m_world.m_records.end() ? 0 : found->second.revision.number) != precondition.revision.number) {
                    failure = { .kind = ErrorKind::swapConflict, .reason = "another revision" };
                    return std::nullopt;
                }
            }
            for (const backing::Put& put : transaction.puts) {
                if (put.lease.number > 0 && !m_world.m_leases.contains(put.lease.number)) {
                    failure = { .kind = ErrorKind::notFound, .reason = "no such lease" };
                    return std::nullopt;
                }
            }
            ++m_world.m_revision.number;
            for (const backing::Put& put : transaction.puts)
                m_world.m_records[put.key] = { put.key, put.value, m_world.m_revision, { put.lease.number, m_world.m_revision.era } };
            if (fault != Fault::lostAnswer) {
                m_era = m_world.m_revision.era;
                return m_world.m_revision;
            }
            failure = { .kind = ErrorKind::storeUncertain, .reason = "no answer" };
            return std::nullopt;
        }

        std::optional<backing::LeaseId> grantLease(std::chrono::milliseconds timeToLive, Failure& failure) override
        {
            const Fault fault = m_world.beginCall(m_instance);
            const backing::LeaseId lease { ++m_world.m_lastLease, m_world.m_revision.era };
            m_world.m_leases[lease.number] = { timeToLive, m_world.m_clock.time + timeToLive };
            if (fault != Fault::lostAnswer) {
                m_era = lease.era;
                return lease;
            }
            failure = { .kind = ErrorKind::storeUncertain, .reason = "no answer" };
            return std::nullopt;
        }

        bool keepLease(backing::LeaseId lease, Failure& failure) override
        {
            const Fault fault = m_world.beginCall(m_instance);
            m_world.lapseLeases();
            const auto found = m_world.m_leases.find(lease.number);
            if (found == m_world.m_leases.end())
                failure = { .kind = ErrorKind::notFound, .reason = "the lease has ended" };
            else
                found->second.end = m_world.m_clock.time + found->second.timeToLive;
            if (fault == Fault::lostAnswer) {
                failure = { .kind = ErrorKind::storeUncertain, .reason = "no answer" };
                return false;
            }
            m_era = m_world.m_revision.era;
            return found != m_world.m_leases.end();
        }

        bool endLease(backing::LeaseId, Failure&) override { return false; }

    private:
        ExplorerWorld& m_world;
        const std::size_t m_instance;
        std::uint64_t m_era = 0; // That the latest answer has stated.
    };

    class Receiver final : public Provider {
    public:
        Receiver(ExplorerWorld& world, std::size_t instance)
            : m_world(world)
            , m_instance(instance)
        {
        }

        std::optional<ProviderAnswer> reportUsage(const UsageWindow& window, const Authority& authority, Failure& failure) override
        {
            const Fault fault = m_world.beginCall(m_instance);
            m_world.receive(m_instance, window, authority.fence, fault == Fault::freeze);
            if (fault != Fault::lostAnswer)
                return ProviderAnswer::accepted;
            failure = { .kind = ErrorKind::storeUncertain, .reason = "no answer" };
            return std::nullopt;
        }

        std::optional<ProviderAnswer> order(const CapacityOrder&, const Authority&, Failure&) override { return ProviderAnswer::accepted; }

    private:
        ExplorerWorld& m_world;
        const std::size_t m_instance;
    };

    // Each has counted something else, so that reports that aren't fixed differ.
    struct Instance {
        Instance(ExplorerWorld& world, std::size_t number)
            : name { number == 0 ? "a" : "b" }
            , store(std::make_unique<Connection>(world, number))
            , provider(world, number)
            , lease(store, world.m_clock, name, leaseSettings(world.m_settings))
            , reporter(store, provider, lease, totals, name, reporterSettings(world.m_settings, name))
        {
            for (const WindowNumber window : { 200, 201, 202, 203 })
                totals.take(name, 1, { window, { { { "school" }, number + 1 } } });
        }

        static LeaderLeaseSettings leaseSettings(const ExplorerSettings& settings)
        {
            LeaderLeaseSettings lease;
            lease.key = "leader";
            lease.timeToLive = leaseTime;
            if (settings.actsWithoutProof)
                lease.clockMargin = -std::chrono::hours(1);
            return lease;
        }

        static UsageReporterSettings reporterSettings(const ExplorerSettings& settings, const InstanceName& name)
        {
            UsageReporterSettings reporter;
            reporter.key = std::string(usageKey) + (settings.fixesForItself ? name.value : std::string());
            reporter.leaderKey = "leader";
            return reporter;
        }

        const InstanceName name;
        backing::EraStore store;
        Receiver provider;
        UsageTotals totals;
        LeaderLease lease;
        UsageReporter reporter;
        bool leads = false;
        bool busy = false; // In a call that a freeze holds up.
    };

    enum class Fault : std::uint8_t {
        none,
        lostAnswer,
        freeze, // Before the call reaches its end, for longer than a lease; the other instance goes on.
    };

    struct Lease {
        std::chrono::milliseconds timeToLive;
        SteadyTime end;
    };

    // The store as it was.
    struct Copy {
        std::map<std::string, backing::Record> records;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t revision = 0;
        std::uint64_t lastLease = 0;
    };

    struct Arrival {
        std::size_t instance = 0;
        std::uint64_t fence = 0;
        SteadyTime at;
    };

    void advance(std::chrono::milliseconds time) { m_clock.time += time; }

    // The copy is of the begin of any step: what was written since is lost, and its numbers are given out again.
    void returnStore()
    {
        --m_returnsLeft;
        const std::size_t chosen = m_choices.choose(m_copies.size());
        const Copy copy = m_copies[chosen];
        m_history += "\n  the store comes back as it was before step " + std::to_string(chosen);
        m_records = copy.records;
        m_leases = copy.leases;
        m_revision = { m_revision.era + 1, copy.revision };
        m_lastLease = copy.lastLease;
        for (auto& [key, record] : m_records)
            record.revision.era = record.lease.era = m_revision.era;
        m_copies.clear();
    }

    void keepLease(std::size_t number)
    {
        Instance& instance = m_instances[number];
        if (instance.busy)
            return;
        Failure failure;
        note(instance, " keeps its lease");
        const bool leads = instance.lease.turn(failure);
        if (leads && !std::exchange(instance.leads, leads))
            instance.reporter.reset();
        instance.leads = leads;
    }

    void report(std::size_t number)
    {
        Instance& instance = m_instances[number];
        if (instance.busy || !instance.lease.isHeld())
            return;
        Failure failure;
        note(instance, " reports");
        instance.reporter.turn(m_clock.wallNow(), failure);
    }

    Fault beginCall(std::size_t number)
    {
        advance(answerTime);
        if (m_faultsLeft == 0)
            return Fault::none;
        const auto fault = static_cast<Fault>(m_choices.choose(3));
        if (fault == Fault::none)
            return fault;
        --m_faultsLeft;
        note(m_instances[number], fault == Fault::freeze ? " freezes" : " gets no answer");
        if (fault == Fault::freeze)
            passFreeze(number);
        return fault;
    }

    void passFreeze(std::size_t frozen)
    {
        m_instances[frozen].busy = true;
        advance(leaseTime + std::chrono::milliseconds(100));
        keepLease(1 - frozen);
        report(1 - frozen);
        advance(std::chrono::milliseconds(500));
        m_instances[frozen].busy = false;
    }

    void lapseLeases()
    {
        std::erase_if(m_leases, [this](const auto& lease) { return lease.second.end <= m_clock.time; });
        std::erase_if(m_records, [this](const auto& entry) { return entry.second.lease.number > 0 && !m_leases.contains(entry.second.lease.number); });
    }

    void receive(std::size_t instance, const UsageWindow& window, std::uint64_t fence, bool afterFreeze)
    {
        ++m_calls;
        note(m_instances[instance], " is heard with fence " + std::to_string(fence) + " on window " + std::to_string(window.number));
        const auto [accepted, isFirst] = m_accepted.try_emplace(window.number, window.counts);
        if (!isFirst && accepted->second != window.counts)
            violate("a window was reported with two counts");
        if (afterFreeze)
            return;
        if (!m_arrivals.empty() && fence < m_arrivals.back().fence)
            violate("a fence went back");
        const Arrival arrival { instance, fence, m_clock.time };
        bool otherSince = false;
        for (auto earlier = m_arrivals.rbegin(); earlier != m_arrivals.rend(); ++earlier) {
            if (earlier->instance != instance && earlier->fence == fence)
                violate("two leaders used one fence");
            if (earlier->instance == instance && otherSince && arrival.at - earlier->at < turnGap)
                violate("leaders acted by turns");
            otherSince = otherSince || earlier->instance != instance;
        }
        m_arrivals.push_back(arrival);
    }

    void note(const Instance& instance, const std::string& what)
    {
        m_history += "\n  " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.time.time_since_epoch()).count()) + " ms: " + instance.name.value + what;
    }

    void violate(const std::string& what)
    {
        if (!m_violation)
            m_violation = what + m_history;
    }

    const ExplorerSettings m_settings;
    ChoiceList& m_choices;
    std::uint32_t m_faultsLeft;
    std::uint32_t m_returnsLeft;
    WorldClock m_clock;
    std::map<std::string, backing::Record> m_records;
    std::map<std::uint64_t, Lease> m_leases; // By number.
    backing::Revision m_revision = 0;
    std::uint64_t m_lastLease = 0;
    std::vector<Copy> m_copies; // Of the begin of each step.
    std::map<WindowNumber, CustomerCounts> m_accepted;
    std::vector<Arrival> m_arrivals;
    std::uint64_t m_calls = 0;
    std::string m_history;
    std::optional<std::string> m_violation;
    std::array<Instance, 2> m_instances;
};

// Makes all runs, or those up to the first that breaks a rule.
inline ExplorerResult explore(const ExplorerSettings& settings)
{
    ExplorerResult result;
    ChoiceList choices;
    do {
        ExplorerWorld world(settings, choices);
        world.run();
        ++result.runs;
        result.calls += world.calls();
        result.violation = world.violation();
    } while (!result.violation && choices.next());
    return result;
}

}
