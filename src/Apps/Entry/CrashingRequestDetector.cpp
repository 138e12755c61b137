#include "Apps/Entry/CrashingRequestDetector.h"

namespace quetzalyoke {

namespace {

// A connection loss and a server loss within this time belong together: the entry of a crashed
// server expires after three heartbeats of about a second each.
constexpr Duration matchWindow = std::chrono::seconds(6);

// Suspicions expire after 5 minutes: in a day's traffic, identical bodies do not recur over a
// longer time.
constexpr CrashingRequestTracker::Limits trackerLimits{2, std::chrono::minutes(5), 2'000};

} // namespace

CrashingRequestDetector::CrashingRequestDetector() : m_tracker(trackerLimits) { }

void CrashingRequestDetector::recordConnectionLoss(const Fingerprint &fingerprint,
                                                   const ServerName &server,
                                                   Incarnation incarnation, Instant now)
{
    const ConnectionLoss connectionLoss{fingerprint, server, incarnation, now};
    for (const ServerLoss &serverLoss : m_serverLosses) {
        if (serverLoss.server != server || serverLoss.incarnation != incarnation)
            continue;
        recordIncident(connectionLoss, now);
        return;
    }
    m_connectionLosses.push_back(connectionLoss);
}

void CrashingRequestDetector::recordServerLoss(const ServerName &server, Incarnation incarnation,
                                               Instant now)
{
    m_serverLosses.push_back({server, incarnation, now});
    for (const ConnectionLoss &connectionLoss : m_connectionLosses) {
        if (connectionLoss.server == server && connectionLoss.incarnation == incarnation)
            recordIncident(connectionLoss, now);
    }
    std::erase_if(m_connectionLosses, [&](const ConnectionLoss &connectionLoss) {
        return connectionLoss.server == server && connectionLoss.incarnation == incarnation;
    });
}

void CrashingRequestDetector::recordIncident(const ConnectionLoss &connectionLoss, Instant now)
{
    const std::string incident
        = connectionLoss.server.text() + "/" + std::to_string(connectionLoss.incarnation.count());
    m_tracker.add({connectionLoss.fingerprint, {incident}}, now);
    m_broadcastQueue.add(connectionLoss.fingerprint, incident);
}

bool CrashingRequestDetector::mustRefuse(const Fingerprint &fingerprint, Instant now) const
{
    return m_tracker.decide(fingerprint, now) == CrashingRequestTracker::Decision::Refuse;
}

void CrashingRequestDetector::expire(Instant now)
{
    std::erase_if(m_connectionLosses, [now](const ConnectionLoss &connectionLoss) {
        return now - connectionLoss.at > matchWindow;
    });
    std::erase_if(m_serverLosses, [now](const ServerLoss &serverLoss) {
        return now - serverLoss.at > matchWindow;
    });
    m_tracker.removeExpired(now);
}

} // namespace quetzalyoke
