#include "Faults.h"

#include <csignal>

namespace whinyard::soak {

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds grace { 8'000 }; // Of a stop, as the settings of the site say.
    constexpr std::chrono::milliseconds listLag { 1'500 }; // Until the entry of a dead engine vanishes.

    std::chrono::milliseconds between(Random& random, std::chrono::milliseconds least, std::chrono::milliseconds most)
    {
        return least + std::chrono::milliseconds(below(random, static_cast<std::uint64_t>((most - least).count())));
    }

    void pause(std::chrono::milliseconds time)
    {
        std::this_thread::sleep_for(time);
    }

}

Faults::Faults(Site& site, Callers& callers, std::uint64_t seed)
    : m_site(site)
    , m_callers(callers)
    , m_seed(seed)
{
}

std::size_t Faults::begin(DisturbedPart part, std::size_t index, std::string what)
{
    const std::lock_guard lock(m_mutex);
    m_disturbances.push_back({ part, index, m_clock.now(), SteadyTime::max(), std::move(what) });
    return m_disturbances.size() - 1;
}

void Faults::end(std::size_t disturbance)
{
    const std::lock_guard lock(m_mutex);
    m_disturbances[disturbance].to = m_clock.now();
}

std::vector<Disturbance> Faults::disturbances()
{
    const std::lock_guard lock(m_mutex);
    return m_disturbances;
}

std::vector<std::string> Faults::findings()
{
    const std::lock_guard lock(m_mutex);
    return m_findings;
}

std::string Faults::key()
{
    const std::lock_guard lock(m_mutex);
    return "key-" + std::to_string(m_keys);
}

void Faults::run(std::chrono::milliseconds duration)
{
    const SteadyTime until = m_clock.now() + duration;
    std::vector<std::thread> series;
    series.emplace_back([this, until] { disturbDaemons(Random(m_seed), until); });
    series.emplace_back([this, until] { disturbEngines(Random(m_seed + 1), until); });
    series.emplace_back([this, until] { disturbStore(Random(m_seed + 2), until); });
    series.emplace_back([this, until] { disturbLinks(Random(m_seed + 3), until); });
    series.emplace_back([this, until] { crowdDaemons(Random(m_seed + 4), until); });
    for (std::thread& one : series)
        one.join();
}

void Faults::stopDaemon(std::size_t daemon)
{
    const std::size_t fault = begin(DisturbedPart::daemonStop, daemon, "SIGTERM");
    const SteadyTime asked = m_clock.now();
    m_site.signalDaemon(daemon, SIGTERM);
    const int status = m_site.awaitDaemon(daemon);
    if (status != 0 || m_clock.now() - asked > grace) {
        const std::lock_guard lock(m_mutex);
        m_findings.push_back("daemon " + std::to_string(daemon) + " ended with status " + std::to_string(status) + " after " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - asked).count()) + " ms");
    }
    m_site.startDaemon(daemon);
    end(fault);
}

void Faults::killDaemon(std::size_t daemon, std::chrono::milliseconds down)
{
    const std::size_t fault = begin(DisturbedPart::daemon, daemon, "SIGKILL");
    m_site.signalDaemon(daemon, SIGKILL);
    m_site.awaitDaemon(daemon);
    pause(down);
    m_site.startDaemon(daemon);
    end(fault);
}

