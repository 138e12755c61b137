#ifndef QUETZALYOKE_CORE_PLACEMENT_ENGINERECONCILER_H
#define QUETZALYOKE_CORE_PLACEMENT_ENGINERECONCILER_H

#include "Core/Placement/EngineMemoryTracker.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief An agent's right to order its engine.
struct FencingGrant
{
    std::int64_t epoch = 0; ///< Minted by the table for this start of the agent; 0: none yet.
    bool engineChecksFencing = false; ///< Whether the engine refuses old fencing numbers.
    Instant validUntil; ///< Last moment for an order to an engine that doesn't check numbers.
};

/// \brief Decides the orders to one engine, one at a time; no I/O.
///
/// Events come in as calls: a plan, a grant, the engine's report, an order's end. nextOrder()
/// is asked after each of them and as time passes.
class EngineReconciler
{
public:
    struct Limits
    {
        Megabytes memory; ///< Zero: what the engine reports.
        Duration orderLifetime{}; ///< \sa EngineMemoryTracker
        /// How long a predecessor's order may still take effect after this agent's grant, on an
        /// engine that doesn't check fencing numbers.
        Duration predecessorWait{};
        /// How far a report's holdings may lie back; zero: a report is the engine at one moment.
        Duration maxReportStaleness{};
    };
    /// Requests for a model or adapter that the agent has accepted and not finished.
    using InFlightCounter = std::function<std::size_t(const std::string &name)>;

    explicit EngineReconciler(const Limits &limits);

    /// Models and adapters that the engine should hold, bases before their adapters.
    void setPlan(std::vector<HostedModel> wanted);
    /// A grant of this agent's own epoch, the first one or a renewal.
    void applyFencingGrant(const FencingGrant &grant, Instant now);
    /// Another agent has a higher epoch: no more orders, nothing offered.
    void onSuperseded() { m_superseded = true; }
    bool isSuperseded() const { return m_superseded; }
    /// A report that was asked for at \a readFrom and had come by \a readTo.
    void applyReport(const EngineReport &report, Instant readFrom, Instant readTo);
    /// The order given out last was answered by the engine, or given up on.
    void onOrderEnded(bool answered, Instant now);

    /// The order to send now. Ask only after offered() has been put in force, so that no new
    /// request for what is to be unloaded gets in.
    std::optional<EngineOrder> nextOrder(Instant now, const InFlightCounter &inFlight);
    /// Names that requests may use: ready, of the planned version and not about to go.
    std::set<std::string> availableTargets() const;
    const std::vector<HostedModel> &reportedModels() const { return m_report.models; }
    Megabytes worstCaseMemory() const { return m_ledger.worstCaseMemory(); }
    bool mayIssueOrders(Instant now) const;

private:
    bool isWanted(const HostedModel &holding) const;
    const HostedModel *findReported(const std::string &name) const;
    const HostedModel *findOversized() const;
    bool wasLoadedWithSize(const HostedModel &wanted) const;
    bool arePredecessorOrdersSettled() const;
    bool mayLateOrderAffectPlan() const;
    std::optional<EngineOrder> makeFencingOrder(Instant now);
    std::optional<EngineOrder> nextUnloadOrder(Instant now, const InFlightCounter &inFlight);
    std::optional<EngineOrder> nextLoadOrder(Instant now);
    EngineOrder issueOrder(EngineOrder::Kind kind, const HostedModel &holding, Instant now);
    FencingToken firstFencingToken() const;

    Limits m_limits;
    EngineMemoryTracker m_ledger;
    std::vector<HostedModel> m_wanted;
    std::vector<HostedModel> m_loadedByThisAgent; // as this agent's answered loads named them
    bool m_planKnown = false;
    std::optional<FencingGrant> m_grant;
    Instant m_grantedAt; // of the first grant
    bool m_superseded = false;
    EngineReport m_report;
    std::optional<Instant> m_reportAsOf;
    std::optional<Instant> m_fencedAt; // the engine had taken a number of this epoch by then
    std::optional<EngineOrder> m_pendingOrder;
    Instant m_orderEndedAt;
    std::int64_t m_issuedOrders = 0;
};

} // namespace quetzalyoke

#endif
