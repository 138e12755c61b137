#ifndef QUETZALYOKE_APPS_ENTRY_ORDERSENDER_H
#define QUETZALYOKE_APPS_ENTRY_ORDERSENDER_H

#include "Adapters/Async/HttpClient.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/LeaseStoreClient.h"

namespace quetzalyoke {

/// Time that goes on while the instance is suspended.
Instant bootTimeNow();

/// \brief Keeps the placement lease and, while it is held, sends the director's orders.
class OrderSender
{
public:
    /// Changes that orders have brought.
    using LoadedModelChangeHook = std::function<void(const std::vector<LoadedModelChange> &)>;

    OrderSender(EntryState &state, LoadedModelChangeHook onNotices,
                LeaseStoreClient::PeersProvider peers);

    void tick();
    /// \sa PlacementLease::setTakeoverRank()
    void setTakeoverRank(std::size_t rank, Duration newsInterval)
    {
        m_lease.setTakeoverRank(rank, newsInterval);
    }
    /// Something is wanted: looks for orders at once.
    void scheduleStep();
    /// The servers' list has changed.
    void onServersChanged();
    void resign();
    void onHolderRenewal(const LeaseRow &row);
    /// The lease's row while this gateway may order engines.
    std::optional<LeaseRow> heldLease() const;
    /// Reads or writes the lease's row for a peer that can't reach the store.
    void handleLeaseRequest(const HttpServerConnection::Pointer &session,
                            const HttpRequest &request)
    {
        m_leaseClient.handleLeaseRequest(session, request);
    }
    /// Above zero while this gateway may order engines.
    std::int64_t fencingToken() const;

private:
    void maintainLease();
    void runStep();
    void sendOrder(const ConditionalEngineOrder &command);
    void requestEngineStatus(const ServerName &server);
    void onStatus(const ServerName &server, Incarnation asked, const HttpCallResult &http);
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
