#include "Serving/Requests/CrashBroadcastQueue.h"

namespace quetzalyoke {

void CrashBroadcastQueue::add(const Fingerprint &fingerprint, const std::string &incident)
{
    m_remainingSends[{fingerprint, incident}] = m_settings.sendsPerCrash;
}

std::vector<Suspicion> CrashBroadcastQueue::nextBatch()
{
    std::vector<Suspicion> batch;
    for (auto it = m_remainingSends.begin();
         it != m_remainingSends.end() && batch.size() < m_settings.maxPerDatagram;) {
        batch.push_back({it->first.first, {it->first.second}});
        it = --it->second == 0 ? m_remainingSends.erase(it) : std::next(it);
    }
    return batch;
}

std::vector<std::vector<Suspicion>>
CrashBroadcastQueue::splitIntoBatches(const std::vector<Suspicion> &suspicions) const
{
    std::vector<std::vector<Suspicion>> batches;
    for (const Suspicion &suspicion : suspicions) {
        for (const std::string &incident : suspicion.incidents) {
            if (batches.empty() || batches.back().size() == m_settings.maxPerDatagram)
                batches.emplace_back();
            batches.back().push_back({suspicion.fingerprint, {incident}});
        }
    }
    return batches;
}

} // namespace quetzalyoke
