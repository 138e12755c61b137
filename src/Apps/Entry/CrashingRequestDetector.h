#ifndef QUETZALYOKE_APPS_ENTRY_CRASHINGREQUESTDETECTOR_H
#define QUETZALYOKE_APPS_ENTRY_CRASHINGREQUESTDETECTOR_H

#include "Serving/Requests/CrashBroadcastQueue.h"
#include "Serving/Requests/SurvivedSuspects.h"
#include "Serving/Servers/BackendServer.h"

#include <deque>
#include <functional>

namespace quetzalyoke {

/// \brief Detects requests, and parts of prompts, that crash every server that answers them.
///
/// A lost connection alone proves nothing. It counts as a crash only if the server refuses
/// connections, or if the platform's list shows, before or after, another incarnation of the server
/// or none. \sa CrashSuspects
class CrashingRequestDetector
{
public:
    using Suspects = std::vector<Fingerprint>;
    using RunNumber = std::uint64_t; ///< 0: none.

    explicit CrashingRequestDetector(const InstanceId &self);

    /// Sets a hook that is called when there is news for the peers.
    void setNewsHook(std::function<void()> onNews) { m_onNews = std::move(onNews); }
    /// Sets a hook that returns whether this gateway holds the lease. The holder tells all peers
    /// when the news of several of them make a suspect refused.
    void setHolderHook(std::function<bool()> isHolder) { m_isHolder = std::move(isHolder); }

    /// Returns those of \a suspects that no server is known to have survived.
    Suspects unsurvived(const Suspects &suspects) const;
    /// Records that a request with \a suspects is sent to \a server, which may run it until
    /// endRun().
    RunNumber beginRun(const Suspects &suspects, const ServerName &server, Incarnation incarnation);
    void endRun(RunNumber run) { m_runs.erase(run); }
    /// Records that the connection to \a server was lost while it may have run a request with
    /// \a suspects, of which none was survived.
    void recordConnectionLoss(const Suspects &suspects, const ServerName &server,
                              Incarnation incarnation, Instant now);
    /// Records that \a incarnation of \a server has ended without announcing that it leaves. An
    /// entry that is missing because of an outage of the list does not show that.
    void recordServerLoss(const ServerName &server, Incarnation incarnation, Instant now);
    /// Records that a server has completed its response to a request with \a suspects.
    void recordSurvival(const Suspects &suspects);

    /// Returns the suspect for which a request must be refused. Marks the request as a trial and
    /// returns nothing if \a mayTry is set and the suspect is due for one.
    std::optional<Fingerprint> checkRequest(const RequestId &request, const Suspects &suspects,
                                            bool mayTry, bool &isTrial, Instant now);
    /// Returns whether one of \a suspects was in a crash.
    bool isSuspected(const Suspects &suspects) const;
    /// Returns whether a request that has been admitted must no longer be sent.
    bool mustRefuse(const Suspects &suspects) const
    {
        return m_suspects.firstRefused(suspects).has_value();
    }
    /// Returns the crashes that count against \a suspect, for the log.
    std::string describe(const Fingerprint &suspect) const;

    void applyPeerNews(const CrashNews &news, Instant now);
    /// Adds records from an earlier time.
    void addStoredRecord(const CrashRecord &record, Instant now);
    std::vector<CrashRecord> refusedRecords() const { return m_suspects.refusedRecords(); }
    /// \sa CrashSuspects::records()
    std::vector<CrashRecord> records() const { return m_suspects.records(); }
    /// \sa CrashSuspects::revision()
    std::uint64_t revision() const { return m_suspects.revision(); }
    /// Returns whether this gateway has reported a crash with a refused suspect since the store
    /// got its records last.
    bool hasUnsavedReport() const { return m_hasUnsavedReport; }
    void markReportsSaved() { m_hasUnsavedReport = false; }
    /// \sa CrashSuspects::digest()
    std::uint64_t digest() const { return m_suspects.digest(); }
    /// The news that the next messages to peers carry.
    CrashBroadcastQueue &broadcastQueue() { return m_broadcastQueue; }
    void expire(Instant now);

private:
    struct Run
    {
        Suspects suspects;
        ServerName server;
        Incarnation incarnation;
    };
    struct ConnectionLoss
    {
        Run run;
        Instant at;
    };
    struct ServerLoss
    {
        ServerName server;
        Incarnation incarnation;
        Instant at;
    };

    void recordIncident(const Run &run, Instant now);
    void addRecord(const CrashRecord &record, Instant now);
    void logRecord(const CrashRecord &record) const;
    void announceRecord(const CrashRecord &record);
    void announceSurvival(const Fingerprint &suspect);
    void notifyNews() const;
    bool wasSurvived(const Fingerprint &suspect) const;
    void rememberSurvival(const Fingerprint &suspect);

    const InstanceId m_self;
    CrashSuspects m_suspects;
    SurvivedSuspects m_survivedParts;
    SurvivedSuspects m_survivedRequests; ///< Apart, since most of them never recur.
    CrashBroadcastQueue m_broadcastQueue{CrashBroadcastQueue::Settings()};
    std::function<void()> m_onNews;
    std::function<bool()> m_isHolder;
    std::map<RunNumber, Run> m_runs;
    RunNumber m_lastRun = 0;
    std::deque<ConnectionLoss> m_connectionLosses;
    std::vector<ServerLoss> m_serverLosses;
    int m_trials = 0;
    bool m_hasUnsavedReport = false;
};

} // namespace quetzalyoke

#endif
