#include "whinyard/router/Router.h"

#include "internal/Answer.h"
#include "internal/AttemptWatch.h"
#include "internal/Authentication.h"
#include "internal/ChatPath.h"
#include "internal/ModelsPath.h"
#include "internal/ServicePath.h"

#include <charconv>

namespace whinyard::router {

namespace {

    constexpr std::chrono::milliseconds comeBackSoon { 1'000 };
    constexpr std::chrono::milliseconds longestDeadline { 600'000 };

    bool fail(Failure& failure, ErrorKind kind, std::string reason, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0))
    {
        failure = { .kind = kind, .reason = std::move(reason), .retryAfter = retryAfter };
        return false;
    }

    // Takes the caller's own deadline, if it states one.
    bool takeDeadline(RequestContext& context, const net::HttpRequest& request, Failure& failure)
    {
        const std::string_view text = net::fieldValue(request.fields, "X-Whinyard-Deadline-Ms");
        if (text.empty())
            return true;
        std::int64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc {} || end != text.data() + text.size() || number < 1 || number > longestDeadline.count())
            return fail(failure, ErrorKind::malformedRequest, "X-Whinyard-Deadline-Ms: 1 to " + std::to_string(longestDeadline.count()) + " milliseconds are allowed");
        context.deadline = context.arrived + std::chrono::milliseconds(number);
        return true;
    }

    // Counts a request while it runs, and holds its place under its customer's limits.
    class ActiveRequest {
    public:
        explicit ActiveRequest(RouterCore& core)
            : m_core(core)
        {
            ++m_core.active;
        }

        ~ActiveRequest()
        {
            --m_core.active;
            if (m_holdsPlace)
                m_core.parts.limits.release(m_customer);
        }

        ActiveRequest(const ActiveRequest&) = delete;
        ActiveRequest& operator=(const ActiveRequest&) = delete;

        bool passLimits(const CustomerName& customer, SteadyTime now, Failure& failure)
        {
            const std::optional<policy::CustomerIndex> index = m_core.parts.limits.find(customer);
            if (!index)
                return fail(failure, ErrorKind::internalError, "the customer has no limits");
            const policy::LimitDecision decision = m_core.parts.limits.admit(*index, now);
            switch (decision.verdict) {
            case policy::LimitVerdict::admitted:
                m_customer = *index;
                m_holdsPlace = true;
                return true;
            case policy::LimitVerdict::rateExceeded:
                return fail(failure, ErrorKind::limitExceeded, "the customer's requests a second are spent", decision.retryAfter);
            case policy::LimitVerdict::concurrencyExceeded:
                return fail(failure, ErrorKind::limitExceeded, "the customer's concurrent requests are spent", decision.retryAfter);
            }
            return false;
        }

    private:
        RouterCore& m_core;
        policy::CustomerIndex m_customer {};
        bool m_holdsPlace = false;
    };

}

struct Router::State {
    State(const RouterParts& parts, const RouterSettings& settings, Random random)
        : core { .parts = parts, .settings = settings, .random = random, .retryBudget = policy::RetryBudget(settings.retries), .cascades = policy::CascadePlanner(settings.cascades), .redispatchBudget = policy::RetryBudget(settings.redispatches.budgetRatio, settings.redispatches.minimumPerSecond) }
        , authentication(core.random())
    {
    }

    // Checks what concerns every request; returns the customer, or null with the reason.
    const config::Customer* enter(RequestContext& context, ActiveRequest& active, const net::HttpRequest& request, Failure& failure)
    {
        if (core.draining) {
            fail(failure, ErrorKind::shuttingDown, "this instance takes no new work", comeBackSoon);
            return nullptr;
        }
        if (core.active > core.settings.concurrentRequests) {
            fail(failure, ErrorKind::overloaded, "this instance handles as many requests as it may", comeBackSoon);
            return nullptr;
        }
        if (!takeConfiguration(context, failure))
            return nullptr;
        const config::Customer* customer = authentication.authenticate(*context.configuration, request, failure);
        if (!customer || !takeDeadline(context, request, failure) || !active.passLimits(customer->name, context.now(), failure))
            return nullptr;
        context.customer = customer->name;
        context.priority = customer->priority;
        return customer;
    }

