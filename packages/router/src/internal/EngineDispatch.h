// Sends attempts of a chat completion to engines: the gate and the choice of an endpoint before each
// one, the account of each, and retries where they are allowed.
#pragma once

#include "internal/EndpointUse.h"
#include "internal/RequestContext.h"
#include "whinyard/router/ChatRequest.h"

namespace whinyard::router {

// What is to be answered, on which version.
struct EngineWork {
    const ChatRequest& request;
    VersionName version;
    std::uint64_t affinity; // Digest of the session.
    const std::vector<std::uint64_t>& prefix; // Digests of the prompt's beginning.
};

// An attempt that was prepared: permitted, with its endpoint.
struct Attempt {
    endpoint::EngineCall call;
    EndpointName endpoint;
    std::uint64_t incarnation = 0; // Of its process; 0 if it doesn't say.
    SteadyTime sentAt;
    std::chrono::microseconds unqueuedWait { 0 }; // To the first byte, if a slot is free.
    endpoint::EndpointWish elsewhere; // What another endpoint would be chosen by.
};

// Passes the gate with the newest configuration, as every dispatch must. Records its verdict.
bool passGate(RequestContext& context, const VersionName& version, Failure& failure);

// Returns whether this instance may act on its configuration now. Waits a moment while a newer one is
// being fetched, as the source's short time to come back says.
bool awaitServable(RequestContext& context, Failure& failure);

// Returns what a failed attempt says about its endpoint.
endpoint::EndpointOutcome outcomeOf(const endpoint::AttemptAccount& account, const Failure& failure);

class EngineDispatch {
public:
    EngineDispatch(RequestContext& context, const EngineWork& work);

    // Makes attempts until one is answered whole.
    std::optional<endpoint::EngineAnswer> whole(Failure& failure);

    // Prepares the next attempt: the gate, the endpoint, the call. Fails when nothing is left to try.
    std::optional<Attempt> prepare(bool stream, Failure& failure);

    // Notes that an attempt failed, has the engine drop what may still run of it, and returns whether
    // another one may follow, after having waited as long as it is to wait.
    bool mayRetry(const Attempt& attempt, const Failure& failure);

    // Notes that the connection of an attempt was lost: its endpoint may have ended. `answeredFor` as in QueryGuard::noteLost().
    void noteLost(const Attempt& attempt, std::optional<std::chrono::nanoseconds> answeredFor);

    // Notes that an attempt left its endpoint's queue, and has the engine drop it. Another one follows.
    void redispatch(const Attempt& attempt);

private:
    std::optional<endpoint::ChosenEndpoint> chooseEndpoint(const endpoint::EndpointWish& wish, Failure& failure);
    void cancelInBackground(const Attempt& attempt);
    std::optional<endpoint::EngineAnswer> once(const Attempt& attempt, Failure& failure);

    RequestContext& m_context;
    const EngineWork& m_work;
    std::vector<EndpointName> m_excluded;
    std::uint32_t m_failed = 0;
    bool m_waited = false; // In the queue for capacity; a request waits there once.
};

}
