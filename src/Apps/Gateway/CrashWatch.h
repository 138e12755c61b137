#ifndef QUETZALYOKE_APPS_GATEWAY_CRASHWATCH_H
#define QUETZALYOKE_APPS_GATEWAY_CRASHWATCH_H

#include "Core/Requests/CrashLedger.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <mutex>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The gateway's CrashLedger, shared by its threads.
class CrashWatch
{
public:
    CrashWatch();

    CrashLedger::Verdict verdict(const Fingerprint &fingerprint) const;
    Duration remaining(const Fingerprint &fingerprint) const;
    /// Takes what an agent or another gateway tells. \a server names the reporting agent where
    /// it is one, since its incident ids are its own.
    void add(const std::vector<wire::Suspicion> &suspicions, const std::string &server = {});
    /// All that is known, for another gateway.
    std::vector<wire::Suspicion> suspicions();

private:
    mutable std::mutex m_mutex; // of the member below
    CrashLedger m_ledger;
};

} // namespace quetzalyoke

#endif
