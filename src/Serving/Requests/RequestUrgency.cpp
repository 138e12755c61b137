#include "Serving/Requests/RequestUrgency.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Beyond this an account's requests would wait so long that their callers leave.
constexpr double maxExcess = 3;

// Objectives that a request waits before it gains a priority. Within one it is in time, and its
// caller's patience lasts for at least four.
constexpr int objectivesPerPriority = 2;

// Classes count as present for this long. A gateway of many sees only a few requests per second.
constexpr Duration classRetention = std::chrono::seconds(2);

// A shortage counts as over when no request has been refused for this long.
constexpr Duration shortageRetention = std::chrono::seconds(2);

} // namespace

void AccountWork::add(const AccountId &account)
{
    if (account.isEmpty())
        return;
    ++m_requests[account];
    ++m_total;
}

void AccountWork::remove(const AccountId &account)
{
    const auto it = m_requests.find(account);
    if (it == m_requests.end())
        return;
    --m_total;
    if (--it->second == 0)
        m_requests.erase(it);
}

double AccountWork::excess(const AccountId &account) const
{
    const auto it = m_requests.find(account);
    if (it == m_requests.end())
        return 0;
    const double mean = static_cast<double>(m_total) / static_cast<double>(m_requests.size());
    return std::clamp(it->second / mean - 1, 0.0, maxExcess);
}

UrgencyRank urgencyRank(const RequestUrgency &urgency, const AccountWork &work, Instant now)
{
    const Duration waited = now - urgency.arrivedAt;
    const Duration agingTime = std::max(Duration(1), urgency.objective * objectivesPerPriority);
    UrgencyRank rank;
    rank.priority
        = static_cast<int>(std::max<std::int64_t>(0, urgency.priority - waited / agingTime));
    rank.isLate = waited >= urgency.objective;
    rank.objectiveAt = urgency.arrivedAt + urgency.objective
        + scaled(urgency.objective, work.excess(urgency.account));
    return rank;
}

void RecentUrgencies::record(const RequestUrgency &urgency, Instant now)
{
    auto &arrivals = m_lastArrivals[urgency.service];
    std::erase_if(arrivals,
                  [now](const auto &entry) { return now - entry.second > classRetention; });
    arrivals[{urgency.priority, urgency.objective}] = now;
}

std::optional<Duration> RecentUrgencies::moreUrgentObjective(const RequestUrgency &urgency,
                                                             Instant now) const
{
    const auto arrivals = m_lastArrivals.find(urgency.service);
    if (arrivals == m_lastArrivals.end())
        return {};
    std::optional<Duration> shortest;
    for (const auto &[key, lastAt] : arrivals->second) {
        const auto &[priority, objective] = key;
        if (now - lastAt > classRetention || key >= Class(urgency.priority, urgency.objective))
            continue;
        shortest = std::min(shortest.value_or(objective), objective);
    }
    return shortest;
}

void RecentUrgencies::recordShortage(const RequestUrgency &urgency, const AccountWork &work,
                                     Instant now)
{
    std::erase_if(m_lastRefusals, [now](const auto &entry) {
        const std::map<Class, Instant> &refusals = entry.second;
        return std::all_of(refusals.begin(), refusals.end(), [now](const auto &refusal) {
            return now - refusal.second > shortageRetention;
        });
    });
    m_lastRefusals[{urgency.service, urgency.model}][{urgency.priority, urgency.objective}] = now;
    std::erase_if(m_lastRefusalsWithoutExcess,
                  [now](const auto &entry) { return now - entry.second > shortageRetention; });
    if (work.excess(urgency.account) <= 0)
        m_lastRefusalsWithoutExcess[{urgency.service, urgency.model}] = now;
}

double RecentUrgencies::excessInShortage(const RequestUrgency &urgency, const AccountWork &work,
                                         Instant now) const
{
    const auto refused = m_lastRefusalsWithoutExcess.find({urgency.service, urgency.model});
    if (refused == m_lastRefusalsWithoutExcess.end() || now - refused->second > shortageRetention)
        return 0;
    return work.excess(urgency.account);
}

bool RecentUrgencies::areMoreUrgentRefused(const RequestUrgency &urgency, Instant now) const
{
    const auto pool = m_lastRefusals.find({urgency.service, urgency.model});
    if (pool == m_lastRefusals.end())
        return false;
    const Class own(urgency.priority, urgency.objective);
    return std::any_of(pool->second.begin(), pool->second.end(), [&](const auto &entry) {
        return entry.first < own && now - entry.second <= shortageRetention;
    });
}

} // namespace quetzalyoke