    bool takeConfiguration(RequestContext& context, Failure& failure)
    {
        if (!awaitServable(context, failure))
            return false;
        context.configuration = core.parts.configuration.newest();
        if (!context.configuration)
            return fail(failure, ErrorKind::configurationStale, "no configuration is known yet", comeBackSoon);
        if (core.usedRevision != context.configuration->revision)
            useConfiguration(*context.configuration);
        return true;
    }

    // Tells limits and judgement of a configuration that has come into force.
    void useConfiguration(const config::Configuration& configuration)
    {
        std::vector<policy::CustomerLimit> limits;
        for (const config::Customer& customer : configuration.document.customers)
            limits.push_back({ customer.name, customer.requestsPerSecond, customer.concurrentRequests });
        core.parts.limits.replaceCustomers(limits);
        core.parts.judge.useConfiguration(configuration.document);
        core.usedRevision = configuration.revision;
    }

    void route(RequestContext& context, const config::Customer& customer, const net::HttpRequest& request, net::HttpResponder& responder)
    {
        const std::string_view path = net::pathOf(request.target);
        if (path == "/v1/chat/completions" && request.method == "POST") {
            ChatPath(context, customer).handle(request, responder);
            return;
        }
        if (path == "/v1/models" && request.method == "GET") {
            answerModels(context, customer, responder);
            return;
        }
        if (path.starts_with("/v1/services/")) {
            ServicePath(context).handle(request, responder);
            return;
        }
        refuse(context, { .kind = ErrorKind::unknownRoute, .reason = "no such path or method: " + request.method + " " + std::string(path) }, responder);
    }

    RouterCore core;
    Authentication authentication;
};

Router::Router(const RouterParts& parts, const RouterSettings& settings, Random random)
    : m_state(std::make_unique<State>(parts, settings, random))
{
}

Router::~Router() = default;

void Router::handle(const net::HttpRequest& request, net::HttpResponder& responder)
{
    RouterCore& core = m_state->core;
    ActiveRequest active(core);
    RequestContext context(core, nextRequestId(core));
    context.caller = &responder;
    context.record(EventKind::requestArrived, { .amount = request.body.size(), .reason = request.method + " " + std::string(net::pathOf(request.target)) });
    core.parts.metrics.add("whinyard_requests_total");
    Failure failure;
    const config::Customer* customer = m_state->enter(context, active, request, failure);
    if (customer)
        m_state->route(context, *customer, request, responder);
    else
        refuse(context, failure, responder);
    core.parts.metrics.observe("whinyard_request_seconds", context.now() - context.arrived);
}

std::optional<peer::ForwardCallAnswer> Router::handleForwarded(const peer::ForwardCall& call, Failure& failure)
{
    RouterCore& core = m_state->core;
    const ActiveRequest active(core);
    RequestContext context(core, call.request);
    context.deadline = context.arrived + std::min(call.timeLeft, longestDeadline);
    context.customer = call.customer;
    if (core.draining) {
        fail(failure, ErrorKind::shuttingDown, "this instance takes no new work", comeBackSoon);
        return std::nullopt;
    }
    if (!m_state->takeConfiguration(context, failure))
        return std::nullopt;
    if (context.configuration->revision < call.configurationRevision) {
        fail(failure, ErrorKind::configurationStale, "this instance holds an older configuration than the forwarder", comeBackSoon);
        return std::nullopt;
    }
    return runForwarded(context, call, failure);
}

void Router::tick()
{
    const SteadyTime now = m_state->core.parts.clock.now();
    for (AttemptWatch* watch : m_state->core.watches)
        watch->look(now);
    m_state->core.capacity.tick(m_state->core.parts.directory, now);
}

void Router::drain()
{
    m_state->core.draining = true;
}

std::size_t Router::active() const
{
    return m_state->core.active;
}

}
