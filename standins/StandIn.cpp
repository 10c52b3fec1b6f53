#include "StandIn.h"

#include "whinyard/base/Log.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <utility>

namespace whinyard::standin {

namespace {

    constexpr std::array<std::pair<FaultMode, std::string_view>, 10> modeNames { {
        { FaultMode::none, "none" },
        { FaultMode::down, "down" },
        { FaultMode::slow, "slow" },
        { FaultMode::frozen, "frozen" },
        { FaultMode::lostReply, "lostReply" },
        { FaultMode::error, "error" },
        { FaultMode::cutAfter, "cutAfter" },
        { FaultMode::stall, "stall" },
        { FaultMode::duplicate, "duplicate" },
        { FaultMode::crossed, "crossed" },
    } };

    std::optional<FaultMode> modeNamed(const std::string& name)
    {
        const auto found = std::ranges::find(modeNames, name, &std::pair<FaultMode, std::string_view>::second);
        if (found == modeNames.end())
            return std::nullopt;
        return found->first;
    }

    // Blocks the ending signals in this thread and all that it starts, so that sigwait() takes them.
    sigset_t blockEndingSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        return signals;
    }

    net::HttpHandler handlerOf(Service& service)
    {
        return [&service](const net::HttpRequest& request, net::HttpResponder& responder) {
            try {
                service.handle(request, responder);
            } catch (const nlohmann::json::exception& fault) {
                replyError(responder, 400, fault.what());
            }
        };
    }

}

void addCommonOptions(CLI::App& app, StandInOptions& options)
{
    app.add_option("--listen", options.listen, "numeric address and port; port 0 takes a free one");
    app.add_option("--log-level", options.logLevel, "debug, info, warning or error");
    app.add_option("--seed", options.seed, "seed of the faults' chances");
}

int serve(const std::string& program, const StandInOptions& options, const ServiceFactory& make)
{
    Failure failure;
    const auto address = net::parseAddress(options.listen, failure);
    if (!address) {
        std::cerr << failure.reason << std::endl;
        return 2;
    }
    const sigset_t signals = blockEndingSignals();
    log::start(program, options.logLevel);
    net::Duty duty("serve");
    std::unique_ptr<Service> service;
    std::unique_ptr<net::HttpServer> server;
    net::runOn(duty, [&] {
        service = make(duty);
        server = net::HttpServer::open(duty, *address, {}, handlerOf(*service), failure);
    });
    if (server) {
        std::cout << "listening on " << net::toText(server->address()) << std::endl;
        int signal = 0;
        sigwait(&signals, &signal);
        log::info("stopping", { { "signal", std::to_string(signal) } });
        net::runOn(duty, [&] { server->close(); });
    } else {
        log::error("can't listen", { { "reason", failure.reason } });
    }
    const bool served = server != nullptr;
    duty.stop();
    log::stop();
    return served ? 0 : 1;
}

nlohmann::json bodyOf(const net::HttpRequest& request)
{
    return nlohmann::json::parse(request.body);
}

void reply(net::HttpResponder& responder, int status, const nlohmann::json& body)
{
    responder.send({ .status = status, .fields = { { "Content-Type", "application/json" } }, .body = body.dump() });
}

void replyError(net::HttpResponder& responder, int status, const std::string& message)
{
    reply(responder, status, { { "error", { { "message", message } } } });
}

Faults::Faults(std::initializer_list<FaultMode> allowed, std::uint64_t seed)
    : m_allowed(allowed)
    , m_random(seed)
{
}

bool Faults::replace(const nlohmann::json& body)
{
    const auto entries = body.is_array() ? body : nlohmann::json::array({ body });
    std::vector<FaultPlan> plans;
    for (const auto& entry : entries) {
        const auto mode = modeNamed(entry.at("mode").get<std::string>());
        if (!mode)
            return false;
        if (*mode == FaultMode::none)
            continue;
        if (std::ranges::find(m_allowed, *mode) == m_allowed.end())
            return false;
        plans.push_back({
            .mode = *mode,
            .delay = std::chrono::milliseconds(entry.value("delayMs", 0)),
            .probability = entry.value("probability", 1.0),
            .after = entry.value("after", std::size_t { 0 }),
        });
    }
    m_plans = std::move(plans);
    return true;
}

bool Faults::active(FaultMode mode) const
{
    return std::ranges::find(m_plans, mode, &FaultPlan::mode) != m_plans.end();
}

std::optional<FaultPlan> Faults::strike(FaultMode mode)
{
    const auto plan = std::ranges::find(m_plans, mode, &FaultPlan::mode);
    if (plan == m_plans.end() || uniform(m_random) >= plan->probability)
        return std::nullopt;
    return *plan;
}

void Leaving::begin(const Clock& clock, net::HttpResponder& responder)
{
    if (!m_begun)
        m_begun = clock.now();
    reply(responder, 200, nlohmann::json::object());
}

bool Leaving::refuse(const Clock& clock, net::HttpResponder& responder)
{
    if (!m_begun)
        return false;
    m_refusalsMs.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - *m_begun).count());
    responder.send({ .status = 503, .fields = { { "X-Leaving", "1" } }, .body = {} });
    return true;
}

void replaceFaults(Faults& faults, const net::HttpRequest& request, net::HttpResponder& responder)
{
    if (!faults.replace(bodyOf(request))) {
        replyError(responder, 400, "no such fault here");
        return;
    }
    log::info("faults replaced", { { "faults", request.body } });
    reply(responder, 200, nlohmann::json::object());
}

}
