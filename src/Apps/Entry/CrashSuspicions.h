#ifndef QUETZALYOKE_APPS_ENTRY_CRASHSUSPICIONS_H
#define QUETZALYOKE_APPS_ENTRY_CRASHSUSPICIONS_H

#include "Core/Requests/CrashLedger.h"
#include "Serving/Requests/CrashNews.h"
#include "Serving/Servers/BackendServer.h"

namespace quetzalyoke {

/// \brief Tells requests that crash each server which runs them from those that were just there.
///
/// A cut connection alone proves nothing. It counts once the server's entry in the platform's
/// list shows another life or none within a few seconds.
class CrashSuspicions
{
public:
    CrashSuspicions();

    /// The connection of a request with \a fingerprint to \a server was cut.
    void noteCut(const Fingerprint &fingerprint, const ServerName &server, Incarnation incarnation,
                 Instant now);
    /// The life \a incarnation of \a server has ended without notice.
    void noteServerLost(const ServerName &server, Incarnation incarnation, Instant now);
    /// What another gateway found.
    void add(const Suspicion &suspicion, Instant now) { m_ledger.add(suspicion, now); }

    bool mustRefuse(const Fingerprint &fingerprint, Instant now) const;
    /// All that is known, found here or told by others.
    std::vector<Suspicion> suspicions(Instant now) const { return m_ledger.suspicions(now); }
    /// What the next news to peers tell of.
    CrashNews &news() { return m_news; }
    void expire(Instant now);

private:
    struct Cut
    {
        Fingerprint fingerprint;
        ServerName server;
        Incarnation incarnation;
        Instant at;
    };
    struct Loss
    {
        ServerName server;
        Incarnation incarnation;
        Instant at;
    };

    void count(const Cut &cut, Instant now);

    CrashLedger m_ledger;
    CrashNews m_news{CrashNews::Settings()}; // of what was found here
    std::vector<Cut> m_cuts;
    std::vector<Loss> m_losses;
};

} // namespace quetzalyoke

#endif
