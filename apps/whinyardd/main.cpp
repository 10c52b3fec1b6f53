// whinyardd: the daemon of an entry instance.
#include "Daemon.h"

#include "entry/EntryDaemon.h"
#include "platform/SettingsFile.h"
#include "whinyard/base/CrashReport.h"
#include "whinyard/base/Log.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <iostream>

namespace {

using namespace whinyard;

constexpr int exitFailure = 1;
constexpr int exitInvalidSettings = 2; // Also for settings that can't be used here: a port in use, a missing key.
constexpr long drainPollNanoseconds = 20'000'000;

// Blocks the signals in this thread and all later ones, so that only sigwait() takes them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// Waits until the daemon is drained, the bound has passed or a second signal comes. Returns whether it is drained.
bool waitForDrain(const daemon::Daemon& process, const sigset_t& signals, std::chrono::milliseconds bound)
{
    const SystemClock clock;
    const SteadyTime end = clock.now() + bound;
    const timespec poll { .tv_sec = 0, .tv_nsec = drainPollNanoseconds };
    while (!process.drained()) {
        if (clock.now() >= end || sigtimedwait(&signals, nullptr, &poll) > 0)
            return false;
    }
    return true;
}

// Waits for the request to end, and calls `reload` whenever the settings have changed before.
void awaitEnd(const sigset_t& signals, const std::function<void()>& reload)
{
    int signal = 0;
    while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) {
        if (signal == SIGHUP)
            reload();
    }
}

// For the last lines of an entry instance, of the half second that its drain leaves until the process is killed.
constexpr std::chrono::milliseconds logEnding { 300 };

int failStart(const Failure& failure)
{
    log::error("can't start", { { "reason", failure.reason } });
    log::stop();
    std::cerr << "whinyardd: " << failure.reason << '\n';
    return failure.kind == ErrorKind::invalidSettings ? exitInvalidSettings : exitFailure;
}

int serve(const settings::DaemonSettings& settings)
{
    const crash::ExitGuard guard;
    const sigset_t signals = blockSignals();
    log::start("whinyardd", settings.logLevel);
    Failure failure;
    const std::unique_ptr<daemon::Daemon> process = daemon::Daemon::start(settings, failure);
    if (!process)
        return failStart(failure);
    awaitEnd(signals, [] { log::info("settings are read at the next start only"); });
    process->beginDrain();
    const bool drained = waitForDrain(*process, signals, settings.timing.shutdownBound);
    if (!drained)
        log::warning("ending with requests still running");
    process->stop();
    log::info("stopped");
    const int status = drained ? 0 : exitFailure;
    if (!log::stop())
        std::_Exit(status);
    return status;
}

// What the command line says of an entry instance.
struct EntryArguments {
    std::string platformFile;
    std::string tuningFile;
    std::string metrics;
};

// Reads the settings of a platform's entry instance, with what the command line adds to them.
std::optional<settings::EntrySettings> loadEntrySettings(const EntryArguments& arguments, Failure& failure)
{
    std::optional<settings::EntrySettings> settings = platform::loadSettings(arguments.platformFile, failure);
    if (!settings)
        return std::nullopt;
    if (!arguments.tuningFile.empty()) {
        const std::optional<settings::EntryTuning> tuning = settings::loadEntryTuning(arguments.tuningFile, failure);
        if (!tuning)
            return std::nullopt;
        settings->tuning = *tuning;
    }
    if (arguments.metrics.empty())
        return settings;
    settings->metrics = net::parseAddress(arguments.metrics, failure);
    if (settings->metrics)
        return settings;
    failure = { .kind = ErrorKind::invalidSettings, .reason = "--metrics: found " + arguments.metrics + ", allowed is an address such as 10.1.0.40:9464" };
    return std::nullopt;
}

int serveEntry(const settings::EntrySettings& settings, const std::function<std::optional<settings::EntrySettings>(Failure&)>& readAgain)
{
    const crash::ExitGuard guard;
    const sigset_t signals = blockSignals();
    log::start("whinyardd", settings.tuning.logLevel);
    Failure failure;
    const std::unique_ptr<daemon::EntryDaemon> process = daemon::EntryDaemon::start(settings, failure);
    if (!process)
        return failStart(failure);
    awaitEnd(signals, [&] {
        Failure reason;
        if (const std::optional<settings::EntrySettings> changed = readAgain(reason))
            process->reload(*changed);
        else
            log::error("settings not taken, the old ones hold", { { "reason", reason.reason } });
    });
    const bool drained = process->drain();
    if (!drained)
        log::warning("ending with requests still running");
    process->stop();
    log::info("stopped", { { "drained", drained ? "true" : "false" } });
    log::stop(logEnding);
    // Destructors of duties whose fibers still wait would only delay the end.
    std::_Exit(drained ? 0 : exitFailure);
}

int report(const std::string& file, bool valid, const Failure& failure)
{
    if (!valid) {
        std::cerr << failure.reason << '\n';
        return exitInvalidSettings;
    }
    std::cout << file << ": valid\n";
    return 0;
}

}

int main(int argc, char** argv)
{
    crash::install("whinyardd");
    CLI::App app("whinyardd: the daemon of a whinyard entry instance", "whinyardd");
    std::string file;
    EntryArguments entry;
    bool check = false;
    auto* own = app.add_option("--settings", file, "settings file, JSON with comments");
    auto* ofPlatform = app.add_option("--platform-settings", entry.platformFile, "settings file of the users' platform: forward requests by its store's configuration")->envname("WHINYARD_SETTINGS");
    own->excludes(ofPlatform);
    app.add_option("--tuning", entry.tuningFile, "the project's own numbers, JSON with comments, with --platform-settings");
    app.add_option("--metrics", entry.metrics, "address on which metrics are read, with --platform-settings");
    app.add_flag("--check", check, "check the settings and exit: 0 if they are valid, 2 if not");
    app.set_version_flag("--version", "whinyardd " WHINYARD_VERSION);
    CLI11_PARSE(app, argc, argv);

    Failure failure;
    if (!entry.platformFile.empty()) {
        const auto read = [&](Failure& reason) { return loadEntrySettings(entry, reason); };
        const std::optional<settings::EntrySettings> settings = read(failure);
        if (check || !settings)
            return report(entry.platformFile, settings.has_value(), failure);
        return serveEntry(*settings, read);
    }
    if (file.empty()) {
        std::cerr << "whinyardd: --settings or --platform-settings is required\n";
        return exitInvalidSettings;
    }
    const std::optional<settings::DaemonSettings> settings = settings::loadDaemonSettings(file, failure);
    if (check || !settings)
        return report(file, settings.has_value(), failure);
    return serve(*settings);
}
