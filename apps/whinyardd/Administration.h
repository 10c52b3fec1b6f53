// The admin duty: the administration API and the console, with health, metrics, time line and bill.
#pragma once

#include "Peering.h"
#include "Shared.h"

#include "whinyard/admin/AdminService.h"
#include "whinyard/admin/FleetSources.h"
#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"

#include <memory>

namespace whinyard::daemon {

// Adds up the bill from the records of the key-value service, after every instance has written its
// lines. An instance that doesn't confirm that is named as a fault of the bill.
class StoredBill final : public admin::BillSource {
public:
    StoredBill(backing::KeyValueStore& store, std::uint32_t partitions, Peering& peering);

    std::optional<admin::Bill> bill(const CustomerName& customer, Failure& failure) override;
    std::optional<std::vector<ledger::UsageLine>> lines(const CustomerName& customer, Failure& failure) override;

private:
    std::vector<std::string> flushAll();

    backing::KeyValueStore& m_store;
    const std::uint32_t m_partitions;
    Peering& m_peering;
};

// Asks the instances through the peers' duty.
class PeerConfirmations final : public admin::ConfirmationSource {
public:
    explicit PeerConfirmations(Peering& peering);

    peer::Acceptance confirm(std::uint64_t revision, std::chrono::milliseconds timeout) override;

private:
    Peering& m_peering;
};

class Administration {
public:
    // `shared` and `peering` must outlive the object.
    Administration(Shared& shared, Peering& peering);

    // Reads the operators and opens their address. `own` says what this instance knows of itself.
    bool open(admin::OwnStatus own, Failure& failure);

    net::Address address() const { return m_server->address(); }

    // Closes the address at once and ends the duty.
    void stop();

private:
    bool openOnDuty(admin::OwnStatus own, std::vector<admin::Operator> operators, Failure& failure);

    Shared& m_shared;
    Peering& m_peering;
    net::Duty m_duty { "admin" };
    admin::FiberWaiter m_waiter;
    admin::LogAudit m_audit;
    PeerConfirmations m_confirmations;
    std::unique_ptr<net::HttpClient> m_client;
    std::unique_ptr<backing::KeyValueStore> m_store;
    std::unique_ptr<admin::ConfigurationRepository> m_repository;
    std::unique_ptr<admin::PeersFleetView> m_fleet;
    std::unique_ptr<admin::PeersTraceSource> m_traces;
    std::unique_ptr<StoredBill> m_bills;
    std::unique_ptr<admin::AdminService> m_service;
    std::unique_ptr<net::HttpServer> m_server;
};

}
