// A call of a plain service that runs at most once: sent to the instance that its partition belongs to,
// admitted by the intent ledger, dispatched under its intent, and recorded.
#pragma once

#include "internal/ServiceDispatch.h"

namespace whinyard::router {

// The field that says that an answer stands in the record.
inline constexpr const char* replayedField = "X-Whinyard-Replayed";

struct ServiceAnswer {
    net::HttpResponse response;
    bool replayed = false; // It stands in the record; nothing ran now.
};

class KeyedCall {
public:
    KeyedCall(RequestContext& context, const ServiceWork& work);

    // Runs the call at the instance that its partition belongs to, or here when that one can't decide.
    std::optional<ServiceAnswer> runSomewhere(Failure& failure);

    // Runs the call here.
    std::optional<ServiceAnswer> run(Failure& failure);

private:
    // What came of forwarding a call.
    enum class Forwarding : std::uint8_t {
        over, // It was answered or refused.
        runHere, // The other instance could not decide.
    };

    std::optional<InstanceName> otherOwner() const;
    Forwarding forward(const InstanceName& owner, std::optional<ServiceAnswer>& answer, Failure& failure);
    std::optional<ServiceAnswer> dispatchGranted(const ledger::IntentTicket& ticket, Failure& failure);
    void settleFailed(const ledger::IntentTicket& ticket, Failure& failure);

    RequestContext& m_context;
    const ServiceWork& m_work;
    ServiceDispatch m_dispatch;
};

// Runs a call that another instance forwarded. The failure carries what is known of its execution.
std::optional<peer::ForwardCallAnswer> runForwarded(RequestContext& context, const peer::ForwardCall& call, Failure& failure);

}
