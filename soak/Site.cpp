#include "Site.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace whinyard::soak {

namespace {

    using nlohmann::json;

    constexpr std::uint16_t firstPort = 7'100;
    constexpr std::uint16_t portsOfDaemon = 10;

    // A loopback address that no other soak uses at the same time.
    std::string ownHost()
    {
        const auto pid = static_cast<std::uint32_t>(getpid());
        return "127." + std::to_string(128 + (pid >> 16) % 64) + "." + std::to_string((pid >> 8) & 0xff) + "." + std::to_string(pid & 0xff);
    }

    json route(const char* name, const char* kind, int attempts)
    {
        json written = { { "name", name }, { "host", "a.example" }, { "prefix", "/" + std::string(name) + "/" }, { "kind", kind }, { "timeout_ms", 1'500 }, { "goal_ms", 600 }, { "priority", 1 }, { "service", "svc" }, { "max_attempts", attempts } };
        if (std::string_view(kind) == "streaming") {
            written["resumable"] = true;
            written["gap_aim_ms"] = 600;
        }
        return written;
    }

}

Site::Site(const SitePlan& plan)
    : m_plan(plan)
    , m_host(ownHost())
{
    m_daemons.resize(plan.daemons);
    m_engines.resize(plan.engines);
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        m_daemons[daemon].port = static_cast<std::uint16_t>(firstPort + portsOfDaemon * daemon);
        m_daemons[daemon].store = std::make_unique<Proxy>(m_store.address());
        writeSettings(daemon);
    }
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
        startEngine(engine);
}

Site::~Site()
{
    for (DaemonPlace& daemon : m_daemons)
        daemon.process.reset();
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
        killEngine(engine);
}

net::Address Site::callers(std::size_t daemon) const
{
    return { m_host, m_daemons[daemon].port };
}

net::Address Site::readiness(std::size_t daemon) const
{
    return { m_host, static_cast<std::uint16_t>(m_daemons[daemon].port + 1) };
}

void Site::writeSettings(std::size_t daemon)
{
    const std::uint16_t port = m_daemons[daemon].port;
    const json settings = {
        { "node_name", "entry-" + std::to_string(daemon) },
        { "zone", "z" },
        { "region", "r" },
        { "ip", m_host },
        { "listen", { { "front", net::toText(callers(daemon)) }, { "ready", net::toText(readiness(daemon)) } } },
        { "port_range", { port + 2, port + 5 } },
        { "limits", { { "link_mbps", 1'000 }, { "memory_mb", memoryMegabytes }, { "max_fds", mostDescriptors } } },
        { "platform", { { "address", net::toText(m_daemons[daemon].store->address()) }, { "writes_per_s", 400 }, { "reads_per_s", 2'000 } } },
        { "bounds", { { "contact_ms", 3'000 }, { "drain_ms", 2'000 }, { "grace_s", 8 }, { "config_apply_ms", 2'000 }, { "budget_ratio", 0.9 }, { "budget_window_s", 10 }, { "retry_slack", 52 } } },
    };
    std::ofstream(m_plan.directory + "/entry-" + std::to_string(daemon) + ".json") << settings.dump(2);
}

void Site::startDaemon(std::size_t daemon)
{
    const std::string name = "entry-" + std::to_string(daemon);
    m_daemons[daemon].process = std::make_unique<apptest::ChildProcess>(m_plan.daemonProgram, std::vector<std::string> { "--platform-settings", m_plan.directory + "/" + name + ".json" }, std::vector<std::string>(), logOf(name), apptest::ChildOutput::logFile);
}

void Site::signalDaemon(std::size_t daemon, int signal)
{
    if (m_daemons[daemon].process)
        m_daemons[daemon].process->signal(signal);
}

std::size_t Site::descriptorsOf(std::size_t daemon) const
{
    const std::filesystem::directory_iterator held("/proc/" + std::to_string(m_daemons[daemon].process->pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(held), end(held)));
}

int Site::awaitDaemon(std::size_t daemon)
{
    const int status = m_daemons[daemon].process->wait();
    m_daemons[daemon].process.reset();
    return status;
}

void Site::startEngine(std::size_t engine)
{
    EnginePlace& place = m_engines[engine];
    place.id = "i-" + std::to_string(engine) + "-" + std::to_string(++place.life);
    const std::vector<std::string> arguments { "--id", place.id, "--seed", std::to_string(m_plan.seed * 1'000 + engine * 100 + place.life) };
    place.process = std::make_unique<apptest::ChildProcess>(m_plan.engineProgram, arguments, std::vector<std::string>(), logOf("engine-" + std::to_string(engine)));
    const std::string line = place.process->readLine().value_or("");
    constexpr std::string_view announcement = "listening on ";
    Failure failure;
    const auto address = line.starts_with(announcement) ? net::parseAddress(line.substr(announcement.size()), failure) : std::nullopt;
    if (!address)
        throw std::runtime_error(place.id + " did not start: " + line);
    if (place.link)
        place.link->useTarget(*address);
    else {
        place.link = std::make_unique<Proxy>(*address);
        if (engine % 2 == 0)
            place.link->hideCloseAnnouncements();
    }
    place.reader = std::thread([this, engine] { readRuns(engine); });
}

void Site::readRuns(std::size_t engine)
{
    constexpr std::string_view mark = "run ";
    constexpr std::string_view breakMark = "broke ";
    while (const std::optional<std::string> line = m_engines[engine].process->readLine()) {
        if (line->starts_with(breakMark)) {
            const std::lock_guard lock(m_mutex);
            m_brokenOff.insert(line->substr(breakMark.size()));
            continue;
        }
        if (!line->starts_with(mark))
            continue;
        const std::size_t space = line->find(' ', mark.size());
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({ line->substr(mark.size(), space - mark.size()), engine, space == std::string::npos ? "" : line->substr(space + 1), m_clock.now() });
    }
}

void Site::signalEngine(std::size_t engine, int signal)
{
    m_engines[engine].process->signal(signal);
}

void Site::killEngine(std::size_t engine)
{
    EnginePlace& place = m_engines[engine];
    if (!place.process)
        return;
    place.process->signal(SIGKILL);
    place.reader.join();
    place.process->wait();
    place.process.reset();
}

void Site::listEngine(std::size_t engine, const char* state)
{
    const EnginePlace& place = m_engines[engine];
    const json entry = { { "service", "svc" }, { "address", net::toText(place.link->address()) }, { "zone", "z" }, { "version", "v1" }, { "slots", 8 }, { "state", state }, { "sequence", 1 } };
    write("servers/" + place.id, entry.dump());
}

void Site::unlistEngine(std::size_t engine)
{
    write("servers/" + m_engines[engine].id, std::nullopt);
}

void Site::write(const std::string& key, const std::optional<std::string>& value)
{
    const std::lock_guard lock(m_writing);
    m_written[key] = value;
    if (value)
        m_store.write(key, *value);
    else
        m_store.erase(key);
}

void Site::writeAgain()
{
    const std::lock_guard lock(m_writing);
    for (const auto& [key, value] : m_written) {
        if (!value)
            m_store.erase(key);
        else if (m_store.read(key) != *value)
            m_store.write(key, *value);
    }
}

void Site::configure(const std::vector<std::string>& keys)
{
    const json configuration = {
        { "version", ++m_configuration },
        { "routes", { route("whole", "idempotent", 3), route("once", "non_idempotent", 1), route("stream", "streaming", 3) } },
        { "services", { { { "name", "svc" }, { "max_conns", 200 } } } },
        { "limits", { { "idle_timeout_ms", 15'000 } } },
        { "tenants", { { { "name", customer }, { "api_keys", keys } } } },
    };
    write("op/config", configuration.dump());
}

std::set<std::string> Site::brokenOff()
{
    const std::lock_guard lock(m_mutex);
    return m_brokenOff;
}

std::vector<RunRecord> Site::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

}
