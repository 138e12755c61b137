#ifndef QUETZALYOKE_SERVING_PLACEMENT_ENGINETRACKER_H
#define QUETZALYOKE_SERVING_PLACEMENT_ENGINETRACKER_H

#include "Ports/ServingProtocol.h"

#include <array>
#include <memory>

namespace quetzalyoke {

/// \brief How an engine answered an order.
enum class OrderOutcome {
    Accepted, ///< Being carried out.
    AlreadyDone, ///< Nothing to do.
    Conflict, ///< Another order is under way, or the engine has accepted others since.
    WrongServer, ///< Another server has the address now.
    Invalid, ///< The engine knows no such model or adapter, or the order is malformed.
    Unknown, ///< No answer: the order may still be carried out.
    NotSent, ///< Nothing reached the engine.
};

const char *orderOutcomeText(OrderOutcome outcome);

/// \brief What one engine holds and which of its orders are open; decides whether the next may go.
///
/// Every order names the number of orders that the engine has accepted so far. Of all orders that
/// name the same number at most one is carried out, so an order without an answer is sent again
/// as it was until the engine's count shows that it, or nothing, came of it.
class EngineTracker
{
public:
    EngineTracker(const ListedServer &listed, std::shared_ptr<const EngineSpec> spec);

    /// The platform's list; it lags, so what it says of holdings counts only until the engine
    /// itself has been asked.
    void updateListed(const ListedServer &listed);
    /// The engine wants nothing before \a until.
    void setPausedUntil(Instant until) { m_pausedUntil = until; }
    void setSpec(std::shared_ptr<const EngineSpec> spec) { m_spec = std::move(spec); }
    /// A status that was asked for at \a askedAt.
    void onStatus(const EngineStatus &status, Instant askedAt, Instant now);
    void onOrderOutcome(const ConditionalEngineOrder &command, OrderOutcome outcome, Instant now);

    /// Adapter orders end by themselves; takes note of those that have.
    void completeAdapterOrders(Instant now);
    /// When advance() has something to do.
    std::optional<Instant> nextAdapterOrderEnd() const;
    /// Another gateway may have given orders: the engine must be asked before the next one.
    void resetOrderState();
    /// Whether a new order may be sent.
    bool isReadyForOrder(Instant now) const;
    /// The order without an answer, to be sent again.
    std::optional<ConditionalEngineOrder> orderToResend(Instant now) const;
    /// Whether a status would tell something that is not known.
    bool needsStatus(Instant now) const;
    void recordStatusRequest(Instant now) { m_statusRequestedAt = now; }

    ConditionalEngineOrder makeLoadOrder(const ModelName &model, const AdapterName &adapter) const;
    ConditionalEngineOrder makeUnloadOrder(const ModelName &model,
                                           const AdapterName &adapter) const;
    void recordOrderSent(const ConditionalEngineOrder &command, Instant now);

    /// Whether a load can't exceed the engine's memory or slots, whatever came of open orders.
    bool hasRoomFor(const ModelName &model, const AdapterName &adapter) const;
    /// Held, as far as is known.
    bool hasLoaded(const ModelName &model, const AdapterName &adapter) const;
    /// Being loaded, or ordered to be.
    bool isLoading(const ModelName &model, const AdapterName &adapter) const;

    /// Held, but an open order takes it away.
    bool isUnloading(const ModelName &model) const;
    /// The model that is being loaded, or ordered to be.
    std::optional<ModelName> loadingModel() const;

    /// Whether the engine loads \a model without the weight store, as it said last.
    bool isStoredLocally(const ModelName &model) const
    {
        return m_locallyStoredModels.count(model) > 0;
    }
    const std::set<ModelName> &locallyStoredModels() const { return m_locallyStoredModels; }

    const ListedServer &listed() const { return m_listed; }
    const LoadedModels &loadedModels() const { return m_loadedModels; }
    std::int64_t acceptedOrders() const { return m_acceptedOrders; }
    int adapterCount() const;
    double freeMegabytes() const;

private:
    std::array<const ConditionalEngineOrder *, 2>
    unfinishedOrders() const; // open and running, null: none
    void applyAccepted(const ConditionalEngineOrder &command, Instant now);
    void updateLoadedModels(const LoadedModels &holdings, bool isBusy, Instant now);
    bool refusesOrders(Instant now) const { return m_listed.isLeaving || now < m_pausedUntil; }
    Duration loadDurationOf(const ModelName &model) const;
    double megabytesOf(const ModelName &model) const;
    double adapterMegabytesOf(const ModelName &model) const;

    ListedServer m_listed;
    std::shared_ptr<const EngineSpec> m_spec; // one for all engines of a service
    LoadedModels m_loadedModels;
    std::set<ModelName> m_locallyStoredModels;
    std::int64_t m_acceptedOrders = 0;
    bool m_isOrderCountKnown = false;
    std::optional<ConditionalEngineOrder> m_unansweredOrder; // sent, its outcome not known
    Instant m_unansweredSince;
    bool m_isOrderInFlight = false;
    bool m_mayHaveTakenEffect = false; // an earlier try of it had no answer
    std::optional<ConditionalEngineOrder> m_runningOrder; // accepted, not known to be finished
    Instant m_runningUntil; // expected end
    bool m_needsStatus = false;
    Instant m_nextStatusAt;
    Instant m_statusRequestedAt;
    Instant m_retryAt;
    Instant m_orderAcceptedAt; // last accepted order
    Instant m_pausedUntil;
};

} // namespace quetzalyoke

#endif
