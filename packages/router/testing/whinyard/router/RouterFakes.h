// Hand-written fakes of what the router works with, and a bench that holds one router among them.
//
// Tests of the path set what engines, services and the ledger meet, send a request, and read what the
// caller saw, what was dispatched, what was billed, and the time line.
#pragma once

#include "whinyard/backing/FakeRatingService.h"
#include "whinyard/base/FakeClock.h"
#include "whinyard/endpoint/FakeEngineClient.h"
#include "whinyard/endpoint/FakeServiceClient.h"
#include "whinyard/peer/FakePeers.h"
#include "whinyard/router/Router.h"

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>

namespace whinyard::router {

class FakeConfigurationSource final : public ConfigurationSource {
public:
    config::Configuration configuration;
    bool stale = false;

    std::shared_ptr<const config::Configuration> newest() const override { return std::make_shared<const config::Configuration>(configuration); }

    bool mayServe(Failure& failure) const override
    {
        if (stale)
            failure = { .kind = ErrorKind::configurationStale, .reason = "cut off", .retryAfter = std::chrono::seconds(1) };
        return !stale;
    }
};

// Answers as a test says whether a process listens.
class FakeListenProbe final : public net::ListenProbe {
public:
    net::Listening answer = net::Listening::yes;
    net::Listening answerByRelay = net::Listening::unknown;
    int asked = 0;
    int askedByRelay = 0;

    net::Listening ask(const net::Address&, std::chrono::milliseconds) override
    {
        ++asked;
        return answer;
    }

    net::Listening askByWayOf(const net::Address&, const std::vector<net::HttpField>&, const net::Address&, std::chrono::milliseconds) override
    {
        ++askedByRelay;
        return answerByRelay;
    }
};

// Waiting moves the clock; background work waits until a test runs it.
class FakeFibers final : public Fibers {
public:
    explicit FakeFibers(FakeClock& clock)
        : m_clock(clock)
    {
    }

    void wait(std::chrono::nanoseconds duration) override
    {
        m_clock.advance(duration);
        if (onPause)
            onPause();
    }

    // What happens at the end of each wait of a fiber.
    std::function<void()> onPause;

    void start(std::function<void()> task) override { m_tasks.push_back(std::move(task)); }

    // A wait calls `onWait`, which may notify; without that its time runs out.
    std::function<void()> onWait;

    std::unique_ptr<Wakeup> makeWakeup() override { return std::make_unique<FakeWakeup>(*this); }

    void runStarted()
    {
        while (!m_tasks.empty()) {
            const auto task = std::move(m_tasks.front());
            m_tasks.pop_front();
            task();
        }
    }

private:
    class FakeWakeup final : public Wakeup {
    public:
        explicit FakeWakeup(FakeFibers& fibers)
            : m_fibers(fibers)
        {
        }

        bool wait(std::chrono::nanoseconds timeout) override
        {
            if (m_fibers.onWait)
                m_fibers.onWait();
            if (!m_notified)
                m_fibers.m_clock.advance(timeout);
            return m_notified;
        }

        void notify() override { m_notified = true; }

    private:
        FakeFibers& m_fibers;
        bool m_notified = false;
    };

    FakeClock& m_clock;
    std::deque<std::function<void()>> m_tasks;
};

// Answers admissions as a test says and keeps what it is told.
class FakeIntentLedger final : public ledger::IntentLedger {
public:
    std::optional<Failure> refusal;
    std::optional<Failure> finishFailure; // The outcome isn't durable in time.
    ledger::AdmissionAnswer next { .admission = ledger::Admission::granted, .ticket = { 3, 1 }, .answer = {}, .firstRequest = { 1, 1 }, .revision = 7 };
    std::vector<ledger::CallIdentity> admitted;
    std::vector<ledger::StoredAnswer> finished;
    std::vector<ledger::UsageLine> lines;
    std::size_t released = 0;
    std::size_t leftUnknown = 0;

    std::optional<ledger::AdmissionAnswer> admit(const ledger::CallIdentity& call, const RequestId&, Failure& failure) override
    {
        admitted.push_back(call);
        if (!refusal)
            return next;
        failure = *refusal;
        return std::nullopt;
    }

