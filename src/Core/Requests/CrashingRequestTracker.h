#ifndef QUETZALYOKE_CORE_REQUESTS_CRASHINGREQUESTTRACKER_H
#define QUETZALYOKE_CORE_REQUESTS_CRASHINGREQUESTTRACKER_H

#include "Core/StrongTypes.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief The crashes of backend servers that a request was in flight at.
struct Suspicion
{
    Fingerprint fingerprint;
    std::set<std::string> incidents; ///< One id for each crash, the same at every instance.
};

/// \brief Finds requests that crash each backend server that runs them.
///
/// A request is known by a fingerprint of its client account and body. After one crash it runs
/// only alone on a server, so that healthy requests beside it are neither lost nor suspected;
/// after the second it is refused. Incidents are merged by id, so that instances can tell each
/// other the same ones any number of times.
class CrashingRequestTracker
{
public:
    enum class Decision {
        Allow,
        RunAlone, ///< In flight at one crash.
        Refuse, ///< In flight at two.
    };

    struct Limits
    {
        std::size_t refuseAfterCrashes = 2; ///< From this many on, the request is refused.
        Duration retention = std::chrono::minutes(30); ///< Since the last incident.
        std::size_t maxFingerprints = 100'000; ///< Kept at the most; the oldest go first.
    };

    explicit CrashingRequestTracker(const Limits &limits);

    void add(const Suspicion &suspicion, Instant now);
    Decision decide(const Fingerprint &fingerprint, Instant now) const;
    /// How long a refused fingerprint stays refused.
    Duration refusalTimeLeft(const Fingerprint &fingerprint, Instant now) const;
    /// All that is known, for another instance.
    std::vector<Suspicion> suspicions(Instant now) const;
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
