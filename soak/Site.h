// The site of a soak: a store, engines and daemons as processes, and a proxy on every link that can be disturbed.
#pragma once

#include "ChildProcess.h"
#include "Observations.h"
#include "Proxy.h"
#include "platform/StandInStore.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace whinyard::soak {

struct SitePlan {
    std::string daemonProgram;
    std::string engineProgram;
    std::string directory; // For settings and logs.
    std::size_t daemons = 3;
    std::size_t engines = 4;
    std::uint64_t seed = 1;
};

// Functions may be called from any thread; those on one daemon or engine from one at a time.
class Site {
public:
    explicit Site(const SitePlan& plan);

    // Ends every process that the site started.
    ~Site();

    std::size_t daemons() const { return m_daemons.size(); }
    std::size_t engines() const { return m_engines.size(); }
    net::Address callers(std::size_t daemon) const;
    net::Address readiness(std::size_t daemon) const;

    void startDaemon(std::size_t daemon);
    void signalDaemon(std::size_t daemon, int signal);
    // Returns how many descriptors its process holds.
    std::size_t descriptorsOf(std::size_t daemon) const;
    // Waits for its end and returns the exit status.
    int awaitDaemon(std::size_t daemon);

    void startEngine(std::size_t engine);
    void signalEngine(std::size_t engine, int signal);
    void killEngine(std::size_t engine);

    // Writes the engine's entry with this state, or removes it.
    void listEngine(std::size_t engine, const char* state = "ready");
    void unlistEngine(std::size_t engine);

    Proxy& storeLink(std::size_t daemon) { return *m_daemons[daemon].store; }
    Proxy& engineLink(std::size_t engine) { return *m_engines[engine].link; }
    platform::StandInStore& store() { return m_store; }

    // Has the store come back from the copy that it kept last. writeAgain() follows after a moment.
    void returnStore() { m_store.returnToCopy(); }

    // Writes what the operator and the engines have written last, and removes the entries of engines that have gone.
    void writeAgain();

    // Publishes a configuration in which only this key is valid, beside those that stay.
    void configure(const std::vector<std::string>& keys);

    // Returns the runs that engines have reported so far.
    std::vector<RunRecord> runs();

    // Returns the requests whose streams engines have broken off by themselves.
    std::set<std::string> brokenOff();

    static constexpr const char* customer = "school";
    // Of a daemon, by its settings.
    static constexpr std::size_t mostDescriptors = 600;
    static constexpr std::size_t mostSockets = mostDescriptors - 200; // The others are reserved for files.
    static constexpr std::uint32_t memoryMegabytes = 260;

private:
    struct DaemonPlace {
        std::uint16_t port = 0; // Of callers; readiness and other instances follow.
        std::unique_ptr<Proxy> store;
        std::unique_ptr<apptest::ChildProcess> process;
    };

    struct EnginePlace {
        std::string id;
        std::uint32_t life = 0;
        std::unique_ptr<Proxy> link;
        std::unique_ptr<apptest::ChildProcess> process;
        std::thread reader;
    };

    void writeSettings(std::size_t daemon);
    void write(const std::string& key, const std::optional<std::string>& value);
    void readRuns(std::size_t engine);
    std::string logOf(const std::string& name) const { return m_plan.directory + "/" + name + ".log"; }

    const SitePlan m_plan;
    const std::string m_host;
    const SystemClock m_clock;
    platform::StandInStore m_store;
    std::vector<DaemonPlace> m_daemons;
    std::vector<EnginePlace> m_engines;
    std::uint64_t m_configuration = 0;
    std::mutex m_mutex;
    std::vector<RunRecord> m_runs;
    std::set<std::string> m_brokenOff;
    std::mutex m_writing;
    std::map<std::string, std::optional<std::string>> m_written; // By key; nothing: removed.
};

}
