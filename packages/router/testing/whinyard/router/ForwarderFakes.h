// Hand-written fakes for tests of the forwarding path, and a bench that holds one forwarder among them.
//
// A test scripts what each call of an endpoint meets, sends a request, and reads what the caller saw and what was sent.
#pragma once

#include "whinyard/base/FakeClock.h"
#include "whinyard/endpoint/FakeHttpClient.h"
#include "whinyard/router/Forwarder.h"
#include "whinyard/router/RouterFakes.h"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::router {

// Spells every field as its name in the types says; the parts of a prompt are a letter each.
class FakeCodec final : public ForwardCodec {
public:
    std::optional<ForwardedRequest> decodeRequest(const net::HttpRequest& message, Failure& failure) const override
    {
        const auto field = [&](std::string_view name) { return std::string(net::fieldValue(message.fields, name)); };
        ForwardedRequest request;
        request.id = field("id");
        if (request.id.empty()) {
            failure = { .kind = ErrorKind::malformedRequest, .reason = "no id" };
            return std::nullopt;
        }
        request.host = field("host");
        request.path = net::pathOf(message.target);
        request.key = field("key");
        request.session = field("session");
        request.leavesModelOpen = field("model") == "any";
        if (!field("tokens").empty()) {
            request.promptTokens = static_cast<std::uint32_t>(std::stoul(field("tokens")));
            request.promptParts = { { stableHash("shared"), 0 }, { stableHash(request.id), request.promptTokens } };
        }
        for (const char letter : field("parts"))
            request.promptParts.push_back({ stableHash(std::string(1, letter)), 100 });
        if (!field("prompt").empty())
            request.promptTokens = static_cast<std::uint32_t>(std::stoul(field("prompt")));
        if (!field("limit").empty())
            request.answerTokens = static_cast<std::uint32_t>(std::stoul(field("limit")));
        if (!field("estimate").empty())
            request.expectedTokens = static_cast<std::uint32_t>(std::stoul(field("estimate")));
        if (!field("resume").empty())
            request.resumeAfter = std::stoull(field("resume"));
        if (!field("wait").empty())
            request.timeLeft = std::chrono::milliseconds(std::stoll(field("wait")));
        request.message = message;
        return request;
    }

    net::HttpRequest encodeAttempt(const ForwardedRequest& request, const AttemptHead& head) const override
    {
        net::HttpRequest message = request.message;
        message.fields = { { "id", request.id }, { "endpoint", head.endpoint.value }, { "customer", head.customer.value }, { "model", head.model.value }, { "timeLeft", std::to_string(head.timeLeft.count()) }, { "priority", std::to_string(head.priority) } };
        if (head.resumeAfter)
            message.fields.push_back({ "resume", std::to_string(*head.resumeAfter) });
        return message;
    }

    EndpointReply decodeReply(const net::HttpResponse& head) const override
    {
        const auto field = [&](std::string_view name) { return std::string(net::fieldValue(head.fields, name)); };
        EndpointReply reply;
        reply.requestId = field("id");
        reply.isSigned = !field("signed").empty();
        reply.notRun = !field("not-run").empty();
        reply.isEncoded = !field("encoded").empty();
        if (!field("confidence").empty())
            reply.confidence = static_cast<std::uint32_t>(std::stoul(field("confidence")));
        if (!field("rate").empty())
            reply.statement.requestsPerSecond = std::stod(field("rate"));
        reply.statement.isLeaving = !field("leaving").empty();
        if (!field("rest").empty())
            reply.statement.rest = std::chrono::milliseconds(std::stoll(field("rest")));
        return reply;
    }

    net::HttpResponse encodeFailure(const std::string& requestId, const Failure& failure) const override
    {
        return { .status = answerFor(failure.kind).httpStatus, .fields = { { "id", requestId }, { "retry-after", std::to_string(failure.retryAfter.count()) } }, .body = {} };
    }
};

class FakeRoutingSource final : public RoutingSource {
public:
    std::shared_ptr<const config::RoutingTable> table;
    std::shared_ptr<const std::set<ZoneName>> evacuated = std::make_shared<const std::set<ZoneName>>();
    bool stale = false;

    std::shared_ptr<const config::RoutingTable> newest() const override { return table; }
    std::shared_ptr<const std::set<ZoneName>> evacuatedZones() const override { return evacuated; }

    void evacuate(const std::set<ZoneName>& zones) { evacuated = std::make_shared<const std::set<ZoneName>>(zones); }

    bool mayServe(Failure& failure) const override
    {
        if (stale)
            failure = { .kind = ErrorKind::configurationStale, .reason = "cut off" };
        return !stale;
    }
};

class FakeOwnLoad final : public OwnLoad {
public:
    bool behind = false;

    bool isBehind() const override { return behind; }
};

