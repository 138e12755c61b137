#ifndef QUETZALYOKE_SERVING_REQUESTS_CRASHBROADCASTQUEUE_H
#define QUETZALYOKE_SERVING_REQUESTS_CRASHBROADCASTQUEUE_H

#include "Core/Requests/CrashingRequestTracker.h"

#include <map>
#include <utility>
#include <vector>

namespace quetzalyoke {

/// \brief Chooses the crashes that the next message to peers reports; no I/O.
///
/// When many servers crash at once, all requests in flight there are suspected, and messages that
/// always reported all of them would fill the links of small instances. So each crash is sent a few
/// times only, in case a datagram is lost, and a datagram has a bounded number of crashes.
class CrashBroadcastQueue
{
public:
    struct Settings
    {
        int sendsPerCrash = 3; ///< How often each crash is sent.
        std::size_t maxPerDatagram = 48; ///< Crashes in one datagram, about 70 B each.
    };

    explicit CrashBroadcastQueue(const Settings &settings) : m_settings(settings) { }

    /// Adds a crash that this gateway has detected itself.
    void add(const Fingerprint &fingerprint, const std::string &incident);
    /// Returns the crashes for the next message to peers and counts them as sent once.
    std::vector<Suspicion> nextBatch();
    /// Splits \a suspicions into batches that fit one datagram each.
    std::vector<std::vector<Suspicion>>
    splitIntoBatches(const std::vector<Suspicion> &suspicions) const;

private:
    const Settings m_settings;
    std::map<std::pair<Fingerprint, std::string>, int> m_remainingSends; // by crash
};

} // namespace quetzalyoke

#endif
