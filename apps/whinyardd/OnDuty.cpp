#include "OnDuty.h"

namespace whinyard::daemon {

namespace {

    constexpr std::chrono::milliseconds fullRingPause { 10 };

    // Runs `function` on `duty`, again and again while its ring is full.
    template <typename Function>
    auto insistOn(net::Duty& duty, Function function)
    {
        while (true) {
            auto result = net::callOn(duty, function);
            if (result)
                return std::move(*result);
            net::sleepFor(fullRingPause);
        }
    }

}

IntentLedgerOnDuty::IntentLedgerOnDuty(net::Duty& duty, ledger::IntentLedger& ledger)
    : m_duty(duty)
    , m_ledger(ledger)
{
}

std::optional<ledger::AdmissionAnswer> IntentLedgerOnDuty::admit(const ledger::CallIdentity& call, const RequestId& request, Failure& failure)
{
    auto answer = net::callOn(m_duty, [&] { return m_ledger.admit(call, request, failure); });
    if (answer)
        return std::move(*answer);
    failure = { .kind = ErrorKind::overloaded, .reason = "too many calls wait for the store", .retryAfter = std::chrono::seconds(1) };
    return std::nullopt;
}

bool IntentLedgerOnDuty::finish(const ledger::IntentTicket& ticket, const ledger::StoredAnswer& answer, const ledger::UsageLine& usage, Failure& failure)
{
    return insistOn(m_duty, [&] { return m_ledger.finish(ticket, answer, usage, failure); });
}

bool IntentLedgerOnDuty::release(const ledger::IntentTicket& ticket, Failure& failure)
{
    return insistOn(m_duty, [&] { return m_ledger.release(ticket, failure); });
}

bool IntentLedgerOnDuty::leaveUnknown(const ledger::IntentTicket& ticket, Failure& failure)
{
    return insistOn(m_duty, [&] { return m_ledger.leaveUnknown(ticket, failure); });
}

UsageLedgerOnDuty::UsageLedgerOnDuty(net::Duty& duty, ledger::UsageLedger& ledger)
    : m_duty(duty)
    , m_ledger(ledger)
{
}

std::optional<std::string> UsageLedgerOnDuty::record(const ledger::UsageLine& line, Failure& failure)
{
    return insistOn(m_duty, [&] { return m_ledger.record(line, failure); });
}

}
