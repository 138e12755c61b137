#include "Apps/Entry/CrashingRequestDetector.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"
#include "Serving/Requests/RequestMetadata.h"

namespace quetzalyoke {

namespace {

// For how long a connection loss and a server loss are kept for each other. The connection to a
// silent server is given up at the request's deadline, long after its entry has expired, and an
// outage of the list hides for its whole time that an entry is gone.
constexpr Duration evidenceRetention = std::chrono::seconds(60);

// More connections than a gateway loses in that time, unless it is the network that fails.
constexpr std::size_t maxConnectionLosses = 2'000;

} // namespace

CrashingRequestDetector::CrashingRequestDetector(const InstanceId &self)
    : m_self(self), m_suspects(CrashSuspects::Limits())
{ }

CrashingRequestDetector::Suspects
CrashingRequestDetector::unsurvived(const Suspects &suspects) const
{
    Suspects unsurvived;
    for (const Fingerprint &suspect : suspects) {
        if (!wasSurvived(suspect))
            unsurvived.push_back(suspect);
    }
    return unsurvived;
}

CrashingRequestDetector::RunNumber CrashingRequestDetector::beginRun(const Suspects &suspects,
                                                                     const ServerName &server,
                                                                     Incarnation incarnation)
{
    m_runs[++m_lastRun] = {suspects, server, incarnation};
    return m_lastRun;
}

void CrashingRequestDetector::recordConnectionLoss(const Suspects &suspects,
                                                   const ServerName &server,
                                                   Incarnation incarnation, Instant now)
{
    if (suspects.empty())
        return;
    const Run run{suspects, server, incarnation};
    for (const ServerLoss &serverLoss : m_serverLosses) {
        if (serverLoss.server != server || serverLoss.incarnation != incarnation)
            continue;
        recordIncident(run, now);
        return;
    }
    m_connectionLosses.push_back({run, now});
    if (m_connectionLosses.size() > maxConnectionLosses)
        m_connectionLosses.pop_front();
}

void CrashingRequestDetector::recordServerLoss(const ServerName &server, Incarnation incarnation,
                                               Instant now)
{
    for (const ServerLoss &known : m_serverLosses) {
        if (known.server == server && known.incarnation == incarnation)
            return;
    }
    m_serverLosses.push_back({server, incarnation, now});
    const auto wasThere
        = [&](const Run &run) { return run.server == server && run.incarnation == incarnation; };
    for (const ConnectionLoss &connectionLoss : m_connectionLosses) {
        if (wasThere(connectionLoss.run))
            recordIncident(connectionLoss.run, now);
    }
    std::erase_if(m_connectionLosses, [&](const ConnectionLoss &it) { return wasThere(it.run); });
    // The connection to a silent server lasts until the deadline. A server that completes its
    // response after all clears the request.
    for (const auto &[number, run] : m_runs) {
        if (wasThere(run))
            recordIncident(run, now);
    }
}

void CrashingRequestDetector::recordIncident(const Run &run, Instant now)
{
    const std::string incident = run.server.text() + "/" + std::to_string(run.incarnation.count());
    for (const Fingerprint &suspect : run.suspects) {
        // Another server may have survived it since the connection was lost.
        if (!wasSurvived(suspect))
            addRecord({suspect, incident, m_self}, now);
    }
}

void CrashingRequestDetector::addRecord(const CrashRecord &record, Instant now)
{
    if (!m_suspects.add(record, now))
        return;
    logRecord(record);
    Metrics::incrementCounter("crash_records");
    m_hasUnsavedReport = m_hasUnsavedReport || m_suspects.isRefused(record.suspect);
    announceRecord(record);
}

void CrashingRequestDetector::logRecord(const CrashRecord &record) const
{
    logNotable("crash_suspected",
               {{"suspect", record.suspect},
                {"incident", record.incident},
                {"source", record.reporter},
                {"records", m_suspects.recordsOf(record.suspect).size()},
                {"refused", m_suspects.isRefused(record.suspect) ? 1 : 0}});
}

void CrashingRequestDetector::recordSurvival(const Suspects &suspects)
{
    for (const Fingerprint &suspect : suspects) {
        const bool wasSuspected = m_suspects.remove(suspect);
        rememberSurvival(suspect);
        if (!wasSuspected)
            continue;
        logNotable("crash_cleared", {{"suspect", suspect}, {"source", m_self}});
        announceSurvival(suspect);
    }
}

std::optional<Fingerprint> CrashingRequestDetector::checkRequest(const RequestId &request,
                                                                 const Suspects &suspects,
                                                                 bool mayTry, bool &isTrial,
                                                                 Instant now)
{
    const auto refused = m_suspects.firstRefused(suspects);
    if (!refused)
        return {};
    for (const Fingerprint &suspect : suspects) {
        if (!m_suspects.recordRequest(suspect, now))
            continue;
        for (const CrashRecord &record : m_suspects.recordsOf(suspect))
            m_broadcastQueue.add(record, false);
    }
    if (!mayTry || !m_suspects.mayTry(suspects, now))
        return refused;
    isTrial = true;
    const std::string trial = "trial/" + m_self.text() + "/"
        + std::to_string(Process::incarnation().count()) + "/" + std::to_string(++m_trials);
    logNotable("crash_trial", {{"id", request}, {"suspect", *refused}, {"trial", trial}});
    for (const Fingerprint &suspect : suspects) {
        if (m_suspects.isRefused(suspect))
            addRecord({suspect, trial, m_self}, now);
    }
    return {};
}

bool CrashingRequestDetector::isSuspected(const Suspects &suspects) const
{
    return std::any_of(suspects.begin(), suspects.end(), [this](const Fingerprint &suspect) {
        return !m_suspects.recordsOf(suspect).empty();
    });
}

std::string CrashingRequestDetector::describe(const Fingerprint &suspect) const
{
    std::string text;
    for (const CrashRecord &record : m_suspects.recordsOf(suspect))
        text += (text.empty() ? "" : ",") + record.incident + "@" + record.reporter.text();
    return text;
}

void CrashingRequestDetector::applyPeerNews(const CrashNews &news, Instant now)
{
    const Fingerprint &suspect = news.record.suspect;
    if (news.isSurvived) {
        rememberSurvival(suspect);
        if (m_suspects.remove(suspect))
            logNotable("crash_cleared", {{"suspect", suspect}, {"source", "peer"}});
        return;
    }
    if (wasSurvived(suspect)) {
        announceSurvival(suspect);
        return;
    }
    const bool wasRefused = m_suspects.isRefused(suspect);
    addStoredRecord(news.record, now);
    if (!wasRefused && m_suspects.isRefused(suspect) && m_isHolder && m_isHolder())
        announceRecord(news.record);
}

void CrashingRequestDetector::addStoredRecord(const CrashRecord &record, Instant now)
{
    if (!wasSurvived(record.suspect) && m_suspects.add(record, now))
        logRecord(record);
}

bool CrashingRequestDetector::wasSurvived(const Fingerprint &suspect) const
{
    return (isPromptPart(suspect) ? m_survivedParts : m_survivedRequests).contains(suspect);
}

void CrashingRequestDetector::rememberSurvival(const Fingerprint &suspect)
{
    (isPromptPart(suspect) ? m_survivedParts : m_survivedRequests).record(suspect);
}

// All peers must know at once what is refused. Other news are too many while servers crash.
void CrashingRequestDetector::announceRecord(const CrashRecord &record)
{
    if (m_suspects.isRefused(record.suspect)) {
        for (const CrashRecord &it : m_suspects.recordsOf(record.suspect))
            m_broadcastQueue.add(it, true);
    } else {
        m_broadcastQueue.add(record, isPromptPart(record.suspect));
    }
    notifyNews();
}

void CrashingRequestDetector::announceSurvival(const Fingerprint &suspect)
{
    m_broadcastQueue.addSurvival(suspect, isPromptPart(suspect));
    notifyNews();
}

void CrashingRequestDetector::notifyNews() const
{
    if (m_onNews)
        m_onNews();
}

void CrashingRequestDetector::expire(Instant now)
{
    std::erase_if(m_connectionLosses, [now](const ConnectionLoss &connectionLoss) {
        return now - connectionLoss.at > evidenceRetention;
    });
    std::erase_if(m_serverLosses, [now](const ServerLoss &serverLoss) {
        return now - serverLoss.at > evidenceRetention;
    });
    m_suspects.removeExpired(now);
}

} // namespace quetzalyoke
