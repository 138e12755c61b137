#ifndef QUETZALYOKE_SERVING_PLACEMENT_ENGINEBOOK_H
#define QUETZALYOKE_SERVING_PLACEMENT_ENGINEBOOK_H

#include "Ports/ServingDialect.h"

#include <array>
#include <memory>

namespace quetzalyoke {

/// \brief How an engine answered an order.
enum class OrderOutcome {
    Accepted, ///< Being carried out.
    AlreadyHolds, ///< Nothing to do.
    Conflict, ///< Another order is under way, or the engine has accepted others since.
    WrongServer, ///< Another server has the address now.
    Impossible, ///< The engine knows no such model or adapter, or the order is malformed.
    Unknown, ///< No answer: the order may still be carried out.
    NotSent, ///< Nothing reached the engine.
};

const char *orderOutcomeText(OrderOutcome outcome);

/// \brief What one engine holds and which of its orders are open; decides whether the next may go.
///
/// Every order names the number of orders that the engine has accepted so far. Of all orders that
/// name the same number at most one is carried out, so an order without an answer is sent again
/// as it was until the engine's count shows that it, or nothing, came of it.
class EngineBook
{
public:
    EngineBook(const ListedServer &listed, std::shared_ptr<const EngineSpec> spec);

    /// The platform's list; it lags, so what it says of holdings counts only until the engine
    /// itself has been asked.
    void takeListed(const ListedServer &listed);
    /// The engine wants nothing before \a until.
    void setPausedUntil(Instant until) { m_pausedUntil = until; }
    void setSpec(std::shared_ptr<const EngineSpec> spec) { m_spec = std::move(spec); }
    /// A status that was asked for at \a askedAt.
    void takeStatus(const EngineStatus &status, Instant askedAt, Instant now);
    void takeOutcome(const EngineCommand &command, OrderOutcome outcome, Instant now);

    /// Adapter orders end by themselves; takes note of those that have.
    void advance(Instant now);
    /// When advance() has something to do.
    std::optional<Instant> nextChange() const;
    /// Another gateway may have given orders: the engine must be asked before the next one.
    void forgetOrders();
    /// Whether a new order may be sent.
    bool isFree(Instant now) const;
    /// The order without an answer, to be sent again.
    std::optional<EngineCommand> repeat(Instant now) const;
    /// Whether a status would tell something that is not known.
    bool needsStatus(Instant now) const;
    void noteStatusAsked(Instant now) { m_statusAskedAt = now; }

    EngineCommand makeLoad(const ModelName &model, const AdapterName &adapter) const;
    EngineCommand makeUnload(const ModelName &model, const AdapterName &adapter) const;
    void noteSent(const EngineCommand &command, Instant now);

    /// Whether a load can't exceed the engine's memory or slots, whatever came of open orders.
    bool fits(const ModelName &model, const AdapterName &adapter) const;
    /// Held, as far as is known.
    bool holds(const ModelName &model, const AdapterName &adapter) const;
    /// Being loaded, or ordered to be.
    bool isLoading(const ModelName &model, const AdapterName &adapter) const;

    /// Held, but an open order takes it away.
    bool isUnloading(const ModelName &model) const;
    /// The model that is being loaded, or ordered to be.
    std::optional<ModelName> loadingModel() const;

    /// Whether the engine loads \a model without the weight store, as it said last.
    bool isAtHand(const ModelName &model) const { return m_atHand.count(model) > 0; }
    const std::set<ModelName> &atHand() const { return m_atHand; }

    const ListedServer &listed() const { return m_listed; }
    const Holdings &holdings() const { return m_holdings; }
    std::int64_t orders() const { return m_orders; }
    int adapterCount() const;
    double freeMegabytes() const;

private:
    std::array<const EngineCommand *, 2> unfinished() const; // open and running, null: none
    void applyAccepted(const EngineCommand &command, Instant now);
    void settle(const Holdings &holdings, bool isBusy, Instant now);
    bool wantsNothing(Instant now) const { return m_listed.isLeaving || now < m_pausedUntil; }
    Duration loadTimeOf(const ModelName &model) const;
    double megabytesOf(const ModelName &model) const;
    double adapterMegabytesOf(const ModelName &model) const;

    ListedServer m_listed;
    std::shared_ptr<const EngineSpec> m_spec; // one for all engines of a service
    Holdings m_holdings;
    std::set<ModelName> m_atHand;
    std::int64_t m_orders = 0;
    bool m_isOrdersKnown = false;
    std::optional<EngineCommand> m_open; // sent, its outcome not known
    Instant m_openSince;
    bool m_inFlight = false;
    bool m_isDoubtful = false; // an earlier try of it had no answer
    std::optional<EngineCommand> m_running; // accepted, not known to be finished
    Instant m_runningUntil; // expected end
    bool m_mustAsk = false;
    Instant m_askAt;
    Instant m_statusAskedAt;
    Instant m_retryAt;
    Instant m_changedAt; // last accepted order
    Instant m_pausedUntil;
};

} // namespace quetzalyoke

#endif
