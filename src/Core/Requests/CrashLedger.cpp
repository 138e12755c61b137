#include "Core/Requests/CrashLedger.h"

#include <algorithm>

namespace quetzalyoke {

CrashLedger::CrashLedger(const Limits &limits) : m_limits(limits) { }

void CrashLedger::add(const Suspicion &suspicion, Instant now)
{
    Entry &entry = m_entries[suspicion.fingerprint];
    const std::size_t known = entry.incidents.size();
    entry.incidents.insert(suspicion.incidents.begin(), suspicion.incidents.end());
    // Only news prolongs the memory; otherwise instances would keep it alive among each other.
    if (entry.incidents.size() > known)
        entry.lastAt = now;
    if (m_entries.size() > m_limits.fingerprints)
        dropOldest();
}

CrashLedger::Verdict CrashLedger::verdict(const Fingerprint &fingerprint, Instant now) const
{
    const Entry *entry = find(fingerprint, now);
    if (!entry)
        return Verdict::Clear;
    return entry->incidents.size() < m_limits.crashes ? Verdict::RunAlone : Verdict::Refuse;
}

Duration CrashLedger::remaining(const Fingerprint &fingerprint, Instant now) const
{
    const Entry *entry = find(fingerprint, now);
    return entry ? entry->lastAt + m_limits.memory - now : Duration::zero();
}

std::vector<Suspicion> CrashLedger::suspicions(Instant now) const
{
    std::vector<Suspicion> list;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.lastAt + m_limits.memory > now)
            list.push_back({fingerprint, entry.incidents});
    }
    return list;
}

void CrashLedger::expire(Instant now)
{
    std::erase_if(m_entries,
                  [&](const auto &it) { return it.second.lastAt + m_limits.memory <= now; });
}

const CrashLedger::Entry *CrashLedger::find(const Fingerprint &fingerprint, Instant now) const
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end() || it->second.lastAt + m_limits.memory <= now)
        return nullptr;
    return &it->second;
}

void CrashLedger::dropOldest()
{
    const auto oldest
        = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
              return a.second.lastAt < b.second.lastAt;
          });
    m_entries.erase(oldest);
}

} // namespace quetzalyoke
