#include "Core/Placement/EngineReconciler.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Number of fencing tokens per epoch. The epoch is in the bits above.
constexpr std::int64_t tokensPerEpoch = std::int64_t(1) << 24;

// No engine has a model of this name, so an order to unload it only raises the engine's fencing
// token.
constexpr const char *fencingModelName = "quetzalyoke-fence";

} // namespace

EngineReconciler::EngineReconciler(const Limits &limits)
    : m_limits(limits), m_memoryTracker(limits.memory, limits.orderLifetime)
{ }

void EngineReconciler::setPlan(std::vector<HostedModel> plannedModels)
{
    m_plannedModels = std::move(plannedModels);
    m_hasPlan = true;
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
    m_memoryTracker.setFencingChecked(grant.engineChecksFencing);
}

void EngineReconciler::applyReport(const EngineReport &report, Instant requestedAt,
                                   Instant receivedAt)
{
    const Instant asOf = requestedAt - m_limits.maxReportStaleness;
    if (m_reportAsOf && asOf < *m_reportAsOf)
        return;
    m_report = report;
    m_reportAsOf = asOf;
    const bool isSinglePointInTime = m_limits.maxReportStaleness == Duration();
    const Instant fencingAsOf = isSinglePointInTime ? asOf : receivedAt;
    m_memoryTracker.applyReport(report, asOf, fencingAsOf);
    if (!m_grant || report.highestFencingToken < firstFencingToken())
        m_fencingEffectiveAt.reset();
    else if (!m_fencingEffectiveAt)
        m_fencingEffectiveAt = fencingAsOf;
}

void EngineReconciler::onOrderEnded(bool hasResponse, Instant now)
{
    if (hasResponse && m_pendingOrder) {
        m_memoryTracker.recordOrderResponse(*m_pendingOrder, now);
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
    // A report from before the end of the last order may not show its effect.
    if (*m_reportAsOf < m_orderEndedAt)
        return std::nullopt;
    if (!arePredecessorOrdersSettled())
        return makeFencingOrder(now);
    if (!m_hasPlan)
        return std::nullopt;
    if (m_grant->engineChecksFencing && mayLateOrderAffectPlan())
        return makeFencingOrder(now);
    if (auto order = nextUnloadOrder(now, inFlight))
        return order;
    return nextLoadOrder(now);
}

// An engine that checks fencing tokens must have accepted one of this epoch. For any other engine,
// the time in which a predecessor's orders may take effect must have passed before the report.
bool EngineReconciler::arePredecessorOrdersSettled() const
{
    if (m_grant->engineChecksFencing)
        return m_fencingEffectiveAt && *m_reportAsOf >= *m_fencingEffectiveAt;
    const bool isFirst = m_grant->epoch == 1;
    return isFirst || *m_reportAsOf >= m_grantedAt + m_limits.predecessorWait;
}

// An earlier order may still remove a model that is planned again.
bool EngineReconciler::mayLateOrderAffectPlan() const
{
    return std::any_of(
        m_plannedModels.begin(), m_plannedModels.end(), [this](const HostedModel &it) {
            return m_memoryTracker.mayBeRemoved(it)
                || (!findReportedModel(it.name) && m_memoryTracker.mayChangeSize(it));
        });
}

std::optional<EngineOrder> EngineReconciler::makeFencingOrder(Instant now)
{
    if (!m_grant->engineChecksFencing)
        return std::nullopt;
    return issueOrder(EngineOrder::Kind::Unload, {fencingModelName, "", Megabytes(), false, false},
                      now);
}

std::optional<EngineOrder> EngineReconciler::nextUnloadOrder(Instant now,
                                                             const InFlightCounter &inFlight)
{
    for (const HostedModel &it : m_report.models) {
        if (isPlanned(it) || inFlight(it.name) > 0)
            continue;
        return issueOrder(EngineOrder::Kind::Unload, it, now);
    }
    return std::nullopt;
}

std::optional<EngineOrder> EngineReconciler::nextLoadOrder(Instant now)
{
    for (const HostedModel &it : m_plannedModels) {
        // Another version under the same name is unloaded first: an engine keeps one per name.
        if (findReportedModel(it.name) || m_memoryTracker.mayBeRemoved(it)
            || m_memoryTracker.mayChangeSize(it) || !m_memoryTracker.fits(it)) {
            continue;
        }
        return issueOrder(EngineOrder::Kind::Load, it, now);
    }
    return std::nullopt;
}

EngineOrder EngineReconciler::issueOrder(EngineOrder::Kind kind, const HostedModel &model,
                                         Instant now)
{
    const EngineOrder order{kind, model, firstFencingToken() + FencingToken(m_issuedOrders++)};
    m_memoryTracker.recordOrderSent(order, now);
    m_pendingOrder = order;
    return order;
}

FencingToken EngineReconciler::firstFencingToken() const
{
    return FencingToken(m_grant->epoch * tokensPerEpoch);
}

std::set<std::string> EngineReconciler::availableTargets() const
{
    std::set<std::string> names;
    if (m_superseded)
        return names;
    for (const HostedModel &it : m_report.models) {
        if (it.isReady && isPlanned(it) && !m_memoryTracker.mayBeRemoved(it))
            names.insert(it.name);
    }
    return names;
}

bool EngineReconciler::isPlanned(const HostedModel &model) const
{
    if (&model == findOversizedModel())
        return false;
    return std::any_of(m_plannedModels.begin(), m_plannedModels.end(),
                       [&model](const HostedModel &it) { return it.isSameVersion(model); });
}

// Returns the model to reload if the service list has reduced the size of a version and the engine,
// which still has it loaded at its old size, lacks memory for the rest of the plan. If the engine
// reports another size after a load order with the listed size, that is the actual size and the
// model stays.
const HostedModel *EngineReconciler::findOversizedModel() const
{
    const HostedModel *oversized = nullptr;
    Megabytes excess;
    Megabytes needed;
    for (const HostedModel &it : m_plannedModels) {
        const HostedModel *loaded = findReportedModel(it.name);
        if (!loaded || !loaded->isSameVersion(it) || loaded->memory <= it.memory) {
            needed += it.memory;
            continue;
        }
        needed += loaded->memory;
        const Megabytes modelExcess = loaded->memory - it.memory;
        if (modelExcess <= excess || wasLoadedWithSize(it))
            continue;
        excess = modelExcess;
        oversized = loaded;
    }
    return needed > m_memoryTracker.totalMemory() ? oversized : nullptr;
}

bool EngineReconciler::wasLoadedWithSize(const HostedModel &planned) const
{
    return std::any_of(m_loadedByThisAgent.begin(), m_loadedByThisAgent.end(),
                       [&planned](const HostedModel &it) {
                           return it.isSameVersion(planned) && it.memory == planned.memory;
                       });
}

const HostedModel *EngineReconciler::findReportedModel(const std::string &name) const
{
    const auto it = std::find_if(m_report.models.begin(), m_report.models.end(),
                                 [&name](const HostedModel &model) { return model.name == name; });
    return it == m_report.models.end() ? nullptr : &*it;
}

} // namespace quetzalyoke
