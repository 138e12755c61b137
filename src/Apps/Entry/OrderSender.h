#ifndef QUETZALYOKE_APPS_ENTRY_ORDERSENDER_H
#define QUETZALYOKE_APPS_ENTRY_ORDERSENDER_H

#include "Adapters/Async/HttpClient.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/LeaseStoreClient.h"

namespace quetzalyoke {

/// Returns the time of a clock that also advances while the instance is suspended.
Instant bootTimeNow();

/// \brief Acquires and renews the placement lease; while holding it, sends orders to engines.
class OrderSender
{
public:
    /// Receives the changes of loaded models that orders have caused.
    using LoadedModelChangeHook = std::function<void(const std::vector<LoadedModelChange> &)>;

    OrderSender(EntryState &state, LoadedModelChangeHook onChanges,
                LeaseStoreClient::PeersProvider peers);

    void tick();
    /// \sa PlacementLease::setTakeoverRank()
    void setTakeoverRank(std::size_t rank, Duration messageInterval)
    {
        m_lease.setTakeoverRank(rank, messageInterval);
    }
    /// Schedules an immediate check for orders, because a request needs a model or adapter.
    void scheduleStep();
    /// Takes over changes of the server list.
    void onServersChanged();
    void resign();
    void onHolderRenewal(const LeaseRow &row);
    /// Returns the lease's row while this gateway may order engines; otherwise nothing.
    std::optional<LeaseRow> heldLease() const;
    /// Reads or writes the lease's row on behalf of a peer that cannot reach the store.
    void handleLeaseRequest(const HttpServerConnection::Pointer &connection,
                            const HttpRequest &request)
    {
        m_leaseClient.handleLeaseRequest(connection, request);
    }
    /// Returns whether this gateway, and no other, may issue permits for servers with a request
    /// limit.
    bool issuesPermits() const;
    /// Returns the fencing token; 0 unless this gateway may order engines.
    std::int64_t fencingToken() const;

private:
    void maintainLease();
    void runStep();
    void pauseLimitedEngines();
    void sendOrder(const ConditionalEngineOrder &order);
    void requestEngineStatus(const ServerName &server);
    void onStatus(const ServerName &server, Incarnation incarnation, const HttpCallResult &result);
    void publishLoadedModelChanges();
    HttpClient &clientFor(const std::string &address);
    void removeUnusedClients();

    EntryState &m_state;
    LoadedModelChangeHook m_onLoadedModelChanges;
    PlacementLease m_lease;
    LeaseStoreClient m_leaseClient;
    asio::steady_timer m_stepTimer;
    std::map<std::string, std::unique_ptr<HttpClient>> m_clients;
    bool m_wasHolder = false;
    bool m_isStepScheduled = false;
};

} // namespace quetzalyoke

#endif
