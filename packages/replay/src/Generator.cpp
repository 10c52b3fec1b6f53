#include "whinyard/replay/Generator.h"

#include "whinyard/base/Random.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace whinyard::replay {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr double usualQuality = 0.95;
    constexpr double qualitySlope = 3; // Quality lost per unit of difficulty beyond a version's capability.
    constexpr double qualityNoise = 0.03;
    constexpr double difficultyNoise = 0.04; // Between the requests of a session.
    constexpr double smallCapability = 0.55;
    constexpr double largeCapability = 0.94;
    constexpr double thousand = 1'000;

    // What one application's sessions are like.
    struct ApplicationModel {
        std::string name;
        milliseconds firstTokenWithin;
        double weight; // Of its sessions among all.
        double easyShare; // Of sessions that the small version can serve.
        std::uint32_t promptTokens;
        std::uint32_t completionTokens;
        double requestsPerSession;
    };

    struct CustomerModel {
        std::string name;
        double weight;
        double requestsPerSecond; // Its limit.
    };

    struct EngineModel {
        std::uint32_t slots;
        std::chrono::microseconds step;
    };

    // One deployment and its day.
    struct WorkloadModel {
        std::vector<std::string> zones;
        std::uint32_t instances;
        std::vector<ApplicationModel> applications;
        std::vector<CustomerModel> customers;
        std::uint32_t smallEngines;
        std::uint32_t largeEngines;
        EngineModel smallEngine;
        EngineModel largeEngine;
        seconds length;
        double peakSessionsPerSecond;
        std::function<double(double)> demand; // Of the peak, by the second.
        milliseconds thinkTime;
    };

    double exponential(Random& random, double mean) { return -mean * std::log1p(-uniform(random)); }

    double between(Random& random, double low, double high) { return low + (high - low) * uniform(random); }

    float rounded(double value) { return static_cast<float>(std::round(std::clamp(value, 0.0, 1.0) * thousand) / thousand); }

    template <typename Item>
    std::uint32_t drawWeighted(Random& random, const std::vector<Item>& items)
    {
        double total = 0;
        for (const Item& item : items)
            total += item.weight;
        double rest = uniform(random) * total;
        for (std::uint32_t i = 0; i + 1 < items.size(); ++i) {
            rest -= items[i].weight;
            if (rest < 0)
                return i;
        }
        return static_cast<std::uint32_t>(items.size() - 1);
    }

    float qualityOf(const config::Version& version, double difficulty, Random& random)
    {
        const double capability = version.model.value == "small" ? smallCapability : largeCapability;
        const double lost = std::max(0.0, difficulty - capability) * qualitySlope;
        return rounded(usualQuality - lost + between(random, -qualityNoise, qualityNoise));
    }

    config::Document makeDocument(const std::vector<CustomerModel>& customers)
    {
        config::Document document;
        document.versions = {
            { { "small-1" }, { "small" }, config::VersionState::active, 1 },
            { { "large-1" }, { "large" }, config::VersionState::active, 10 },
            { { "large-2" }, { "large" }, config::VersionState::active, 9 },
        };
        document.cascades = { { { "assist" }, { { "small-1" }, { "large-1" } }, 0.8 } };
        for (const CustomerModel& customer : customers) {
            document.customers.push_back({ { customer.name }, std::string(16, '0'), std::string(64, '0'), { { "small-1" }, { "large-1" }, { "large-2" } }, {}, customer.requestsPerSecond });
            document.customers.back().cascades = { { "assist" } };
        }
        return document;
    }

    void addEngines(Trace& trace, const std::string& model, std::uint32_t count, const EngineModel& engine, std::vector<VersionName> versions)
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            TraceEngine one;
            one.name = { model + "-" + std::to_string(i) };
            one.zone = trace.zones[trace.engines.size() % trace.zones.size()];
            one.versions = versions;
            one.slots = engine.slots;
            one.step = engine.step;
            trace.engines.push_back(std::move(one));
        }
    }

    // Adds the requests of one session that begins at `start`.
    class SessionWriter {
    public:
        SessionWriter(Trace& trace, const WorkloadModel& model, Random& random)
            : m_trace(trace)
            , m_model(model)
            , m_random(random)
        {
        }

        void add(double startSeconds, std::uint32_t customer, double requestsFactor = 1)
        {
            const std::uint32_t application = drawWeighted(m_random, m_model.applications);
            const ApplicationModel& kind = m_model.applications[application];
            const double difficulty = uniform(m_random) < kind.easyShare ? between(m_random, 0, 0.5) : between(m_random, 0.6, 1);
            const auto requests = 1 + static_cast<std::uint32_t>(exponential(m_random, (kind.requestsPerSession - 1) * requestsFactor) + 0.5);
            const std::uint32_t session = m_sessions++;
            double at = startSeconds;
            std::uint32_t history = 0;
            for (std::uint32_t i = 0; i < requests && at < static_cast<double>(m_model.length.count()); ++i) {
                const TraceRequest request = makeRequest(at, customer, session, application, history, difficulty);
                history = request.promptTokens + request.completionTokens;
                at += 4 + exponential(m_random, std::chrono::duration<double>(m_model.thinkTime).count());
                m_trace.requests.push_back(request);
            }
        }

    private:
        TraceRequest makeRequest(double at, std::uint32_t customer, std::uint32_t session, std::uint32_t application, std::uint32_t history, double difficulty)
        {
            const ApplicationModel& kind = m_model.applications[application];
            TraceRequest request;
            request.at = milliseconds(static_cast<std::int64_t>(at * thousand));
            request.customer = customer;
            request.session = session;
            request.application = application;
            request.prefixTokens = history;
            const double fresh = history == 0 ? kind.promptTokens : kind.promptTokens / 5.0;
            request.promptTokens = history + static_cast<std::uint32_t>(fresh * between(m_random, 0.5, 1.5));
            request.completionTokens = 5 + static_cast<std::uint32_t>(kind.completionTokens * between(m_random, 0.4, 1.6));
            const double own = difficulty + between(m_random, -difficultyNoise, difficultyNoise);
            for (const config::Version& version : m_trace.document.versions)
                request.quality.push_back(qualityOf(version, own, m_random));
            request.luck = rounded(uniform(m_random));
            return request;
        }

        Trace& m_trace;
        const WorkloadModel& m_model;
        Random& m_random;
        std::uint32_t m_sessions = 0;
    };

    Trace makeDeployment(const WorkloadModel& model)
    {
        Trace trace;
        for (const std::string& zone : model.zones)
            trace.zones.push_back({ zone });
        trace.instances = model.instances;
        for (const ApplicationModel& application : model.applications) {
            trace.applications.push_back(application.name);
            trace.firstTokenWithin.push_back(application.firstTokenWithin);
        }
        trace.cascade = { "assist" };
        trace.document = makeDocument(model.customers);
        addEngines(trace, "small", model.smallEngines, model.smallEngine, { { "small-1" } });
        addEngines(trace, "large", model.largeEngines, model.largeEngine, { { "large-1" }, { "large-2" } });
        return trace;
    }

    // Sessions begin as a Poisson process whose rate follows the demand, by thinning.
    void addSessions(SessionWriter& writer, const WorkloadModel& model, Random& random)
    {
        double at = 0;
        while (true) {
            at += exponential(random, 1 / model.peakSessionsPerSecond);
            if (at >= static_cast<double>(model.length.count()))
                return;
            const bool kept = uniform(random) < model.demand(at);
            const std::uint32_t customer = drawWeighted(random, model.customers);
            if (kept)
                writer.add(at, customer);
        }
    }

    void sortRequests(Trace& trace)
    {
        std::stable_sort(trace.requests.begin(), trace.requests.end(), [](const TraceRequest& a, const TraceRequest& b) { return a.at < b.at; });
    }

    WorkloadModel praxeoModel()
    {
        WorkloadModel model;
        model.zones = { "brno-hall-a", "brno-hall-b", "olomouc-hall", "zlin-hall" };
        model.instances = 7;
        model.applications = {
            { "observation-report", milliseconds(20'000), 0.4, 0.65, 900, 110, 3 },
            { "mentor-matching", milliseconds(10'000), 0.25, 0.8, 500, 60, 2 },
            { "placement-terms", milliseconds(8'000), 0.35, 0.9, 300, 50, 3 },
        };
        model.customers = { { "faculty-regional", 8, 50 } };
        for (int i = 1; i < 10; ++i)
            model.customers.push_back({ "faculty-" + std::to_string(i), i < 4 ? 2.0 : 1.0, 20 });
        model.smallEngines = 10;
        model.largeEngines = 10;
        model.smallEngine = { 8, std::chrono::microseconds(10'000) };
        model.largeEngine = { 8, std::chrono::microseconds(25'000) };
        model.length = seconds(240);
        model.peakSessionsPerSecond = 4.5;
        model.demand = [](double at) { return at < 30 ? 0.5 + at / 60 : 1.0; };
        model.thinkTime = milliseconds(8'000);
        return model;
    }

    WorkloadModel tatraModel()
    {
        WorkloadModel model;
        model.zones = { "zilina-a", "zilina-b", "bystrica-a", "bystrica-b" };
        model.instances = 7;
        model.applications = {
            { "reservation-help", milliseconds(700), 0.5, 0.97, 300, 40, 2 },
            { "tool-safety", milliseconds(800), 0.3, 0.9, 400, 60, 3 },
            { "condition-report", milliseconds(900), 0.2, 0.4, 600, 60, 2 },
        };
        model.customers = { { "cooperative-regional", 4, 12 } };
        for (int i = 1; i < 10; ++i)
            model.customers.push_back({ "workshop-" + std::to_string(i), 1, 10 });
        model.smallEngines = 6;
        model.largeEngines = 6;
        model.smallEngine = { 3, std::chrono::microseconds(14'000) };
        model.largeEngine = { 4, std::chrono::microseconds(25'000) };
        model.length = seconds(120);
        model.peakSessionsPerSecond = 11;
        model.demand = [](double at) { return at < 30 ? 0.45 : at < 95 ? 1.0
                                                                       : 0.45; };
        model.thinkTime = milliseconds(5'000);
        return model;
    }

    Trace makeOpeningDay(Random& random)
    {
        const WorkloadModel model = praxeoModel();
        Trace trace = makeDeployment(model);
        trace.document.rollouts = { { { "large" }, { "large-1" }, { "large-2" }, 0.1 } };
        trace.failures = { { milliseconds(90'000), FailureKind::versionTurnsBad, "large-2", 0.6 } };
        SessionWriter writer(trace, model, random);
        addSessions(writer, model, random);
        return trace;
    }

    Trace makeMorningRush(Random& random)
    {
        const WorkloadModel model = tatraModel();
        Trace trace = makeDeployment(model);
        trace.failures = { { milliseconds(60'000), FailureKind::zoneLost, "zilina-b", 0 } };
        SessionWriter writer(trace, model, random);
        addSessions(writer, model, random);
        const double burstRate = 3 * model.customers.front().requestsPerSecond;
        for (double at = 50 + exponential(random, 1 / burstRate); at < 75; at += exponential(random, 1 / burstRate))
            writer.add(at, 0, 0);
        return trace;
    }

    Trace makeInterruptedRollout(Random& random)
    {
        WorkloadModel model = praxeoModel();
        model.length = seconds(180);
        Trace trace = makeDeployment(model);
        trace.document.rollouts = { { { "large" }, { "large-1" }, { "large-2" }, 0.3 } };
        trace.failures = {
            { milliseconds(0), FailureKind::versionTurnsBad, "large-2", 0.4 },
            { milliseconds(10'000), FailureKind::storeDown, "", 0 },
            { milliseconds(20'000), FailureKind::ratingsDown, "", 0 },
            { milliseconds(60'000), FailureKind::ratingsUp, "", 0 },
            { milliseconds(150'000), FailureKind::storeUp, "", 0 },
        };
        SessionWriter writer(trace, model, random);
        addSessions(writer, model, random);
        return trace;
    }

    struct NamedMaker {
        std::string_view name;
        Trace (*make)(Random&);
    };

    constexpr NamedMaker makers[] = {
        { "praxeo-opening-day", makeOpeningDay },
        { "tatra-morning-rush", makeMorningRush },
        { "interrupted-rollout", makeInterruptedRollout },
    };

}

std::vector<std::string> traceNames()
{
    std::vector<std::string> names;
    for (const NamedMaker& maker : makers)
        names.emplace_back(maker.name);
    return names;
}

std::optional<Trace> generateTrace(std::string_view name, std::uint64_t seed, Failure& failure)
{
    for (const NamedMaker& maker : makers) {
        if (maker.name != name)
            continue;
        Random random(stableHash(name, seed));
        Trace trace = maker.make(random);
        trace.name = name;
        trace.seed = seed;
        sortRequests(trace);
        return trace;
    }
    failure = { ErrorKind::notFound, "No trace is named \"" + std::string(name) + "\"." };
    return std::nullopt;
}

}
