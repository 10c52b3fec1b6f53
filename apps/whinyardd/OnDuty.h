// Carries calls from the serve duty to objects that belong to another duty.
//
// The router sees the interfaces; the calling fiber waits while the other duty works.
#pragma once

#include "whinyard/ledger/IntentLedger.h"
#include "whinyard/ledger/UsageLedger.h"
#include "whinyard/net/Duty.h"

namespace whinyard::daemon {

// Calls a ledger on its duty. An outcome is never lost to a full ring: it is handed over again.
class IntentLedgerOnDuty final : public ledger::IntentLedger {
public:
    IntentLedgerOnDuty(net::Duty& duty, ledger::IntentLedger& ledger);

    std::optional<ledger::AdmissionAnswer> admit(const ledger::CallIdentity& call, const RequestId& request, Failure& failure) override;
    bool finish(const ledger::IntentTicket& ticket, const ledger::StoredAnswer& answer, const ledger::UsageLine& usage, Failure& failure) override;
    bool release(const ledger::IntentTicket& ticket, Failure& failure) override;
    bool leaveUnknown(const ledger::IntentTicket& ticket, Failure& failure) override;

private:
    net::Duty& m_duty;
    ledger::IntentLedger& m_ledger;
};

class UsageLedgerOnDuty final : public ledger::UsageLedger {
public:
    UsageLedgerOnDuty(net::Duty& duty, ledger::UsageLedger& ledger);

    std::optional<std::string> record(const ledger::UsageLine& line, Failure& failure) override;

private:
    net::Duty& m_duty;
    ledger::UsageLedger& m_ledger;
};

}
