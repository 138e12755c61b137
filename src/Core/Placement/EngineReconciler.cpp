#include "Core/Placement/EngineReconciler.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Orders of one epoch that have numbers of their own; the epoch is in the bits above.
constexpr std::int64_t numbersPerEpoch = std::int64_t(1) << 24;

// Unloading this takes nothing from an engine; it only raises its fencing number.
constexpr const char *fenceName = "quetzalyoke-fence";

} // namespace

EngineReconciler::EngineReconciler(const Limits &limits)
    : m_limits(limits), m_ledger(limits.memory, limits.orderLifetime)
{ }

void EngineReconciler::setPlan(std::vector<HostedModel> wanted)
{
    m_wanted = std::move(wanted);
    m_planKnown = true;
}

void EngineReconciler::applyFencingGrant(const FencingGrant &grant, Instant now)
{
    if (grant.epoch == 0 || (m_grant && grant.epoch != m_grant->epoch))
        return;
    if (!m_grant)
        m_grantedAt = now;
    const Instant validUntil
        = m_grant ? std::max(grant.validUntil, m_grant->validUntil) : grant.validUntil;
    m_grant = grant;
    m_grant->validUntil = validUntil;
    m_ledger.setFencingChecked(grant.engineChecksFencing);
}

void EngineReconciler::applyReport(const EngineReport &report, Instant readFrom, Instant readTo)
{
    const Instant asOf = readFrom - m_limits.maxReportStaleness;
    if (m_reportAsOf && asOf < *m_reportAsOf)
        return;
    m_report = report;
    m_reportAsOf = asOf;
    const bool isOfOneMoment = m_limits.maxReportStaleness == Duration();
    const Instant fencingAsOf = isOfOneMoment ? asOf : readTo;
    m_ledger.applyReport(report, asOf, fencingAsOf);
    if (!m_grant || report.highestFencingToken < firstFencingToken())
        m_fencedAt.reset();
    else if (!m_fencedAt)
        m_fencedAt = fencingAsOf;
}

void EngineReconciler::onOrderEnded(bool answered, Instant now)
{
    if (answered && m_pendingOrder) {
        m_ledger.recordOrderResponse(*m_pendingOrder, now);
        std::erase_if(m_loadedByThisAgent, [this](const HostedModel &it) {
            return it.name == m_pendingOrder->model.name;
        });
        if (m_pendingOrder->kind == EngineOrder::Kind::Load)
            m_loadedByThisAgent.push_back(m_pendingOrder->model);
    }
    m_pendingOrder.reset();
    m_orderEndedAt = now;
}

bool EngineReconciler::mayIssueOrders(Instant now) const
{
    if (!m_grant || m_superseded)
        return false;
    return m_grant->engineChecksFencing || now <= m_grant->validUntil;
}

std::optional<EngineOrder> EngineReconciler::nextOrder(Instant now, const InFlightCounter &inFlight)
{
    if (m_pendingOrder || !mayIssueOrders(now) || !m_reportAsOf)
        return std::nullopt;
    // Decide on nothing older than the last order's end.
    if (*m_reportAsOf < m_orderEndedAt)
        return std::nullopt;
    if (!arePredecessorOrdersSettled())
        return makeFencingOrder(now);
    if (!m_planKnown)
        return std::nullopt;
    if (m_grant->engineChecksFencing && mayLateOrderAffectPlan())
        return makeFencingOrder(now);
    if (auto order = nextUnloadOrder(now, inFlight))
        return order;
    return nextLoadOrder(now);
}

// An engine that checks numbers has taken one of this epoch; any other has had the time to take
// whatever a predecessor sent, and was read after that.
bool EngineReconciler::arePredecessorOrdersSettled() const
{
    if (m_grant->engineChecksFencing)
        return m_fencedAt && *m_reportAsOf >= *m_fencedAt;
    const bool isFirst = m_grant->epoch == 1;
    return isFirst || *m_reportAsOf >= m_grantedAt + m_limits.predecessorWait;
}

