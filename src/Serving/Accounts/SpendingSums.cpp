#include "Serving/Accounts/SpendingSums.h"

namespace quetzalyoke {

namespace {

// A silent source is remembered this long. By then it has forgotten this gateway's messages, too.
constexpr Duration sourceRetention = std::chrono::minutes(1);

void add(SpendingByAccount &to, const SpendingByAccount &from)
{
    for (const auto &[account, spending] : from) {
        AccountSpending &sum = to[account];
        sum.spent += spending.spent;
        sum.requested += spending.requested;
    }
}

} // namespace

void SpendingSums::updateMember(const MessageOrigin &member, const SpendingSum &own, Instant now)
{
    updateSource(m_members, member, own, now);
}

void SpendingSums::updateAggregator(const MessageOrigin &aggregator, const SpendingSum &sum,
                                    Instant now)
{
    updateSource(m_aggregators, aggregator, sum, now);
}

void SpendingSums::updateSource(Sources &sources, const MessageOrigin &origin,
                                const SpendingSum &sum, Instant now)
{
    Source &source = sources.byName[origin.instance];
    if (origin.incarnation < source.incarnation)
        return;
    const bool isNew = !source.isActive && !sum.isAllFresh;
    const bool isRestart = source.incarnation < origin.incarnation;
    if (!isRestart && origin.sequence < source.sequence)
        return;
    if (isRestart)
        source.reported.clear();
    for (const auto &[account, spending] : sum.accounts) {
        const AccountSpending before = source.reported[account];
        source.reported[account] = spending;
        if (isNew)
            continue; // it was partly reported to another aggregator meanwhile
        const AccountSpending increase{spending.spent - before.spent,
                                       spending.requested - before.requested};
        add(source.counted, {{account, increase}});
        add(sources.total, {{account, increase}});
    }
    source.incarnation = origin.incarnation;
    source.sequence = origin.sequence;
    source.heardAt = now;
    source.isActive = true;
    source.gatewayCount = sum.gatewayCount;
}

void SpendingSums::excludeSilentSources(Instant now)
{
    for (Sources *sources : {&m_members, &m_aggregators}) {
        for (auto &[name, source] : sources->byName)
            source.isActive = source.isActive && now - source.heardAt <= m_silenceTimeout;
        std::erase_if(sources->byName, [&](const auto &entry) {
            return now - entry.second.heardAt > sourceRetention;
        });
    }
}

std::size_t SpendingSums::countGateways(const Sources &sources)
{
    std::size_t n = 0;
    for (const auto &[name, source] : sources.byName)
        n += source.isActive ? source.gatewayCount : 0;
    return n;
}

SpendingSum SpendingSums::sumOfMembers() const
{
    return {m_members.total, countGateways(m_members)};
}

SpendingSum SpendingSums::sumOfOthers(const InstanceId &member) const
{
    SpendingSum sum = sumOfMembers();
    const auto it = m_members.byName.find(member);
    if (it != m_members.byName.end()) {
        sum.gatewayCount -= it->second.isActive ? 1 : 0;
        for (const auto &[account, spending] : it->second.counted) {
            sum.accounts[account].spent -= spending.spent;
            sum.accounts[account].requested -= spending.requested;
        }
    }
    add(sum.accounts, m_aggregators.total);
    sum.gatewayCount += countGateways(m_aggregators);
    return sum;
}

std::vector<InstanceId> SpendingSums::activeSources(const Sources &sources)
{
    std::vector<InstanceId> names;
    for (const auto &[name, source] : sources.byName) {
        if (source.isActive)
            names.push_back(name);
    }
    return names;
}

std::vector<InstanceId> SpendingSums::members() const
{
    return activeSources(m_members);
}

std::vector<InstanceId> SpendingSums::aggregators() const
{
    return activeSources(m_aggregators);
}

} // namespace quetzalyoke
