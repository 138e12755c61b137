#ifndef QUETZALYOKE_SERVING_REQUESTS_CRASHBROADCASTQUEUE_H
#define QUETZALYOKE_SERVING_REQUESTS_CRASHBROADCASTQUEUE_H

#include "Core/Requests/CrashingRequestTracker.h"

#include <map>
#include <utility>
#include <vector>

namespace quetzalyoke {

/// \brief Which crashes the next news to peers tell of; no I/O.
///
/// Answers many servers that crash at once: all requests that were in flight there are suspected,
/// and news that told of them all, each time, would fill the links of small instances. Each crash
/// is told a few times, in case a datagram is lost, and a datagram holds a bounded number.
class CrashBroadcastQueue
{
public:
    struct Settings
    {
        int sendsPerCrash = 3; ///< Tellings of each crash.
        std::size_t maxPerDatagram = 48; ///< Crashes in one datagram, some 70 B each.
    };

    explicit CrashBroadcastQueue(const Settings &settings) : m_settings(settings) { }

    /// A crash that this gateway has found out itself.
    void add(const Fingerprint &fingerprint, const std::string &incident);
    /// The crashes that the next news tell of.
    std::vector<Suspicion> nextBatch();
    /// Parts of \a suspicions that fit a datagram each.
    std::vector<std::vector<Suspicion>>
    splitIntoBatches(const std::vector<Suspicion> &suspicions) const;

private:
    const Settings m_settings;
    std::map<std::pair<Fingerprint, std::string>, int> m_remainingSends; // tellings
};

} // namespace quetzalyoke

#endif
