#ifndef QUETZALYOKE_CORE_PLACEMENT_MEMORYLEDGER_H
#define QUETZALYOKE_CORE_PLACEMENT_MEMORYLEDGER_H

#include "Core/Placement/EngineOrder.h"

#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief The most memory of one engine that may be taken, whatever became of the orders to it.
///
/// Held is what the engine reported last. Every load sent since may have taken effect, may still
/// do so, and may do so twice; it counts until a report shows that it no longer can.
class MemoryLedger
{
public:
    /// An order has taken effect within \a orderLifetime after it was sent, or never will.
    MemoryLedger(Megabytes total, Duration orderLifetime);

    /// Whether the engine refuses an order whose number is below one that it took before.
    void setFencingChecked(bool checked) { m_fencingChecked = checked; }
    /// Notes an order that is about to be sent.
    void noteSent(const EngineOrder &order, Instant now);
    /// Notes that the engine answered an order.
    void noteAnswered(const EngineOrder &order, Instant now);
    /// Takes a report whose holdings are as of \a asOf or later, its fencing number as of
    /// \a fencingAsOf at the latest.
    void takeReport(const EngineReport &report, Instant asOf, Instant fencingAsOf);

    /// Whether \a holding can be loaded without a chance of overcommitment.
    bool fits(const Holding &holding) const;
    /// Whether an order that may still take effect would take \a holding away: an unload that
    /// was never answered, or a load of another version.
    bool mayGo(const Holding &holding) const;
    /// Whether a load that may still take effect gives \a holding another size.
    bool mayDiffer(const Holding &holding) const;
    /// Memory taken if every order in doubt takes effect.
    Megabytes worstCase() const;
    /// Memory of the engine: the setting's, or less where the engine says so.
    Megabytes total() const { return m_total; }

private:
    struct Pending
    {
        EngineOrder order;
        Instant sentAt;
        std::optional<Instant> overSince; ///< Takes no effect any more from then on.
    };

    bool isSettled(const Pending &pending, Instant asOf) const;
    std::vector<Holding> possible() const;

    Megabytes m_total;
    Duration m_orderLifetime;
    bool m_fencingChecked = false;
    std::vector<Holding> m_held;
    std::vector<Pending> m_pending;
};

} // namespace quetzalyoke

#endif
