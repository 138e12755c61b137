#ifndef QUETZALYOKE_APPS_GATEWAY_SHAREDCRASHINGREQUESTTRACKER_H
#define QUETZALYOKE_APPS_GATEWAY_SHAREDCRASHINGREQUESTTRACKER_H

#include "Core/Requests/CrashingRequestTracker.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <mutex>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A thread-safe CrashingRequestTracker that accepts suspicions from the wire.
class SharedCrashingRequestTracker
{
public:
    SharedCrashingRequestTracker();

    CrashingRequestTracker::Decision verdict(const Fingerprint &fingerprint) const;
    Duration refusalTimeLeft(const Fingerprint &fingerprint) const;
    /// Adds the suspicions reported by an agent or another gateway. For an agent, \a server is its
    /// instance, since incident ids are unique only within an agent.
    void addSuspicions(const std::vector<wire::Suspicion> &suspicions,
                       const std::string &server = {});
    /// Returns all known suspicions, to be sent to another gateway.
    std::vector<wire::Suspicion> suspicions();

private:
    mutable std::mutex m_mutex; // protects m_tracker
    CrashingRequestTracker m_tracker;
};

} // namespace quetzalyoke

#endif