    bool finish(const ledger::IntentTicket&, const ledger::StoredAnswer& answer, const ledger::UsageLine& usage, Failure& failure) override
    {
        finished.push_back(answer);
        lines.push_back(usage);
        if (finishFailure)
            failure = *finishFailure;
        return !finishFailure;
    }

    bool release(const ledger::IntentTicket&, Failure&) override
    {
        ++released;
        return true;
    }

    bool leaveUnknown(const ledger::IntentTicket&, Failure&) override
    {
        ++leftUnknown;
        return true;
    }
};

class FakeUsageLedger final : public ledger::UsageLedger {
public:
    std::vector<ledger::UsageLine> lines;
    std::function<void()> before; // Runs when a line comes.
    bool down = false;

    std::optional<std::string> record(const ledger::UsageLine& line, Failure& failure) override
    {
        if (before)
            before();
        lines.push_back(line);
        if (!down)
            return "mirrored to a, b";
        failure = { .kind = ErrorKind::storeUnavailable, .reason = "neither peers nor the store" };
        return std::nullopt;
    }
};

// A caller that keeps what it gets, and may go away after some pieces.
class FakeResponder final : public net::HttpResponder {
public:
    net::HttpResponse response { .status = 0, .fields = {}, .body = {} };
    bool ended = false;
    std::size_t goneAfterPieces = std::size_t(-1);

    bool send(const net::HttpResponse& sent) override
    {
        if (peerGone())
            return false;
        response = sent;
        ended = true;
        return true;
    }

    bool begin(const net::HttpResponse& head) override
    {
        if (response.status != 0) {
            response.body += "A SECOND HEAD";
            return !peerGone();
        }
        response = head;
        return !peerGone();
    }

    bool write(std::string_view piece) override
    {
        if (peerGone())
            return false;
        ++m_pieces;
        response.body += piece;
        return true;
    }

    // Runs while the end of the answer is handed over, as if that took time.
    std::function<void()> onEnd;

    bool end() override
    {
        if (onEnd)
            onEnd();
        ended = true;
        return !peerGone();
    }

    void abort() override { }
    bool peerGone() const override { return m_pieces >= goneAfterPieces; }
    void whenPeerGone(std::function<void()> observer) override { m_observer = std::move(observer); }

    // Closes the caller's connection before the answer's end.
    void leave()
    {
        goneAfterPieces = 0;
        if (m_observer)
            m_observer();
    }

    std::string field(std::string_view name) const { return std::string(net::fieldValue(response.fields, name)); }

    // The answer's error object; empty if there is none.
    nlohmann::json error() const
    {
        const std::size_t begin = response.body.find("{\"error\"");
        const nlohmann::json body = nlohmann::json::parse(begin == std::string::npos ? "{}" : response.body.substr(begin), nullptr, false);
        return body.is_object() ? body.value("error", nlohmann::json::object()) : nlohmann::json::object();
    }

private:
    std::function<void()> m_observer;
    std::size_t m_pieces = 0;
};

// One router among fakes: two versions, a cascade, a service of each kind, two endpoints each.
class RouterBench {
public:
    static constexpr const char* key = "a-key-for-tests";

    RouterBench()
    {
        configuration.configuration = { .revision = 5, .submission = {}, .author = {}, .document = document() };
        directory.replace(endpoints(), clock.now());
    }

    static config::Document document()
    {
        config::Document document;
        document.versions = { { { "cheap-1" }, { "cheap" }, config::VersionState::active, 1 }, { { "strong-1" }, { "strong" }, config::VersionState::active, 10 } };
        document.services = { { { "match" }, false, 2 }, { { "stock" }, true, 1 } };
        document.cascades = { { { "smart" }, { { "cheap-1" }, { "strong-1" } }, 0.8 } };
        config::Customer customer;
        customer.name = { "faculty" };
        customer.keySalt = "00ff";
        customer.keyDigest = config::keyDigest(customer.keySalt, key);
        customer.versions = { { "cheap-1" }, { "strong-1" } };
        customer.services = { { "match" }, { "stock" } };
        customer.cascades = { { "smart" } };
        document.customers = { customer };
        return document;
    }

