#ifndef QUETZALYOKE_APPS_GATEWAY_SHAREDCRASHINGREQUESTTRACKER_H
#define QUETZALYOKE_APPS_GATEWAY_SHAREDCRASHINGREQUESTTRACKER_H

#include "Core/Requests/CrashingRequestTracker.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <mutex>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The gateway's CrashingRequestTracker, shared by its threads.
class SharedCrashingRequestTracker
{
public:
    SharedCrashingRequestTracker();

    CrashingRequestTracker::Decision verdict(const Fingerprint &fingerprint) const;
    Duration refusalTimeLeft(const Fingerprint &fingerprint) const;
    /// Takes what an agent or another gateway tells. \a server names the reporting agent where
    /// it is one, since its incident ids are its own.
    void addSuspicions(const std::vector<wire::Suspicion> &suspicions,
                       const std::string &server = {});
    /// All that is known, for another gateway.
    std::vector<wire::Suspicion> suspicions();

private:
    mutable std::mutex m_mutex; // of the member below
    CrashingRequestTracker m_ledger;
};

} // namespace quetzalyoke

#endif
