// Calls between instances, from and to this one.
#include "internal/ServiceState.h"

#include <algorithm>
#include <utility>

namespace whinyard::peer {

namespace {

    constexpr std::chrono::milliseconds longestConnect { 500 };
    constexpr std::chrono::milliseconds confirmCallTimeout { 1'000 };
    constexpr std::chrono::milliseconds confirmPause { 50 };
    constexpr std::size_t confirmsAtOnce = 32;
    constexpr std::size_t gossipPageBytes = 512 * 1024;

    Refused refusalFor(const Failure& failure)
    {
        return { failure.kind, failure.reason, failure.retryAfter, failure.runState };
    }

    // Turns what a handler returned into the answer.
    template <typename Answer>
    Response responseFrom(std::optional<Answer> answer, const Failure& failure)
    {
        if (answer)
            return std::move(*answer);
        return refusalFor(failure);
    }

}

std::optional<Response> PeerService::State::call(const InstanceName& instance, const Request& request, std::chrono::milliseconds timeout, Failure& failure)
{
    failure = { ErrorKind::peerUnreachable, instance.value + " isn't a member", std::chrono::milliseconds(0), RunState::notRun };
    net::Address target;
    {
        const std::lock_guard lock(mutex);
        const Member* member = findMember(*view, instance);
        if (isClosed || !member || instance == options.self.instance)
            return std::nullopt;
        target = member->address;
    }
    const std::optional<SealedRequest> sealed = codec.seal(instance, request);
    if (!sealed) {
        failure = { ErrorKind::bodyTooLarge, "the call to " + instance.value + " is over its limit", std::chrono::milliseconds(0), RunState::notRun };
        return std::nullopt;
    }
    net::FrameCallOptions callOptions;
    callOptions.connectTimeout = std::min(timeout, longestConnect);
    callOptions.timeout = timeout;
    callOptions.frameBytes = largestFrame;
    net::FrameCallProgress progress;
    const std::optional<std::string> answer = client->call(target, sealed->bytes, callOptions, progress, failure);
    parts.metrics.add("whinyard_peer_calls_total");
    parts.metrics.add("whinyard_peer_call_bytes_sent_total", progress.bytesWritten);
    failure.runState = progress.bytesWritten == 0 ? RunState::notRun : RunState::unknown;
    if (!answer)
        return std::nullopt;
    std::optional<OpenedResponse> opened = codec.openAnswer(*answer, instance, sealed->call);
    if (opened)
        return std::move(opened->response);
    failure = { ErrorKind::corruptRecord, "the answer of " + instance.value + " can't be trusted", std::chrono::milliseconds(0), RunState::unknown };
    return std::nullopt;
}

std::optional<std::string> PeerService::State::answerFrame(std::string_view bytes)
{
    const std::optional<OpenedRequest> opened = codec.openRequest(bytes);
    if (!opened)
        return std::nullopt;
    const Response response = handle(*opened);
    std::optional<std::string> answer = codec.sealAnswer(opened->sender.instance, opened->call, response);
    if (answer)
        return answer;
    const Refused tooLarge { ErrorKind::bodyTooLarge, "the answer is over its limit", std::chrono::milliseconds(0), RunState::unknown };
    return codec.sealAnswer(opened->sender.instance, opened->call, tooLarge);
}

Response PeerService::State::handle(const OpenedRequest& opened)
{
    Failure failure;
    const Sender& sender = opened.sender;
    if (const auto* fetch = std::get_if<FetchConfiguration>(&opened.request)) {
        const std::lock_guard lock(mutex);
        return spread.answer(*fetch, options.self.incarnation, parts.clock.now());
    }
    if (const auto* sync = std::get_if<GossipSync>(&opened.request)) {
        const std::lock_guard lock(mutex);
        return membership->gossip().newerThan(sync->held, gossipPageBytes);
    }
    if (std::holds_alternative<MemberSync>(opened.request)) {
        const std::lock_guard lock(mutex);
        return MemberSyncAnswer { membership->updates() };
    }
    if (const auto* mirror = std::get_if<MirrorUsage>(&opened.request))
        return responseFrom(parts.handler.mirrorUsage(sender, *mirror, failure), failure);
    if (const auto* release = std::get_if<ReleaseMirror>(&opened.request))
        return responseFrom(parts.handler.releaseMirror(sender, *release, failure), failure);
    if (const auto* forwarded = std::get_if<ForwardCall>(&opened.request))
        return responseFrom(parts.handler.forwardCall(sender, *forwarded, failure), failure);
    if (const auto* flush = std::get_if<FlushUsage>(&opened.request))
        return responseFrom(parts.handler.flushUsage(sender, *flush, failure), failure);
    if (const auto* events = std::get_if<MirrorEvents>(&opened.request))
        return responseFrom(parts.handler.mirrorEvents(sender, *events, failure), failure);
    if (const auto* query = std::get_if<TraceQuery>(&opened.request))
        return responseFrom(parts.handler.traceQuery(sender, *query, failure), failure);
    return refusalFor({ ErrorKind::malformedRequest, "no such call" });
}

// Asks instances side by side and waits until all have answered or failed.
void PeerService::State::askAllFor(AcceptanceTracker& tracker, std::uint64_t revision, const std::vector<InstanceName>& instances, std::chrono::milliseconds timeout)
{
    std::size_t next = 0;
    std::size_t working = std::min(confirmsAtOnce, instances.size());
    net::Signal finished;
    const auto work = [&, self = shared_from_this()] {
        while (next < instances.size()) {
            const InstanceName& instance = instances[next++];
            const SteadyTime askedAt = parts.clock.now();
            Failure failure;
            const auto response = call(instance, FetchConfiguration { revision }, timeout, failure);
            if (const auto* answer = response ? std::get_if<FetchConfigurationAnswer>(&*response) : nullptr)
                tracker.take({ instance, answer->incarnation }, answer->revision, askedAt, parts.clock.now());
        }
        if (--working == 0)
            finished.notify();
    };
    for (std::size_t worker = 0; worker < std::min(confirmsAtOnce, instances.size()); ++worker)
        duty.spawn(work);
    while (working > 0)
        finished.wait(timeout);
}

Acceptance PeerService::State::confirm(std::uint64_t revision, std::chrono::milliseconds timeout)
{
    const SteadyTime deadline = parts.clock.now() + timeout;
    std::vector<InstanceName> instances;
    {
        const std::lock_guard lock(mutex);
        instances = spread.electorate();
    }
    AcceptanceTracker tracker(revision, instances);
    std::erase(instances, options.self.instance);
    for (;;) {
        askAllFor(tracker, revision, instances, confirmCallTimeout);
        const SteadyTime now = parts.clock.now();
        {
            const std::lock_guard lock(mutex);
            tracker.take(options.self, spread.held(), now, now);
        }
        const Acceptance acceptance = tracker.status();
        if (acceptance.accepted || isClosed || now >= deadline)
            return acceptance;
        net::sleepFor(confirmPause);
    }
}

}
