#ifndef QUETZALYOKE_SERVING_REQUESTS_CRASHBROADCASTQUEUE_H
#define QUETZALYOKE_SERVING_REQUESTS_CRASHBROADCASTQUEUE_H

#include "Serving/Requests/CrashSuspects.h"

#include <deque>
#include <map>
#include <vector>

namespace quetzalyoke {

/// \brief What a gateway tells its peers about a suspect.
struct CrashNews
{
    CrashRecord record; ///< Without an incident if the suspect was survived.
    bool isSurvived = false; ///< A server has answered a request with the suspect and lived.
};

/// \brief Chooses the crashes that the next messages to peers report; no I/O.
///
/// When many servers crash at once, all requests in flight there are suspected, and messages that
/// always reported all of them would fill the links of small instances. So each crash is sent a few
/// times only, in case a datagram is lost, and a datagram has a bounded number of crashes. Urgent
/// news is for all peers at once. Other news goes to the lease holder at once, which learns of a
/// suspect's second crash at whichever gateway, and to all with the regular messages.
class CrashBroadcastQueue
{
public:
    struct Settings
    {
        int sendsPerCrash = 3; ///< How often each crash is sent.
        std::size_t maxPerDatagram = 48; ///< Crashes in one datagram, about 90 B each.
        std::size_t maxForHolder = 1'000; ///< The oldest are dropped first.
    };

    explicit CrashBroadcastQueue(const Settings &settings) : m_settings(settings) { }

    /// Adds a crash or trial.
    void add(const CrashRecord &record, bool isUrgent);
    /// Adds that \a suspect was survived, in place of the crashes that still wait.
    void addSurvival(const Fingerprint &suspect, bool isUrgent);
    /// Returns the news for the next regular message to peers, urgent news first, and counts them
    /// as sent once.
    std::vector<CrashNews> nextBatch();
    /// Does the same with urgent news only, for a message that is sent at once.
    std::vector<CrashNews> nextUrgentBatch();
    /// Returns news that the lease holder has not been sent yet, for a message to it alone.
    std::vector<CrashNews> nextHolderBatch();
    bool hasHolderNews() const { return !m_forHolder.empty(); }
    /// Splits \a records into batches that fit one datagram each.
    std::vector<std::vector<CrashNews>>
    splitIntoBatches(const std::vector<CrashRecord> &records) const;

private:
    struct Entry
    {
        CrashNews news;
        int remainingSends = 0;
    };

    using Key = std::pair<Fingerprint, std::string>; // suspect, incident
    struct Queue
    {
        std::map<Key, Entry> entries;
        Key lastTaken; // the next batch goes on after it: no news waits for the repeats of others
    };

    void insert(const Key &key, const CrashNews &news, bool isUrgent);
    void takeFrom(Queue &queue, std::vector<CrashNews> &batch) const;

    const Settings m_settings;
    Queue m_urgent;
    Queue m_other;
    std::deque<CrashNews> m_forHolder;
};

} // namespace quetzalyoke

#endif