// What a test may set of a bench.
struct ForwarderBenchParts {
    PlaceBroker* places = nullptr;
    policy::WaitSelectorSettings selector {};
    policy::ModelChoiceSettings choice { .cheapFirstBelow = 1 };
    ForwarderSettings forwarder { .repeatRatio = 1, .repeatsPerSecond = 10 };
    WorkObserver* work = nullptr;
    const OwnLoad* load = nullptr;
};

// One forwarder with two endpoints of one service.
class ForwarderBench {
public:
    explicit ForwarderBench(std::uint64_t seed = 1, const ForwarderBenchParts& parts = {})
        : directory({ "z" }, Random(seed), {}, parts.selector)
        , models(parts.choice)
        , forwarder({ clock, metrics, source, codec, directory, shifts, models, queries, client, listening, fibers, parts.work, nullptr, parts.places, parts.load }, parts.forwarder, Random(seed + 1))
    {
        routing.services = { { { "svc" }, 100, 0, 0, 1, { { { "small" }, 0.02 }, { { "large" }, 0.25 } } } };
        routing.customers = { { { "school" }, { "k1" }, std::nullopt } };
        routing.knowsCustomers = true;
        routing.version = 1;
        useRoute(config::RequestKind::idempotent);
        listEndpoints({ "e1", "e2" });
    }

    // Makes the only route one of this kind.
    config::Route& useRoute(config::RequestKind kind, bool resumable = false)
    {
        config::Route route;
        route.name = "r";
        route.host = "a.example";
        route.prefix = "/p/";
        route.kind = kind;
        route.resumable = resumable;
        route.timeout = std::chrono::seconds(2);
        route.maximumAttempts = 3;
        route.services = { { { "svc" }, 1 } };
        routing.routes = { route };
        publish();
        return routing.routes.front();
    }

    void publish() { source.table = std::make_shared<const config::RoutingTable>(routing); }

    void listEndpoints(const std::vector<std::string>& names)
    {
        std::vector<backing::ListedEndpoint> listed;
        for (const std::string& name : names)
            listed.push_back(endpointIn({ "" }, name));
        useList(listed);
    }

    static backing::ListedEndpoint endpointIn(const ZoneName& zone, const std::string& name)
    {
        backing::ListedEndpoint endpoint;
        endpoint.name.value = name;
        endpoint.zone = zone;
        endpoint.service = { "svc" };
        endpoint.versions = { targetName({ "svc" }, "v1") };
        endpoint.address = { "10.0.0.1", 80 };
        return endpoint;
    }

    void useList(const std::vector<backing::ListedEndpoint>& listed)
    {
        directory.replace(listed, clock.now());
        forwarder.useVersions({ "svc" }, { "v1" });
    }

    // Scripts the next call: a head with these marks, then the pieces of the body.
    endpoint::FakeExchange& script(int status, std::vector<net::HttpField> fields, std::vector<std::string> pieces, bool lost = false)
    {
        endpoint::FakeExchange exchange;
        exchange.head = { .status = status, .fields = std::move(fields), .body = {} };
        exchange.pieces = std::move(pieces);
        exchange.connectionLost = lost;
        client.exchanges.push_back(std::move(exchange));
        return client.exchanges.back();
    }

    // An answer of the endpoint itself to request "q".
    endpoint::FakeExchange& answer(int status, std::vector<std::string> pieces, bool lost = false)
    {
        return script(status, { { "id", "q" }, { "signed", "s" } }, std::move(pieces), lost);
    }

    // A connection that is lost without an answer, after so many bytes were written.
    void lose(std::size_t bytesWritten)
    {
        script(0, {}, {}, true).bytesWritten = bytesWritten;
    }

    FakeResponder send(std::vector<net::HttpField> more = {})
    {
        FakeResponder responder;
        send(responder, std::move(more));
        return responder;
    }

    void send(FakeResponder& responder, std::vector<net::HttpField> more = {})
    {
        net::HttpRequest request { .method = "POST", .target = "/p/x", .fields = { { "id", "q" }, { "host", "a.example" }, { "key", "k1" } }, .body = "body" };
        for (net::HttpField& field : more)
            request.fields.push_back(std::move(field));
        forwarder.handle(request, responder);
    }

    std::string sent(std::size_t attempt, std::string_view field) const { return std::string(net::fieldValue(client.requests.at(attempt).fields, field)); }

    FakeClock clock;
    Metrics metrics;
    config::Routing routing;
    FakeRoutingSource source;
    FakeCodec codec;
    endpoint::EndpointDirectory directory;
    policy::VersionShifts shifts;
    policy::ModelChoice models;
    policy::QueryOfDeathTable queries;
    endpoint::FakeHttpClient client;
    FakeListenProbe listening;
    FakeFibers fibers { clock };
    Forwarder forwarder;
};

}