void Faults::disturbDaemons(Random random, SteadyTime until)
{
    while (m_clock.now() < until) {
        pause(between(random, 100ms, 1'500ms));
        const std::size_t daemon = below(random, m_site.daemons());
        switch (below(random, 4)) {
        case 0:
            killDaemon(daemon, between(random, 0ms, 1'500ms));
            break;
        case 1:
            stopDaemon(daemon);
            break;
        case 2: {
            const std::size_t fault = begin(DisturbedPart::daemon, daemon, "SIGSTOP");
            m_site.signalDaemon(daemon, SIGSTOP);
            pause(between(random, 100ms, 2'000ms));
            m_site.signalDaemon(daemon, SIGCONT);
            end(fault);
            break;
        }
        default:
            m_site.signalDaemon(daemon, SIGHUP);
            break;
        }
    }
}

void Faults::disturbEngines(Random random, SteadyTime until)
{
    while (m_clock.now() < until) {
        pause(between(random, 200ms, 2'000ms));
        const std::size_t engine = below(random, m_site.engines());
        const bool isKill = below(random, 2) == 0;
        const std::size_t fault = begin(DisturbedPart::engine, engine, isKill ? "SIGKILL" : "SIGSTOP");
        if (isKill) {
            m_site.killEngine(engine);
            pause(listLag);
            m_site.unlistEngine(engine);
            m_site.startEngine(engine);
            m_site.listEngine(engine);
        } else {
            m_site.signalEngine(engine, SIGSTOP);
            pause(between(random, 100ms, 1'500ms));
            m_site.signalEngine(engine, SIGCONT);
        }
        end(fault);
    }
}

// Most callers come to one daemon, then to another one.
void Faults::crowdDaemons(Random random, SteadyTime until)
{
    while (m_clock.now() < until) {
        pause(between(random, 200ms, 1'500ms));
        m_callers.crowd(below(random, m_site.daemons()));
        pause(between(random, 300ms, 2'000ms));
        m_callers.stopCrowd();
    }
}

// Takes the store away for a moment and has it come back without what was written since its last copy.
void Faults::returnStore(Random& random)
{
    const std::size_t fault = begin(DisturbedPart::store, 0, "comes back older");
    m_site.store().setAway(true);
    pause(between(random, 0ms, 600ms));
    m_site.returnStore();
    m_site.store().setAway(false);
    pause(between(random, 0ms, 1'000ms));
    m_site.writeAgain();
    end(fault);
}

// The configuration changes while the store misbehaves too: operators reach it, as on the platform.
void Faults::disturbStore(Random random, SteadyTime until)
{
    m_site.store().keepCopy();
    while (m_clock.now() < until) {
        pause(between(random, 300ms, 3'000ms));
        const std::uint64_t kind = below(random, 4);
        if (kind == 3) {
            returnStore(random);
            continue;
        }
        const std::size_t fault = begin(DisturbedPart::store, 0, kind == 0 ? "away" : kind == 1 ? "silent"
                                                                                                : "new keys");
        if (kind == 0)
            m_site.store().setAway(true);
        else if (kind == 1)
            m_site.store().setSilent(true);
        if (below(random, 2) == 0)
            changeKeys();
        pause(between(random, 200ms, 2'500ms));
        m_site.store().setAway(false);
        m_site.store().setSilent(false);
        if (below(random, 2) == 0)
            m_site.store().keepCopy();
        end(fault);
    }
}

// Callers go over to the key that was new before this change, which all instances had time to learn.
void Faults::changeKeys()
{
    std::uint64_t newest = 0;
    {
        const std::lock_guard lock(m_mutex);
        newest = ++m_keys;
    }
    const std::string before = "key-" + std::to_string(newest - 1);
    m_callers.useKey(before);
    m_site.configure({ before, "key-" + std::to_string(newest) });
}

void Faults::disturbLinks(Random random, SteadyTime until)
{
    constexpr std::array states { LinkState::delayed, LinkState::silent, LinkState::answersLost, LinkState::refusing };
    while (m_clock.now() < until) {
        pause(between(random, 200ms, 2'500ms));
        const LinkState state = states[below(random, states.size())];
        const bool toStore = below(random, 2) == 0;
        const std::size_t index = below(random, toStore ? m_site.daemons() : m_site.engines());
        Proxy& link = toStore ? m_site.storeLink(index) : m_site.engineLink(index);
        const std::size_t fault = begin(toStore ? DisturbedPart::daemon : DisturbedPart::engine, index, "link");
        link.use(state, between(random, 20ms, 300ms));
        pause(between(random, 200ms, 2'500ms));
        link.use(LinkState::open);
        end(fault);
    }
}

}