// Something wanted again may yet be taken away by an order that came before.
bool EngineReconciler::mayLateOrderAffectPlan() const
{
    return std::any_of(m_wanted.begin(), m_wanted.end(), [this](const HostedModel &it) {
        return m_ledger.mayBeRemoved(it) || (!findReported(it.name) && m_ledger.mayChangeSize(it));
    });
}

std::optional<EngineOrder> EngineReconciler::makeFencingOrder(Instant now)
{
    if (!m_grant->engineChecksFencing)
        return std::nullopt;
    return issueOrder(EngineOrder::Kind::Unload, {fenceName, "", Megabytes(), false, false}, now);
}

std::optional<EngineOrder> EngineReconciler::nextUnloadOrder(Instant now,
                                                             const InFlightCounter &inFlight)
{
    for (const HostedModel &it : m_report.models) {
        if (isWanted(it) || inFlight(it.name) > 0)
            continue;
        return issueOrder(EngineOrder::Kind::Unload, it, now);
    }
    return std::nullopt;
}

std::optional<EngineOrder> EngineReconciler::nextLoadOrder(Instant now)
{
    for (const HostedModel &it : m_wanted) {
        // Another version under the same name goes first: engines keep one of each name.
        if (findReported(it.name) || m_ledger.mayBeRemoved(it) || m_ledger.mayChangeSize(it)
            || !m_ledger.fits(it)) {
            continue;
        }
        return issueOrder(EngineOrder::Kind::Load, it, now);
    }
    return std::nullopt;
}

EngineOrder EngineReconciler::issueOrder(EngineOrder::Kind kind, const HostedModel &holding,
                                         Instant now)
{
    const EngineOrder order{kind, holding, firstFencingToken() + FencingToken(m_issuedOrders++)};
    m_ledger.recordOrderSent(order, now);
    m_pendingOrder = order;
    return order;
}

FencingToken EngineReconciler::firstFencingToken() const
{
    return FencingToken(m_grant->epoch * numbersPerEpoch);
}

std::set<std::string> EngineReconciler::availableTargets() const
{
    std::set<std::string> names;
    if (m_superseded)
        return names;
    for (const HostedModel &it : m_report.models) {
        if (it.isReady && isWanted(it) && !m_ledger.mayBeRemoved(it))
            names.insert(it.name);
    }
    return names;
}

bool EngineReconciler::isWanted(const HostedModel &holding) const
{
    if (&holding == findOversized())
        return false;
    return std::any_of(m_wanted.begin(), m_wanted.end(),
                       [&holding](const HostedModel &it) { return it.isSameVersion(holding); });
}

// The holding to load anew where the list has made a version smaller and the engine, which still
// holds it at its old size, has no room for the rest of the plan. A size that the engine reports
// after a load with the listed one is its own and stays.
const HostedModel *EngineReconciler::findOversized() const
{
    const HostedModel *misfit = nullptr;
    Megabytes excess;
    Megabytes needed;
    for (const HostedModel &it : m_wanted) {
        const HostedModel *held = findReported(it.name);
        if (!held || !held->isSameVersion(it) || held->memory <= it.memory) {
            needed += it.memory;
            continue;
        }
        needed += held->memory;
        const Megabytes more = held->memory - it.memory;
        if (more <= excess || wasLoadedWithSize(it))
            continue;
        excess = more;
        misfit = held;
    }
    return needed > m_ledger.totalMemory() ? misfit : nullptr;
}

bool EngineReconciler::wasLoadedWithSize(const HostedModel &wanted) const
{
    return std::any_of(m_loadedByThisAgent.begin(), m_loadedByThisAgent.end(),
                       [&wanted](const HostedModel &it) {
                           return it.isSameVersion(wanted) && it.memory == wanted.memory;
                       });
}

const HostedModel *EngineReconciler::findReported(const std::string &name) const
{
    const auto it = std::find_if(m_report.models.begin(), m_report.models.end(),
                                 [&name](const HostedModel &held) { return held.name == name; });
    return it == m_report.models.end() ? nullptr : &*it;
}

} // namespace quetzalyoke
