#include "Serving/Accounts/SpendingSums.h"

namespace quetzalyoke {

namespace {

// Of a silent source; by then it has forgotten what this gateway told it, too.
constexpr Duration memory = std::chrono::minutes(1);

void add(SpendingByAccount &to, const SpendingByAccount &from)
{
    for (const auto &[account, spending] : from) {
        AccountSpending &sum = to[account];
        sum.spent += spending.spent;
        sum.asked += spending.asked;
    }
}

} // namespace

void SpendingSums::takeMember(const NewsOrigin &member, const SpendingSum &own, Instant now)
{
    take(m_members, member, own, now);
}

void SpendingSums::takeSpeaker(const NewsOrigin &speaker, const SpendingSum &sum, Instant now)
{
    take(m_speakers, speaker, sum, now);
}

void SpendingSums::take(Sources &sources, const NewsOrigin &origin, const SpendingSum &sum,
                        Instant now)
{
    Source &source = sources.byName[origin.instance];
    if (origin.incarnation < source.incarnation)
        return;
    const bool isNew = !source.isHeard && !sum.isAllFresh;
    const bool isRestart = source.incarnation < origin.incarnation;
    if (!isRestart && origin.sequence < source.sequence)
        return;
    if (isRestart)
        source.told.clear();
    for (const auto &[account, spending] : sum.accounts) {
        const AccountSpending before = source.told[account];
        source.told[account] = spending;
        if (isNew)
            continue; // told in part to another speaker meanwhile
        const AccountSpending fresh{spending.spent - before.spent, spending.asked - before.asked};
        add(source.counted, {{account, fresh}});
        add(sources.total, {{account, fresh}});
    }
    source.incarnation = origin.incarnation;
    source.sequence = origin.sequence;
    source.heardAt = now;
    source.isHeard = true;
    source.gateways = sum.gateways;
}

void SpendingSums::expire(Instant now)
{
    for (Sources *sources : {&m_members, &m_speakers}) {
        for (auto &[name, source] : sources->byName)
            source.isHeard = source.isHeard && now - source.heardAt <= m_silence;
        std::erase_if(sources->byName,
                      [&](const auto &entry) { return now - entry.second.heardAt > memory; });
    }
}

std::size_t SpendingSums::gatewaysIn(const Sources &sources)
{
    std::size_t n = 0;
    for (const auto &[name, source] : sources.byName)
        n += source.isHeard ? source.gateways : 0;
    return n;
}

SpendingSum SpendingSums::ofMembers() const
{
    return {m_members.total, gatewaysIn(m_members)};
}

SpendingSum SpendingSums::ofOthers(const InstanceId &member) const
{
    SpendingSum sum = ofMembers();
    const auto it = m_members.byName.find(member);
    if (it != m_members.byName.end()) {
        sum.gateways -= it->second.isHeard ? 1 : 0;
        for (const auto &[account, spending] : it->second.counted) {
            sum.accounts[account].spent -= spending.spent;
            sum.accounts[account].asked -= spending.asked;
        }
    }
    add(sum.accounts, m_speakers.total);
    sum.gateways += gatewaysIn(m_speakers);
    return sum;
}

std::vector<InstanceId> SpendingSums::heard(const Sources &sources)
{
    std::vector<InstanceId> names;
    for (const auto &[name, source] : sources.byName) {
        if (source.isHeard)
            names.push_back(name);
    }
    return names;
}

std::vector<InstanceId> SpendingSums::members() const
{
    return heard(m_members);
}

std::vector<InstanceId> SpendingSums::speakers() const
{
    return heard(m_speakers);
}

} // namespace quetzalyoke
