#ifndef QUETZALYOKE_APPS_ENTRY_ORDERSENDER_H
#define QUETZALYOKE_APPS_ENTRY_ORDERSENDER_H

#include "Adapters/Async/HttpCaller.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/LeaseRelay.h"

namespace quetzalyoke {

/// Time that goes on while the instance is suspended.
Instant bootNow();

/// \brief Keeps the placement lease and, while it is held, sends the director's orders.
class OrderSender
{
public:
    /// Changes that orders have brought.
    using NoticeHook = std::function<void(const std::vector<OrderNotice> &)>;

    OrderSender(EntryState &state, NoticeHook onNotices, LeaseRelay::Peers peers);

    void tick();
    /// \sa PlacementLease::setWatch()
    void setWatch(std::size_t rank, Duration newsInterval) { m_lease.setWatch(rank, newsInterval); }
    /// Something is wanted: looks for orders at once.
    void wake();
    /// The servers' list has changed.
    void onServersChanged();
    void resign();
    void onHolderNews(const LeaseRow &row);
    /// The lease's row while this gateway may order engines.
    std::optional<LeaseRow> heldLease() const;
    /// Reads or writes the lease's row for a peer that can't reach the store.
    void answerPeer(const CallerSession::Pointer &session, const CallerRequest &request)
    {
        m_relay.answer(session, request);
    }
    /// Above zero while this gateway may order engines.
    std::int64_t fencing() const;

private:
    void keepLease();
    void giveOrders();
    void sendCommand(const EngineCommand &command);
    void askStatus(const ServerName &server);
    void onStatus(const ServerName &server, Incarnation asked, const HttpOutcome &http);
    void publishNotices();
    HttpCaller &callerOf(const std::string &address);
    void dropUnusedCallers();

    EntryState &m_state;
    NoticeHook m_onNotices;
    PlacementLease m_lease;
    LeaseRelay m_relay;
    asio::steady_timer m_nextTimer;
    std::map<std::string, std::unique_ptr<HttpCaller>> m_callers;
    bool m_wasHolder = false;
    bool m_isWoken = false;
};

} // namespace quetzalyoke

#endif
