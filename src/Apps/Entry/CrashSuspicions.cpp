#include "Apps/Entry/CrashSuspicions.h"

namespace quetzalyoke {

namespace {

// A crashed server's entry lapses after three heartbeats of about a second.
constexpr Duration proofWindow = std::chrono::seconds(6);

// Between crashes caused by the same request; a day's traffic doesn't repeat bodies for longer.
constexpr CrashLedger::Limits ledgerLimits{2, std::chrono::minutes(5), 2'000};

} // namespace

CrashSuspicions::CrashSuspicions() : m_ledger(ledgerLimits) { }

void CrashSuspicions::noteCut(const Fingerprint &fingerprint, const ServerName &server,
                              Incarnation incarnation, Instant now)
{
    const Cut cut{fingerprint, server, incarnation, now};
    for (const Loss &loss : m_losses) {
        if (loss.server != server || loss.incarnation != incarnation)
            continue;
        count(cut, now);
        return;
    }
    m_cuts.push_back(cut);
}

void CrashSuspicions::noteServerLost(const ServerName &server, Incarnation incarnation, Instant now)
{
    m_losses.push_back({server, incarnation, now});
    for (const Cut &cut : m_cuts) {
        if (cut.server == server && cut.incarnation == incarnation)
            count(cut, now);
    }
    std::erase_if(m_cuts, [&](const Cut &cut) {
        return cut.server == server && cut.incarnation == incarnation;
    });
}

void CrashSuspicions::count(const Cut &cut, Instant now)
{
    const std::string incident = cut.server.text() + "/" + std::to_string(cut.incarnation.count());
    m_ledger.add({cut.fingerprint, {incident}}, now);
    m_news.add(cut.fingerprint, incident);
}

bool CrashSuspicions::mustRefuse(const Fingerprint &fingerprint, Instant now) const
{
    return m_ledger.verdict(fingerprint, now) == CrashLedger::Verdict::Refuse;
}

void CrashSuspicions::expire(Instant now)
{
    std::erase_if(m_cuts, [now](const Cut &cut) { return now - cut.at > proofWindow; });
    std::erase_if(m_losses, [now](const Loss &loss) { return now - loss.at > proofWindow; });
    m_ledger.expire(now);
}

} // namespace quetzalyoke