    static std::vector<backing::ListedEndpoint> endpoints()
    {
        std::vector<backing::ListedEndpoint> listed;
        for (const char* name : { "engine-1", "engine-2" })
            listed.push_back({ .name = { name }, .kind = backing::ListedKind::engine, .address = { "127.0.0.1", 1 }, .zone = { "a" }, .versions = { { "cheap-1" }, { "strong-1" } }, .service = {}, .leaving = false });
        for (const char* service : { "match", "stock" }) {
            for (const char* suffix : { "-1", "-2" })
                listed.push_back({ .name = { std::string(service) + suffix }, .kind = backing::ListedKind::service, .address = { "127.0.0.1", 2 }, .zone = { "a" }, .versions = {}, .service = { service }, .leaving = false });
        }
        return listed;
    }

    FakeResponder send(net::HttpRequest request, std::size_t goneAfterPieces = std::size_t(-1))
    {
        request.fields.push_back({ "Authorization", std::string("Bearer ") + key });
        FakeResponder responder;
        responder.goneAfterPieces = goneAfterPieces;
        caller = &responder;
        router.handle(request, responder);
        return responder;
    }

    FakeResponder chat(const std::string& model, bool stream, std::size_t goneAfterPieces = std::size_t(-1))
    {
        const nlohmann::json body { { "model", model }, { "stream", stream }, { "messages", { { { "role", "user" }, { "content", "hello" } } } } };
        return send({ "POST", "/v1/chat/completions", {}, body.dump() }, goneAfterPieces);
    }

    FakeResponder callService(const std::string& service, const std::string& idempotencyKey)
    {
        std::vector<net::HttpField> fields;
        if (!idempotencyKey.empty())
            fields.push_back({ "Idempotency-Key", idempotencyKey });
        return send({ "POST", "/v1/services/" + service + "/confirm?x=1", fields, "{}" });
    }

    // Has every engine report so many waiting requests for its one slot.
    void reportQueued(std::uint32_t queued)
    {
        endpoint::LoadReport report;
        report.queued = queued;
        report.running = queued > 0 ? 1 : 0;
        report.asOf = std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallNow().time_since_epoch());
        for (const char* engine : { "engine-1", "engine-2" })
            directory.recordReport({ engine }, report, clock.now(), clock.wallNow());
    }

    // Takes a version out of use, as an operator would.
    void withdraw(const std::string& version)
    {
        ++configuration.configuration.revision;
        for (config::Version& candidate : configuration.configuration.document.versions) {
            if (candidate.name.value == version)
                candidate.state = config::VersionState::withdrawn;
        }
    }

    // Lets another instance be the owner of every partition.
    void nameOwner(const std::string& name)
    {
        peer::MembershipView view = *peers.view();
        view.self.state = peer::MemberState::leaving;
        view.members = { view.self, peer::Member { { name }, { 1 }, { "b" }, {}, peer::MemberState::alive, 0 } };
        peers.setView(view);
    }

    std::size_t count(EventKind kind) const
    {
        const std::vector<Event> all = events.all();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [kind](const Event& event) { return event.kind == kind; }));
    }

    FakeResponder* caller = nullptr; // Of the request that is being handled.
    FakeClock clock;
    HybridClock hybridClock { clock };
    EventRing events { 10'000 };
    Metrics metrics;
    FakeConfigurationSource configuration;
    endpoint::EndpointDirectory directory { { "a" }, Random(1) };
    endpoint::FakeEngineClient engines;
    endpoint::FakeServiceClient services;
    FakeIntentLedger intents;
    FakeUsageLedger usage;
    backing::FakeRatingService ratings;
    policy::SessionPins sessionPins { { { 1, "0123456789abcdef" } } };
    policy::RolloutJudge judge { { "entry-1" }, { 1 } };
    policy::CustomerLimits limits { { "entry-1" }, { 1 } };
    policy::QueryOfDeathTable queries;
    FakeListenProbe listening;
    FakeFibers fibers { clock };
    peer::FakePeers peers { alone() };
    Router router { { clock, hybridClock, events, metrics, configuration, directory, engines, services, intents, usage, ratings, sessionPins, judge, limits, queries, listening, fibers, &peers }, settings(), Random(7) };

private:
    static peer::MembershipView alone()
    {
        peer::MembershipView view;
        view.self.name = { "entry-1" };
        view.members = { view.self };
        return view;
    }

    static RouterSettings settings()
    {
        RouterSettings settings;
        settings.instance = { "entry-1" };
        settings.incarnation = { 1 };
        settings.ratedShare = 0;
        return settings;
    }
};

}
