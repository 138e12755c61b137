#ifndef QUETZALYOKE_CORE_PLACEMENT_ENGINEMEMORYTRACKER_H
#define QUETZALYOKE_CORE_PLACEMENT_ENGINEMEMORYTRACKER_H

#include "Core/Placement/EngineOrder.h"

#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief Computes the most memory of one engine that may be in use, whatever the outcome of the
/// orders sent to it.
///
/// The models in the engine's last report count as loaded. Every load order sent since may have
/// taken effect, may still do so, and may do so twice. It counts until a report shows that it can
/// no longer take effect.
class EngineMemoryTracker
{
public:
    /// An order takes effect within \a orderLifetime after it was sent or not at all.
    EngineMemoryTracker(Megabytes totalMemory, Duration orderLifetime);

    /// Sets whether the engine refuses an order whose fencing token is lower than one that it
    /// accepted before.
    void setFencingChecked(bool checked) { m_fencingChecked = checked; }
    /// Records an order that is about to be sent.
    void recordOrderSent(const EngineOrder &order, Instant now);
    /// Records that the engine responded to an order.
    void recordOrderResponse(const EngineOrder &order, Instant now);
    /// Applies a report. Its models show the engine at \a asOf or later, its fencing token the
    /// engine at \a fencingAsOf or earlier.
    void applyReport(const EngineReport &report, Instant asOf, Instant fencingAsOf);

    /// Returns whether \a model can be loaded without a risk of overcommitted memory.
    bool fits(const HostedModel &model) const;
    /// Returns whether an order that may still take effect would remove \a model: an unload order
    /// without a response, or a load order for another version.
    bool mayBeRemoved(const HostedModel &model) const;
    /// Returns whether a load order that may still take effect would give \a model another size.
    bool mayChangeSize(const HostedModel &model) const;
    /// Returns the memory in use if every pending load order takes effect.
    Megabytes worstCaseMemory() const;
    /// Returns the engine's memory: the configured size, or the reported one if that is less.
    Megabytes totalMemory() const { return m_totalMemory; }

private:
    struct PendingOrder
    {
        EngineOrder order;
        Instant sentAt;
        std::optional<Instant> settledAt; ///< The order can't take effect after this time.
    };

    bool isSettled(const PendingOrder &pending, Instant asOf) const;
    std::vector<HostedModel> possibleModels() const;

    Megabytes m_totalMemory;
    Duration m_orderLifetime;
    bool m_fencingChecked = false;
    std::vector<HostedModel> m_reportedModels;
    std::vector<PendingOrder> m_pendingOrders;
};

} // namespace quetzalyoke

#endif
