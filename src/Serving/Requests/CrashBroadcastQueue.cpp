#include "Serving/Requests/CrashBroadcastQueue.h"

namespace quetzalyoke {

void CrashBroadcastQueue::add(const CrashRecord &record)
{
    m_entries[{record.suspect, record.incident}] = {{record, false}, m_settings.sendsPerCrash};
}

void CrashBroadcastQueue::addSurvival(const Fingerprint &suspect)
{
    std::erase_if(m_entries, [&suspect](const auto &it) { return it.first.first == suspect; });
    m_entries[{suspect, {}}] = {{{suspect, {}, {}}, true}, m_settings.sendsPerCrash};
}

std::vector<CrashNews> CrashBroadcastQueue::nextBatch()
{
    std::vector<CrashNews> batch;
    for (auto it = m_entries.begin();
         it != m_entries.end() && batch.size() < m_settings.maxPerDatagram;) {
        batch.push_back(it->second.news);
        it = --it->second.remainingSends == 0 ? m_entries.erase(it) : std::next(it);
    }
    return batch;
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
