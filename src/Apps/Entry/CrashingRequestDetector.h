#ifndef QUETZALYOKE_APPS_ENTRY_CRASHINGREQUESTDETECTOR_H
#define QUETZALYOKE_APPS_ENTRY_CRASHINGREQUESTDETECTOR_H

#include "Core/Requests/CrashingRequestTracker.h"
#include "Serving/Requests/CrashBroadcastQueue.h"
#include "Serving/Servers/BackendServer.h"

namespace quetzalyoke {

/// \brief Tells requests that crash each server which runs them from those that were just there.
///
/// A cut connection alone proves nothing. It counts once the server's entry in the platform's
/// list shows another life or none within a few seconds.
class CrashingRequestDetector
{
public:
    CrashingRequestDetector();

    /// The connection of a request with \a fingerprint to \a server was cut.
    void recordConnectionLoss(const Fingerprint &fingerprint, const ServerName &server,
                              Incarnation incarnation, Instant now);
    /// The life \a incarnation of \a server has ended without notice.
    void recordServerLoss(const ServerName &server, Incarnation incarnation, Instant now);
    /// What another gateway found.
    void addPeerSuspicion(const Suspicion &suspicion, Instant now) { m_ledger.add(suspicion, now); }

    bool mustRefuse(const Fingerprint &fingerprint, Instant now) const;
    /// All that is known, found here or told by others.
    std::vector<Suspicion> suspicions(Instant now) const { return m_ledger.suspicions(now); }
    /// What the next news to peers tell of.
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

    void recordIncident(const ConnectionLoss &cut, Instant now);

    CrashingRequestTracker m_ledger;
    CrashBroadcastQueue m_broadcastQueue{CrashBroadcastQueue::Settings()}; // of what was found here
    std::vector<ConnectionLoss> m_connectionLosses;
    std::vector<ServerLoss> m_serverLosses;
};

} // namespace quetzalyoke

#endif
