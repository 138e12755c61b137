#ifndef QUETZALYOKE_APPS_ENTRY_CRASHINGREQUESTDETECTOR_H
#define QUETZALYOKE_APPS_ENTRY_CRASHINGREQUESTDETECTOR_H

#include "Core/Requests/CrashingRequestTracker.h"
#include "Serving/Requests/CrashBroadcastQueue.h"
#include "Serving/Servers/BackendServer.h"

namespace quetzalyoke {

/// \brief Detects requests that crash every server that runs them.
///
/// Requests that merely ran on a server when it crashed must not be refused.
///
/// A lost connection alone proves nothing. It counts as a crash only if, within a few seconds,
/// the platform's list shows another incarnation of the server or none.
class CrashingRequestDetector
{
public:
    CrashingRequestDetector();

    /// Records that the connection to \a server was lost while a request with \a fingerprint ran.
    void recordConnectionLoss(const Fingerprint &fingerprint, const ServerName &server,
                              Incarnation incarnation, Instant now);
    /// Records that \a incarnation of \a server has ended without announcing that it leaves.
    void recordServerLoss(const ServerName &server, Incarnation incarnation, Instant now);
    /// Adds a suspicion reported by another gateway.
    void addPeerSuspicion(const Suspicion &suspicion, Instant now)
    {
        m_tracker.add(suspicion, now);
    }

    bool mustRefuse(const Fingerprint &fingerprint, Instant now) const;
    /// Returns all suspicions, found here or reported by peers.
    std::vector<Suspicion> suspicions(Instant now) const { return m_tracker.suspicions(now); }
    /// The suspicions that the next messages to peers carry.
    CrashBroadcastQueue &broadcastQueue() { return m_broadcastQueue; }
    void expire(Instant now);

private:
    struct ConnectionLoss
    {
        Fingerprint fingerprint;
        ServerName server;
        Incarnation incarnation;
        Instant at;
    };
    struct ServerLoss
    {
        ServerName server;
        Incarnation incarnation;
        Instant at;
    };

    void recordIncident(const ConnectionLoss &connectionLoss, Instant now);

    CrashingRequestTracker m_tracker;
    CrashBroadcastQueue m_broadcastQueue{CrashBroadcastQueue::Settings()}; // incidents found here
    std::vector<ConnectionLoss> m_connectionLosses;
    std::vector<ServerLoss> m_serverLosses;
};

} // namespace quetzalyoke

#endif
