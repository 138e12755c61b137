#ifndef QUETZALYOKE_SERVING_PLACEMENT_ENGINETRACKER_H
#define QUETZALYOKE_SERVING_PLACEMENT_ENGINETRACKER_H

#include "Ports/ServingProtocol.h"

#include <array>
#include <memory>

namespace quetzalyoke {

/// \brief Outcome of an order that was sent to an engine.
enum class OrderOutcome {
    Accepted, ///< The engine executes the order.
    AlreadyDone, ///< There was nothing to do.
    Conflict, ///< Another order is being executed, or the engine has accepted others since.
    WrongServer, ///< Another server uses the address now.
    Invalid, ///< The engine doesn't know the model or adapter, or the order is malformed.
    Unknown, ///< No response: the order may still be executed.
    NotSent, ///< Nothing reached the engine.
};

const char *orderOutcomeText(OrderOutcome outcome);

/// \brief Tracks the loaded models and unfinished orders of one engine, and decides when the next
/// order may be sent.
///
/// Every order states how many orders the engine has accepted so far. Of all orders that state the
/// same number at most one is executed. So an order without a response is sent again unchanged
/// until the engine's count shows whether it was executed.
class EngineTracker
{
public:
    EngineTracker(const ListedServer &listed, std::shared_ptr<const EngineSpec> spec);

    /// Updates the server's entry in the platform's list. The list lags, so its loaded models are
    /// used only until the engine itself has reported them.
    void updateListed(const ListedServer &listed);
    /// Sends nothing to the engine before \a until, as it has asked for a pause.
    void setPausedUntil(Instant until) { m_pausedUntil = until; }
    /// Sets whether the engine's zone is evacuated. It then gets no orders and status requests.
    void setEvacuated(bool isEvacuated) { m_isEvacuated = isEvacuated; }
    /// Returns whether the engine runs no new requests: it is leaving or evacuated.
    bool isWithdrawn() const { return m_listed.isLeaving || m_isEvacuated; }
    /// Records that the engine's request limit left requests without a permit.
    void recordOverDemand(Instant now) { m_overDemandedAt = now; }
    /// Returns whether replicas on this engine serve all requests for them: it isn't withdrawn, and
    /// its request limit has lately been sufficient.
    bool servesDemand(Instant now) const;
    void setSpec(std::shared_ptr<const EngineSpec> spec) { m_spec = std::move(spec); }
    /// Applies a status that was requested at \a askedAt.
    void onStatus(const EngineStatus &status, Instant askedAt, Instant now);
    void onOrderOutcome(const ConditionalEngineOrder &order, OrderOutcome outcome, Instant now);

    /// Applies the running adapter order if its expected duration has passed.
    void completeAdapterOrders(Instant now);
    /// Returns when completeAdapterOrders() will have something to do; nothing if no adapter order
    /// runs.
    std::optional<Instant> nextAdapterOrderEnd() const;
    /// Forgets all orders, since another gateway may have sent some. The engine gets no order
    /// before it has reported its status.
    void resetOrderState();
    /// Returns whether a new order may be sent.
    bool isReadyForOrder(Instant now) const;
    /// Returns the order that had no response if it is to be sent again now.
    std::optional<ConditionalEngineOrder> orderToResend(Instant now) const;
    /// Returns whether the engine is to be asked for its status now.
    bool needsStatus(Instant now) const;
    void recordStatusRequest(Instant now) { m_statusRequestedAt = now; }

    ConditionalEngineOrder makeLoadOrder(const ModelName &model, const AdapterName &adapter) const;
    ConditionalEngineOrder makeUnloadOrder(const ModelName &model,
                                           const AdapterName &adapter) const;
    void recordOrderSent(const ConditionalEngineOrder &order, Instant now);

    /// Returns whether a load fits the engine's memory and adapter slots, whatever the outcome of
    /// unfinished orders.
    bool hasRoomFor(const ModelName &model, const AdapterName &adapter) const;
    /// Returns whether the model or adapter is loaded, as far as is known.
    bool hasLoaded(const ModelName &model, const AdapterName &adapter) const;
    /// Returns whether it is being loaded or a load order is unanswered.
    bool isLoading(const ModelName &model, const AdapterName &adapter) const;

    /// Returns whether an unanswered order unloads \a model.
    bool isUnloading(const ModelName &model) const;
    /// Returns the model that is being loaded or whose load order is unanswered.
    std::optional<ModelName> loadingModel() const;

    /// Returns whether the engine can load \a model without the weight store, as last reported.
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
    unfinishedOrders() const; // unanswered and running; null if there is none
    void applyAccepted(const ConditionalEngineOrder &order, Instant now);
    void updateLoadedModels(const LoadedModels &reportedModels, bool isBusy, Instant now);
    bool refusesOrders(Instant now) const { return isWithdrawn() || now < m_pausedUntil; }
    Duration loadDurationOf(const ModelName &model) const;
    double megabytesOf(const ModelName &model) const;
    double adapterMegabytesOf(const ModelName &model) const;

    ListedServer m_listed;
    std::shared_ptr<const EngineSpec> m_spec; // shared by all engines of a service
    LoadedModels m_loadedModels;
    std::set<ModelName> m_locallyStoredModels;
    std::int64_t m_acceptedOrders = 0;
    bool m_isOrderCountKnown = false;
    std::optional<ConditionalEngineOrder> m_unansweredOrder; // sent, outcome unknown
    Instant m_unansweredSince;
    bool m_isOrderInFlight = false;
    bool m_mayHaveTakenEffect = false; // an earlier attempt of the unanswered order had no response
    std::optional<ConditionalEngineOrder> m_runningOrder; // accepted, not known to be complete
    Instant m_runningUntil; // expected end of the running order
    bool m_needsStatus = false;
    Instant m_nextStatusAt;
    Instant m_statusRequestedAt;
    Instant m_retryAt;
    Instant m_orderAcceptedAt; // of the last order
    Instant m_pausedUntil;
    bool m_isEvacuated = false;
    std::optional<Instant> m_overDemandedAt;
};

} // namespace quetzalyoke

#endif
