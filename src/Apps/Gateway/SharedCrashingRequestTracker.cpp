#include "Apps/Gateway/SharedCrashingRequestTracker.h"

#include "Adapters/Process.h"

namespace quetzalyoke {

SharedCrashingRequestTracker::SharedCrashingRequestTracker()
    : m_tracker(CrashingRequestTracker::Limits())
{ }

CrashingRequestTracker::Decision
SharedCrashingRequestTracker::verdict(const Fingerprint &fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_tracker.decide(fingerprint, Process::now());
}

Duration SharedCrashingRequestTracker::refusalTimeLeft(const Fingerprint &fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_tracker.refusalTimeLeft(fingerprint, Process::now());
}

void SharedCrashingRequestTracker::addSuspicions(const std::vector<wire::Suspicion> &suspicions,
                                                 const std::string &server)
{
    std::string prefix = server;
    if (!prefix.empty())
        prefix += '/';
    const std::lock_guard lock(m_mutex);
    for (const wire::Suspicion &it : suspicions) {
        Suspicion suspicion{Fingerprint(it.fingerprint), {}};
        for (const std::string &incident : it.incidents)
            suspicion.incidents.insert(prefix + incident);
        m_tracker.add(suspicion, Process::now());
    }
}

std::vector<wire::Suspicion> SharedCrashingRequestTracker::suspicions()
{
    const std::lock_guard lock(m_mutex);
    m_tracker.removeExpired(Process::now());
    std::vector<wire::Suspicion> list;
    for (const Suspicion &it : m_tracker.suspicions(Process::now())) {
        wire::Suspicion suspicion;
        suspicion.fingerprint = it.fingerprint.text();
        suspicion.incidents.assign(it.incidents.begin(), it.incidents.end());
        list.push_back(suspicion);
    }
    return list;
}

} // namespace quetzalyoke
