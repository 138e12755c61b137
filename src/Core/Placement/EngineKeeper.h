#ifndef QUETZALYOKE_CORE_PLACEMENT_ENGINEKEEPER_H
#define QUETZALYOKE_CORE_PLACEMENT_ENGINEKEEPER_H

#include "Core/Placement/MemoryLedger.h"

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
    bool checked = false; ///< Whether the engine refuses old fencing numbers.
    Instant validUntil; ///< Last moment for an order to an engine that doesn't check numbers.
};

/// \brief Decides the orders to one engine, one at a time; no I/O.
///
/// Events come in as calls: a plan, a grant, the engine's report, an order's end. nextOrder()
/// is asked after each of them and as time passes.
class EngineKeeper
{
public:
    struct Limits
    {
        Megabytes memory; ///< Zero: what the engine reports.
        Duration orderLifetime{}; ///< \sa MemoryLedger
        /// How long a predecessor's order may still take effect after this agent's grant, on an
        /// engine that doesn't check fencing numbers.
        Duration predecessorWait{};
        /// How far a report's holdings may lie back; zero: a report is the engine at one moment.
        Duration reportLag{};
    };
    /// Requests for a model or adapter that the agent has accepted and not finished.
    using InFlight = std::function<std::size_t(const std::string &name)>;

    explicit EngineKeeper(const Limits &limits);

    /// Models and adapters that the engine should hold, bases before their adapters.
    void setPlan(std::vector<Holding> wanted);
    /// A grant of this agent's own epoch, the first one or a renewal.
    void grant(const FencingGrant &grant, Instant now);
    /// Another agent has a higher epoch: no more orders, nothing offered.
    void supersede() { m_superseded = true; }
    bool isSuperseded() const { return m_superseded; }
    /// A report that was asked for at \a readFrom and had come by \a readTo.
    void takeReport(const EngineReport &report, Instant readFrom, Instant readTo);
    /// The order given out last was answered by the engine, or given up on.
    void orderEnded(bool answered, Instant now);

    /// The order to send now. Ask only after offered() has been put in force, so that no new
    /// request for what is to be unloaded gets in.
    std::optional<EngineOrder> nextOrder(Instant now, const InFlight &inFlight);
    /// Names that requests may use: ready, of the planned version and not about to go.
    std::set<std::string> offered() const;
    const std::vector<Holding> &held() const { return m_report.holdings; }
    Megabytes worstCase() const { return m_ledger.worstCase(); }
    bool mayOrder(Instant now) const;

private:
    bool isWanted(const Holding &holding) const;
    const Holding *findHeld(const std::string &name) const;
    const Holding *findMisfit() const;
    bool wasLoadedAs(const Holding &wanted) const;
    bool hasOutlivedPredecessor() const;
    bool awaitsLateOrder() const;
    std::optional<EngineOrder> fenceOrder(Instant now);
    std::optional<EngineOrder> unloadOrder(Instant now, const InFlight &inFlight);
    std::optional<EngineOrder> loadOrder(Instant now);
    EngineOrder give(EngineOrder::Kind kind, const Holding &holding, Instant now);
    FencingNumber firstNumber() const;

    Limits m_limits;
    MemoryLedger m_ledger;
    std::vector<Holding> m_wanted;
    std::vector<Holding> m_loaded; // as this agent's answered loads named them
    bool m_planKnown = false;
    std::optional<FencingGrant> m_grant;
    Instant m_grantedAt; // of the first grant
    bool m_superseded = false;
    EngineReport m_report;
    std::optional<Instant> m_reportAsOf;
    std::optional<Instant> m_fencedAt; // the engine had taken a number of this epoch by then
    std::optional<EngineOrder> m_orderOut;
    Instant m_orderEndedAt;
    std::int64_t m_orders = 0;
};

} // namespace quetzalyoke

#endif
