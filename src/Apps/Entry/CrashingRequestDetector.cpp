#include "Apps/Entry/CrashingRequestDetector.h"

namespace quetzalyoke {

namespace {

// A crashed server's entry lapses after three heartbeats of about a second.
constexpr Duration proofWindow = std::chrono::seconds(6);

// Between crashes caused by the same request; a day's traffic doesn't repeat bodies for longer.
constexpr CrashingRequestTracker::Limits ledgerLimits{2, std::chrono::minutes(5), 2'000};

} // namespace

CrashingRequestDetector::CrashingRequestDetector() : m_ledger(ledgerLimits) { }

void CrashingRequestDetector::recordConnectionLoss(const Fingerprint &fingerprint,
                                                   const ServerName &server,
                                                   Incarnation incarnation, Instant now)
{
    const ConnectionLoss cut{fingerprint, server, incarnation, now};
    for (const ServerLoss &loss : m_serverLosses) {
        if (loss.server != server || loss.incarnation != incarnation)
            continue;
        recordIncident(cut, now);
        return;
    }
    m_connectionLosses.push_back(cut);
}

void CrashingRequestDetector::recordServerLoss(const ServerName &server, Incarnation incarnation,
                                               Instant now)
{
    m_serverLosses.push_back({server, incarnation, now});
    for (const ConnectionLoss &cut : m_connectionLosses) {
        if (cut.server == server && cut.incarnation == incarnation)
            recordIncident(cut, now);
    }
    std::erase_if(m_connectionLosses, [&](const ConnectionLoss &cut) {
        return cut.server == server && cut.incarnation == incarnation;
    });
}

void CrashingRequestDetector::recordIncident(const ConnectionLoss &cut, Instant now)
{
    const std::string incident = cut.server.text() + "/" + std::to_string(cut.incarnation.count());
    m_ledger.add({cut.fingerprint, {incident}}, now);
    m_broadcastQueue.add(cut.fingerprint, incident);
}

bool CrashingRequestDetector::mustRefuse(const Fingerprint &fingerprint, Instant now) const
{
    return m_ledger.decide(fingerprint, now) == CrashingRequestTracker::Decision::Refuse;
}

void CrashingRequestDetector::expire(Instant now)
{
    std::erase_if(m_connectionLosses,
                  [now](const ConnectionLoss &cut) { return now - cut.at > proofWindow; });
    std::erase_if(m_serverLosses,
                  [now](const ServerLoss &loss) { return now - loss.at > proofWindow; });
    m_ledger.removeExpired(now);
}

} // namespace quetzalyoke
