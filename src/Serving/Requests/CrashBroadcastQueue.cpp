#include "Serving/Requests/CrashBroadcastQueue.h"

namespace quetzalyoke {

void CrashBroadcastQueue::add(const Fingerprint &fingerprint, const std::string &incident)
{
    m_remainingSends[{fingerprint, incident}] = m_settings.sendsPerCrash;
}

std::vector<Suspicion> CrashBroadcastQueue::nextBatch()
{
    std::vector<Suspicion> told;
    for (auto it = m_remainingSends.begin();
         it != m_remainingSends.end() && told.size() < m_settings.maxPerDatagram;) {
        told.push_back({it->first.first, {it->first.second}});
        it = --it->second == 0 ? m_remainingSends.erase(it) : std::next(it);
    }
    return told;
}

std::vector<std::vector<Suspicion>>
CrashBroadcastQueue::splitIntoBatches(const std::vector<Suspicion> &suspicions) const
{
    std::vector<std::vector<Suspicion>> parts;
    for (const Suspicion &suspicion : suspicions) {
        for (const std::string &incident : suspicion.incidents) {
            if (parts.empty() || parts.back().size() == m_settings.maxPerDatagram)
                parts.emplace_back();
            parts.back().push_back({suspicion.fingerprint, {incident}});
        }
    }
    return parts;
}

} // namespace quetzalyoke
