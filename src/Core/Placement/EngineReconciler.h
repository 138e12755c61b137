#ifndef QUETZALYOKE_CORE_PLACEMENT_ENGINERECONCILER_H
#define QUETZALYOKE_CORE_PLACEMENT_ENGINERECONCILER_H

#include "Core/Placement/EngineMemoryTracker.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The permission of an agent to send orders to its engine.
struct FencingGrant
{
    std::int64_t epoch = 0; ///< Assigned by the table for this agent incarnation; 0 if none yet.
    bool engineChecksFencing = false; ///< Whether the engine refuses old fencing tokens.
    Instant validUntil; ///< Last time to send an order if the engine doesn't check fencing tokens.
};

/// \brief Decides which orders one engine gets, one at a time. Does no I/O.
///
/// The caller passes in each event: a plan, a grant, a report of the engine, the end of an order.
/// It calls nextOrder() after each event and periodically.
class EngineReconciler
{
public:
    struct Limits
    {
        Megabytes memory; ///< Zero to use the engine's reported memory.
        Duration orderLifetime{}; ///< \sa EngineMemoryTracker
        /// For how long after this agent's grant an order of its predecessor may still take effect,
        /// on an engine that doesn't check fencing tokens.
        Duration predecessorWait{};
        /// Maximum age of the models in a report; zero if a report shows the engine at a single
        /// point in time.
        Duration maxReportStaleness{};
    };
    /// Returns the number of requests for a model or adapter that the agent has accepted and not
    /// finished.
    using InFlightCounter = std::function<std::size_t(const std::string &name)>;

    explicit EngineReconciler(const Limits &limits);

    /// Sets the models and adapters that the engine should have loaded, base models before their
    /// adapters.
    void setPlan(std::vector<HostedModel> plannedModels);
    /// Applies the first grant or a renewal. A grant of another epoch is ignored.
    void applyFencingGrant(const FencingGrant &grant, Instant now);
    /// Another agent has a higher epoch: stops all orders and makes all targets unavailable.
    void onSuperseded() { m_superseded = true; }
    bool isSuperseded() const { return m_superseded; }
    /// Applies a report that was requested at \a requestedAt and received by \a receivedAt.
    void applyReport(const EngineReport &report, Instant requestedAt, Instant receivedAt);
    /// The engine responded to the last order, or the agent stopped waiting for the response.
    void onOrderEnded(bool hasResponse, Instant now);

    /// Returns the order to send now. Call this only after availableTargets() has taken effect, so
    /// that no new request for a model to be unloaded is accepted.
    std::optional<EngineOrder> nextOrder(Instant now, const InFlightCounter &inFlight);
    /// Returns the models and adapters that requests may use: ready, of the planned version and
    /// with no pending order that may remove them.
    std::set<std::string> availableTargets() const;
    const std::vector<HostedModel> &reportedModels() const { return m_report.models; }
    Megabytes worstCaseMemory() const { return m_memoryTracker.worstCaseMemory(); }
    /// Returns whether this agent has a valid grant and is not superseded.
    bool mayIssueOrders(Instant now) const;

private:
    bool isPlanned(const HostedModel &model) const;
    const HostedModel *findReportedModel(const std::string &name) const;
    const HostedModel *findOversizedModel() const;
    bool wasLoadedWithSize(const HostedModel &planned) const;
    bool arePredecessorOrdersSettled() const;
    bool mayLateOrderAffectPlan() const;
    std::optional<EngineOrder> makeFencingOrder(Instant now);
    std::optional<EngineOrder> nextUnloadOrder(Instant now, const InFlightCounter &inFlight);
    std::optional<EngineOrder> nextLoadOrder(Instant now);
    EngineOrder issueOrder(EngineOrder::Kind kind, const HostedModel &model, Instant now);
    FencingToken firstFencingToken() const;

    Limits m_limits;
    EngineMemoryTracker m_memoryTracker;
    std::vector<HostedModel> m_plannedModels;
    std::vector<HostedModel> m_loadedByThisAgent; // as in load orders with a response
    bool m_hasPlan = false;
    std::optional<FencingGrant> m_grant;
    Instant m_grantedAt; // time of the first grant
    bool m_superseded = false;
    EngineReport m_report;
    std::optional<Instant> m_reportAsOf;
    std::optional<Instant> m_fencingEffectiveAt; // a token of this epoch was accepted
    std::optional<EngineOrder> m_pendingOrder;
    Instant m_orderEndedAt;
    std::int64_t m_issuedOrders = 0;
};

} // namespace quetzalyoke

#endif
