#ifndef QUETZALYOKE_CORE_PLACEMENT_ENGINEMEMORYTRACKER_H
#define QUETZALYOKE_CORE_PLACEMENT_ENGINEMEMORYTRACKER_H

#include "Core/Placement/EngineOrder.h"

#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief The most memory of one engine that may be taken, whatever became of the orders to it.
///
/// Held is what the engine reported last. Every load sent since may have taken effect, may still
/// do so, and may do so twice; it counts until a report shows that it no longer can.
class EngineMemoryTracker
{
public:
    /// An order has taken effect within \a orderLifetime after it was sent, or never will.
    EngineMemoryTracker(Megabytes totalMemory, Duration orderLifetime);

    /// Whether the engine refuses an order whose number is below one that it took before.
    void setFencingChecked(bool checked) { m_fencingChecked = checked; }
    /// Notes an order that is about to be sent.
    void recordOrderSent(const EngineOrder &order, Instant now);
    /// Notes that the engine answered an order.
    void recordOrderResponse(const EngineOrder &order, Instant now);
    /// Takes a report whose holdings are as of \a asOf or later, its fencing number as of
    /// \a fencingAsOf at the latest.
    void applyReport(const EngineReport &report, Instant asOf, Instant fencingAsOf);

    /// Whether \a holding can be loaded without a chance of overcommitment.
    bool fits(const HostedModel &holding) const;
    /// Whether an order that may still take effect would take \a holding away: an unload that
    /// was never answered, or a load of another version.
    bool mayBeRemoved(const HostedModel &holding) const;
    /// Whether a load that may still take effect gives \a holding another size.
    bool mayChangeSize(const HostedModel &holding) const;
    /// Memory taken if every order in doubt takes effect.
    Megabytes worstCaseMemory() const;
    /// Memory of the engine: the setting's, or less where the engine says so.
    Megabytes totalMemory() const { return m_total; }

private:
    struct PendingOrder
    {
        EngineOrder order;
        Instant sentAt;
        std::optional<Instant> settledAt; ///< Takes no effect any more from then on.
    };

    bool isSettled(const PendingOrder &pending, Instant asOf) const;
    std::vector<HostedModel> possibleModels() const;

    Megabytes m_total;
    Duration m_orderLifetime;
    bool m_fencingChecked = false;
    std::vector<HostedModel> m_reportedModels;
    std::vector<PendingOrder> m_pendingOrders;
};

} // namespace quetzalyoke

#endif
