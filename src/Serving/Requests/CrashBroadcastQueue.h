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
    /// Returns the news for the next regular message to peers, parts of prompts first, and counts
    /// them as sent once.
    std::vector<CrashNews> nextBatch();
    /// Does the same with news of parts of prompts only, for a message that is sent at once. Other
    /// news are too many while servers crash.
    std::vector<CrashNews> nextUrgentBatch();
    /// Splits \a records into batches that fit one datagram each.
    std::vector<std::vector<CrashNews>>
    splitIntoBatches(const std::vector<CrashRecord> &records) const;

private:
    struct Entry
    {
        CrashNews news;
        int remainingSends = 0;
    };

    using Entries = std::map<std::pair<Fingerprint, std::string>, Entry>; // by suspect, incident

    void takeFrom(Entries &entries, std::vector<CrashNews> &batch) const;
    Entries &entriesFor(const Fingerprint &suspect);

    const Settings m_settings;
    Entries m_parts;
    Entries m_requests;
};

} // namespace quetzalyoke

#endif
