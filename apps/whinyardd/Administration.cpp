#include "Administration.h"

#include "whinyard/backing/HttpPlatform.h"
#include "whinyard/ledger/UsageReader.h"

namespace whinyard::daemon {

namespace {

    constexpr std::chrono::milliseconds flushBound { 1'000 };
    constexpr std::chrono::milliseconds callTimeout { 500 };

    ledger::UsageQuery queryOf(const CustomerName& customer)
    {
        ledger::UsageQuery query;
        if (!customer.empty())
            query.customer = customer;
        return query;
    }

}

StoredBill::StoredBill(backing::KeyValueStore& store, std::uint32_t partitions, Peering& peering)
    : m_store(store)
    , m_partitions(partitions)
    , m_peering(peering)
{
}

std::vector<std::string> StoredBill::flushAll()
{
    std::vector<std::string> faults;
    const auto view = m_peering.service().view();
    for (const peer::Member& member : view->members) {
        Failure failure;
        const bool isSelf = member.name == view->self.name;
        const auto answer = isSelf ? peer::FlushUsageAnswer { m_peering.flushUsage(flushBound) }
                                   : peer::ask(m_peering.service(), member.name, peer::FlushUsage { flushBound }, flushBound + callTimeout, failure);
        if (!answer || !answer->durable)
            faults.push_back(member.name.value + " did not confirm that its latest lines are durable");
    }
    return faults;
}

std::optional<admin::Bill> StoredBill::bill(const CustomerName& customer, Failure& failure)
{
    std::vector<std::string> late = flushAll();
    const std::optional<ledger::UsageTotals> totals = ledger::UsageReader(m_store, m_partitions).totals(queryOf(customer), failure);
    if (!totals)
        return std::nullopt;
    std::map<std::pair<CustomerName, std::string>, admin::BillTotal> byItem;
    for (const auto& [group, sum] : totals->sums) {
        admin::BillTotal& total = byItem[{ group.customer, group.item }];
        total.customer = group.customer;
        total.item = group.item;
        total.lines += sum.requests;
        total.billedUnits += sum.billedUnits;
        total.innerUnits += sum.innerUnits;
        total.tokens += sum.promptTokens + sum.completionTokens;
    }
    admin::Bill bill;
    for (const auto& [item, total] : byItem)
        bill.totals.push_back(total);
    bill.faults = totals->corrupt;
    bill.faults.insert(bill.faults.end(), late.begin(), late.end());
    for (const std::string& identity : totals->conflicting)
        bill.faults.push_back("different lines stand under " + identity);
    return bill;
}

std::optional<std::vector<ledger::UsageLine>> StoredBill::lines(const CustomerName& customer, Failure& failure)
{
    flushAll();
    return ledger::UsageReader(m_store, m_partitions).lines(queryOf(customer), failure);
}

PeerConfirmations::PeerConfirmations(Peering& peering)
    : m_peering(peering)
{
}

peer::Acceptance PeerConfirmations::confirm(std::uint64_t revision, std::chrono::milliseconds timeout)
{
    return m_peering.service().confirm(revision, timeout);
}

Administration::Administration(Shared& shared, Peering& peering)
    : m_shared(shared)
    , m_peering(peering)
    , m_confirmations(peering)
{
}

bool Administration::open(admin::OwnStatus own, Failure& failure)
{
    std::optional<std::vector<admin::Operator>> operators = admin::loadOperators(m_shared.settings.operatorsFile, failure);
    if (!operators)
        return false;
    return net::callOn(m_duty, [&] { return openOnDuty(std::move(own), std::move(*operators), failure); }).value_or(false);
}

bool Administration::openOnDuty(admin::OwnStatus own, std::vector<admin::Operator> operators, Failure& failure)
{
    m_client = net::HttpClient::create(m_duty);
    m_store = backing::makeHttpKeyValueStore(*m_client, { .address = m_shared.settings.platform });
    m_repository = std::make_unique<admin::ConfigurationRepository>(*m_store, m_shared.clock, m_waiter);
    m_fleet = std::make_unique<admin::PeersFleetView>(&m_peering.service(), std::move(own));
    m_traces = std::make_unique<admin::PeersTraceSource>(&m_peering.service(), m_shared.events.store());
    m_bills = std::make_unique<StoredBill>(*m_store, m_shared.settings.intentPartitions, m_peering);
    const admin::AdminParts parts { *m_repository, *m_fleet, m_confirmations, *m_traces, *m_bills, m_shared.metrics, m_audit, m_shared.clock };
    m_service = std::make_unique<admin::AdminService>(parts, operators);
    const net::HttpHandler handler = [this](const net::HttpRequest& request, net::HttpResponder& responder) { responder.send(m_service->answer(request)); };
    m_server = net::HttpServer::open(m_duty, m_shared.settings.admin, {}, handler, failure);
    return m_server != nullptr;
}

void Administration::stop()
{
    net::runOn(m_duty, [this] {
        if (m_server)
            m_server->close();
    });
    m_duty.stop();
}

}
