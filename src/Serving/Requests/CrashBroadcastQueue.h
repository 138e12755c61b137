#ifndef QUETZALYOKE_SERVING_REQUESTS_CRASHBROADCASTQUEUE_H
#define QUETZALYOKE_SERVING_REQUESTS_CRASHBROADCASTQUEUE_H

#include "Serving/Requests/CrashSuspects.h"

#include <map>
#include <vector>

namespace quetzalyoke {

/// \brief What a gateway tells its peers about a suspect.
struct CrashNews
{
    CrashRecord record; ///< Without an incident if the suspect was survived.
    bool isSurvived = false; ///< A server has answered a request with the suspect and lived.
};

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
        std::size_t maxPerDatagram = 48; ///< Crashes in one datagram, about 90 B each.
    };

    explicit CrashBroadcastQueue(const Settings &settings) : m_settings(settings) { }

    /// Adds a crash or trial.
    void add(const CrashRecord &record);
    /// Adds that \a suspect was survived, in place of the crashes that still wait.
    void addSurvival(const Fingerprint &suspect);
    bool isEmpty() const { return m_entries.empty(); }
    /// Returns the news for the next message to peers and counts them as sent once.
    std::vector<CrashNews> nextBatch();
    /// Splits \a records into batches that fit one datagram each.
    std::vector<std::vector<CrashNews>>
    splitIntoBatches(const std::vector<CrashRecord> &records) const;

private:
    struct Entry
    {
        CrashNews news;
        int remainingSends = 0;
    };

    const Settings m_settings;
    std::map<std::pair<Fingerprint, std::string>, Entry> m_entries; // by suspect and incident
};

} // namespace quetzalyoke

#endif
