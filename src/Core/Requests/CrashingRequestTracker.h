#ifndef QUETZALYOKE_CORE_REQUESTS_CRASHINGREQUESTTRACKER_H
#define QUETZALYOKE_CORE_REQUESTS_CRASHINGREQUESTTRACKER_H

#include "Core/StrongTypes.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief The backend server crashes during which a request was in flight.
struct Suspicion
{
    Fingerprint fingerprint;
    std::set<std::string> incidents; ///< One id for each crash, the same on every instance.
};

/// \brief Finds requests that crash the backend servers that run them.
///
/// A request is identified by a fingerprint of its client account and body. After one crash it runs
/// only alone on a server, so that other requests are neither lost nor suspected with it; after the
/// second crash it is refused. Incidents are merged by id, so that instances can send the same
/// incidents to each other any number of times.
class CrashingRequestTracker
{
public:
    enum class Decision {
        Allow,
        RunAlone, ///< The request was in flight during one crash.
        Refuse, ///< The request was in flight during two crashes or more.
    };

    struct Limits
    {
        std::size_t refuseAfterCrashes
            = 2; ///< Number of crashes from which on a request is refused.
        Duration retention = std::chrono::minutes(30); ///< Time since the last new incident.
        std::size_t maxFingerprints = 100'000; ///< The oldest are removed first.
    };

    explicit CrashingRequestTracker(const Limits &limits);

    /// Merges the incidents of a suspicion.
    void add(const Suspicion &suspicion, Instant now);
    /// Returns whether and how a request may run.
    Decision decide(const Fingerprint &fingerprint, Instant now) const;
    /// Returns for how long a refused fingerprint stays refused.
    Duration refusalTimeLeft(const Fingerprint &fingerprint, Instant now) const;
    /// Returns all unexpired suspicions, for another instance.
    std::vector<Suspicion> suspicions(Instant now) const;
    /// Removes fingerprints whose retention time has passed.
    void removeExpired(Instant now);

private:
    struct Entry
    {
        std::set<std::string> incidents;
        Instant lastIncidentAt;
    };

    const Entry *find(const Fingerprint &fingerprint, Instant now) const;
    void removeOldest();

    const Limits m_limits;
    std::unordered_map<Fingerprint, Entry> m_entries;
};

} // namespace quetzalyoke

#endif
