#include "Apps/Gateway/CrashWatch.h"

#include "Adapters/Process.h"

namespace quetzalyoke {

CrashWatch::CrashWatch() : m_ledger(CrashLedger::Limits()) { }

CrashLedger::Verdict CrashWatch::verdict(const Fingerprint &fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.verdict(fingerprint, Process::now());
}

Duration CrashWatch::remaining(const Fingerprint &fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.remaining(fingerprint, Process::now());
}

void CrashWatch::add(const std::vector<wire::Suspicion> &suspicions, const std::string &server)
{
    std::string prefix = server;
    if (!prefix.empty())
        prefix += '/';
    const std::lock_guard lock(m_mutex);
    for (const wire::Suspicion &it : suspicions) {
        Suspicion suspicion{Fingerprint(it.fingerprint), {}};
        for (const std::string &incident : it.incidents)
            suspicion.incidents.insert(prefix + incident);
        m_ledger.add(suspicion, Process::now());
    }
}

std::vector<wire::Suspicion> CrashWatch::suspicions()
{
    const std::lock_guard lock(m_mutex);
    m_ledger.expire(Process::now());
    std::vector<wire::Suspicion> list;
    for (const Suspicion &it : m_ledger.suspicions(Process::now())) {
        wire::Suspicion suspicion;
        suspicion.fingerprint = it.fingerprint.text();
        suspicion.incidents.assign(it.incidents.begin(), it.incidents.end());
        list.push_back(suspicion);
    }
    return list;
}

} // namespace quetzalyoke
