#include "Serving/Requests/CrashBroadcastQueue.h"

#include <algorithm>

namespace quetzalyoke {

void CrashBroadcastQueue::add(const CrashRecord &record, bool isUrgent)
{
    insert({record.suspect, record.incident}, {record, false}, isUrgent);
}

void CrashBroadcastQueue::addSurvival(const Fingerprint &suspect, bool isUrgent)
{
    const auto isOfSuspect = [&suspect](const auto &it) { return it.first.first == suspect; };
    std::erase_if(m_urgent.entries, isOfSuspect);
    std::erase_if(m_other.entries, isOfSuspect);
    std::erase_if(m_forHolder,
                  [&suspect](const CrashNews &it) { return it.record.suspect == suspect; });
    insert({suspect, {}}, {{suspect, {}, {}}, true}, isUrgent);
}

void CrashBroadcastQueue::insert(const Key &key, const CrashNews &news, bool isUrgent)
{
    m_other.entries.erase(key);
    (isUrgent ? m_urgent : m_other).entries[key] = {news, m_settings.sendsPerCrash};
    if (isUrgent)
        return;
    m_forHolder.push_back(news);
    if (m_forHolder.size() > m_settings.maxForHolder)
        m_forHolder.pop_front();
}

std::vector<CrashNews> CrashBroadcastQueue::nextBatch()
{
    std::vector<CrashNews> batch;
    takeFrom(m_urgent, batch);
    takeFrom(m_other, batch);
    return batch;
}

std::vector<CrashNews> CrashBroadcastQueue::nextUrgentBatch()
{
    std::vector<CrashNews> batch;
    takeFrom(m_urgent, batch);
    return batch;
}

std::vector<CrashNews> CrashBroadcastQueue::nextHolderBatch()
{
    const std::size_t count = std::min(m_forHolder.size(), m_settings.maxPerDatagram);
    const auto end = m_forHolder.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<CrashNews> batch(m_forHolder.begin(), end);
    m_forHolder.erase(m_forHolder.begin(), end);
    return batch;
}

void CrashBroadcastQueue::takeFrom(Queue &queue, std::vector<CrashNews> &batch) const
{
    auto &entries = queue.entries;
    auto it = entries.upper_bound(queue.lastTaken);
    const std::size_t available = entries.size();
    for (std::size_t n = 0; n < available && batch.size() < m_settings.maxPerDatagram; ++n) {
        if (it == entries.end())
            it = entries.begin();
        batch.push_back(it->second.news);
        queue.lastTaken = it->first;
        it = --it->second.remainingSends == 0 ? entries.erase(it) : std::next(it);
    }
}

std::vector<std::vector<CrashNews>>
CrashBroadcastQueue::splitIntoBatches(const std::vector<CrashRecord> &records) const
{
    std::vector<std::vector<CrashNews>> batches;
    for (const CrashRecord &record : records) {
        if (batches.empty() || batches.back().size() == m_settings.maxPerDatagram)
            batches.emplace_back();
        batches.back().push_back({record, false});
    }
    return batches;
}

} // namespace quetzalyoke
