// Runs one seed of the fault soak, and says which promises were broken. Exits 1 on any.
#include "Callers.h"
#include "Checks.h"
#include "Faults.h"
#include "Site.h"

#include "whinyard/settings/DescriptorShares.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace {

using namespace std::chrono_literals;
using namespace whinyard;
using namespace whinyard::soak;

constexpr std::size_t callerCount = 24;
constexpr std::chrono::seconds recoverBound { 12 };
constexpr std::chrono::milliseconds applyBound { 2'000 };
constexpr std::chrono::milliseconds drainBound { 2'000 };
constexpr std::chrono::milliseconds contact { 3'000 }; // After which bounds of time hold again.
constexpr std::chrono::seconds rateSpan { 4 };
constexpr std::ptrdiff_t mostRunsAtRate = 17; // At two a second: one and a half times as many in the span, and five.

struct Arguments {
    std::uint64_t seed = 1;
    int seconds = 10;
    std::size_t daemons = 3;
    std::size_t engines = 4;
    std::string directory;
};

class Run {
public:
    explicit Run(const Arguments& arguments)
        : m_arguments(arguments)
        , m_site({ DAEMON_PROGRAM, ENGINE_PROGRAM, arguments.directory, arguments.daemons, arguments.engines, arguments.seed })
        , m_callers(m_site, arguments.seed)
        , m_faults(m_site, m_callers, arguments.seed)
    {
    }

    int play()
    {
        if (!start())
            return 1;
        m_callers.start(callerCount);
        std::this_thread::sleep_for(1s);
        m_faults.run(std::chrono::seconds(m_arguments.seconds));
        expect("all serve again", allServe(recoverBound));
        std::this_thread::sleep_for(contact);
        checkKeys();
        checkStatedRate();
        checkLeavingWord();
        checkDrain();
        m_callers.stop();
        std::this_thread::sleep_for(300ms); // What engines wrote of the last runs.
        judgeAll();
        checkDescriptors();
        checkEnd();
        return m_broken ? 1 : 0;
    }

private:
    bool start()
    {
        m_site.configure({ m_faults.key() });
        m_callers.useKey(m_faults.key());
        for (std::size_t engine = 0; engine < m_site.engines(); ++engine)
            m_site.listEngine(engine);
        for (std::size_t daemon = 0; daemon < m_site.daemons(); ++daemon)
            m_site.startDaemon(daemon);
        expect("all start", allServe(recoverBound));
        return !m_broken;
    }

    void expect(const std::string& promise, bool holds)
    {
        if (holds)
            return;
        m_broken = true;
        std::cout << "broken: " << promise << "\n";
    }

    bool allServe(std::chrono::milliseconds bound) { return allServeWith(m_faults.key(), bound); }

    bool allServeWith(const std::string& key, std::chrono::milliseconds bound)
    {
        const SteadyTime end = m_clock.now() + bound;
        m_callers.useKey(key);
        for (std::size_t daemon = 0; daemon < m_site.daemons(); ++daemon) {
            while (!m_callers.isReady(daemon) || m_callers.ask(daemon, RequestKind::idempotent, key).status != 200) {
                if (m_clock.now() > end)
                    return false;
                std::this_thread::sleep_for(50ms);
            }
        }
        return true;
    }

    // With nothing disturbed, a key that is taken away is refused within the bound, and the new one taken.
    void checkKeys()
    {
        m_site.configure({ "last-key" });
        m_callers.useKey("last-key");
        std::this_thread::sleep_for(applyBound);
        for (std::size_t daemon = 0; daemon < m_site.daemons(); ++daemon) {
            expect("a key that was taken away is refused", m_callers.ask(daemon, RequestKind::idempotent, m_faults.key()).status == 401);
            expect("a new key is taken", takesKey(daemon, "last-key"));
        }
    }

    // A daemon may refuse a request while all engines hold work off, but never for its key.
    bool takesKey(std::size_t daemon, const std::string& key)
    {
        const SteadyTime end = m_clock.now() + recoverBound;
        while (m_clock.now() < end) {
            const int status = m_callers.ask(daemon, RequestKind::idempotent, key).status;
            if (status != 503)
                return status == 200;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    std::ptrdiff_t runsSince(std::size_t engine, SteadyTime from)
    {
        const std::vector<RunRecord> runs = m_site.runs();
        return std::count_if(runs.begin(), runs.end(), [&](const RunRecord& run) { return run.engine == engine && run.at >= from; });
    }

    // An engine that states a rate gets no more than the bound from all daemons together, once they had the time to hear it.
    void checkStatedRate()
    {
        constexpr std::size_t engine = 1;
        m_site.signalEngine(engine, SIGUSR1);
        std::this_thread::sleep_for(contact);
        const SteadyTime from = m_clock.now();
        std::this_thread::sleep_for(rateSpan);
        const std::ptrdiff_t runs = runsSince(engine, from);
        expect("a stated rate is kept, " + std::to_string(runs) + " runs", runs <= mostRunsAtRate);
        expect("a stated rate is used", runs > 0);
    }

    // An engine that says in its answers that it leaves gets nothing more, though the store can't list it so. A daemon is told by an
    // answer, for which a rate that the engine stated before may have it wait.
    void checkLeavingWord()
    {
        if (m_site.engines() < 3)
            return;
        const std::size_t engine = m_site.engines() - 1;
        m_site.store().setAway(true);
        m_site.signalEngine(engine, SIGUSR2);
        std::this_thread::sleep_for(contact + rateSpan + 1s);
        const SteadyTime from = m_clock.now();
        std::this_thread::sleep_for(1s);
        expect("an engine that says it leaves gets no new work", runsSince(engine, from) == 0);
        m_site.store().setAway(false);
        expect("all serve again", allServeWith("last-key", recoverBound));
    }

    void checkDrain()
    {
        m_site.listEngine(0, "draining");
        std::this_thread::sleep_for(drainBound);
        const SteadyTime bound = m_clock.now();
        std::this_thread::sleep_for(1s);
        for (const RunRecord& run : m_site.runs())
            expect("a leaving engine gets no new work, request " + run.id, run.engine != 0 || run.at <= bound + 200ms);
    }

    void judgeAll()
    {
        const Observations seen { m_callers.records(), m_site.runs(), m_site.brokenOff(), m_faults.disturbances() };
        for (const Violation& one : judge(seen, {}))
            expect(one.promise + ", request " + one.request + ", " + one.detail, false);
        for (const std::string& finding : m_faults.findings())
            expect("a graceful end: " + finding, false);
        const auto served = std::count_if(seen.requests.begin(), seen.requests.end(), [](const CallerRecord& request) { return request.status == 200 && request.isWhole; });
        std::cout << "seed " << m_arguments.seed << ": " << seen.requests.size() << " requests, " << served << " served, " << seen.runs.size() << " runs, " << seen.disturbances.size() << " faults\n";
    }

    // Without requests, none of those that were served holds a descriptor any more: only the connections that callers keep do.
    void checkDescriptors()
    {
        constexpr std::size_t atRest = 64; // Streams, event loops, listeners, the store and questions for readiness.
        Failure failure;
        const auto shares = settings::shareDescriptors(Site::mostSockets, Site::memoryMegabytes, failure);
        if (!shares) {
            expect("the descriptors can be shared: " + failure.reason, false);
            return;
        }
        for (std::size_t daemon = 0; daemon < m_site.daemons(); ++daemon) {
            const std::size_t held = m_site.descriptorsOf(daemon);
            m_mostHeld = std::max(m_mostHeld, held);
            expect("descriptors are given back, " + std::to_string(held) + " held", held <= shares->callers + atRest);
        }
        std::cout << "seed " << m_arguments.seed << ": at most " << m_mostHeld << " descriptors of a daemon at rest\n";
    }

    void checkEnd()
    {
        for (std::size_t daemon = 0; daemon < m_site.daemons(); ++daemon) {
            m_site.signalDaemon(daemon, SIGTERM);
            expect("a daemon ends well", m_site.awaitDaemon(daemon) == 0);
        }
    }

    const Arguments m_arguments;
    const SystemClock m_clock;
    Site m_site;
    Callers m_callers;
    Faults m_faults;
    std::size_t m_mostHeld = 0; // Descriptors, by one daemon.
    bool m_broken = false;
};

}

int main(int argc, char** argv)
{
    Arguments arguments;
    CLI::App app { "fault soak of whinyard's entry instances" };
    app.add_option("--seed", arguments.seed, "of faults, callers and engines");
    app.add_option("--seconds", arguments.seconds, "how long faults are caused");
    app.add_option("--daemons", arguments.daemons, "processes")->check(CLI::Range(1, 60));
    app.add_option("--engines", arguments.engines, "processes")->check(CLI::Range(2, 200));
    app.add_option("--directory", arguments.directory, "for settings and logs")->required();
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(arguments.directory);
    return Run(arguments).play();
}
