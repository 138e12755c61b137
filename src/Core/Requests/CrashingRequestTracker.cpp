#include "Core/Requests/CrashingRequestTracker.h"

#include <algorithm>

namespace quetzalyoke {

CrashingRequestTracker::CrashingRequestTracker(const Limits &limits) : m_limits(limits) { }

void CrashingRequestTracker::add(const Suspicion &suspicion, Instant now)
{
    Entry &entry = m_entries[suspicion.fingerprint];
    const std::size_t oldCount = entry.incidents.size();
    entry.incidents.insert(suspicion.incidents.begin(), suspicion.incidents.end());
    // Only a new incident extends the retention. Otherwise instances that send each other the same
    // incidents would keep an entry forever.
    if (entry.incidents.size() > oldCount)
        entry.lastIncidentAt = now;
    if (m_entries.size() > m_limits.maxFingerprints)
        removeOldest();
}

CrashingRequestTracker::Decision CrashingRequestTracker::decide(const Fingerprint &fingerprint,
                                                                Instant now) const
{
    const Entry *entry = find(fingerprint, now);
    if (!entry)
        return Decision::Allow;
    return entry->incidents.size() < m_limits.refuseAfterCrashes ? Decision::RunAlone
                                                                 : Decision::Refuse;
}

Duration CrashingRequestTracker::refusalTimeLeft(const Fingerprint &fingerprint, Instant now) const
{
    const Entry *entry = find(fingerprint, now);
    return entry ? entry->lastIncidentAt + m_limits.retention - now : Duration::zero();
}

std::vector<Suspicion> CrashingRequestTracker::suspicions(Instant now) const
{
    std::vector<Suspicion> unexpired;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.lastIncidentAt + m_limits.retention > now)
            unexpired.push_back({fingerprint, entry.incidents});
    }
    return unexpired;
}

void CrashingRequestTracker::removeExpired(Instant now)
{
    std::erase_if(m_entries, [&](const auto &it) {
        return it.second.lastIncidentAt + m_limits.retention <= now;
    });
}

const CrashingRequestTracker::Entry *CrashingRequestTracker::find(const Fingerprint &fingerprint,
                                                                  Instant now) const
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end() || it->second.lastIncidentAt + m_limits.retention <= now)
        return nullptr;
    return &it->second;
}

void CrashingRequestTracker::removeOldest()
{
    const auto oldest
        = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
              return a.second.lastIncidentAt < b.second.lastIncidentAt;
          });
    m_entries.erase(oldest);
}

} // namespace quetzalyoke
