#ifndef QUETZALYOKE_SERVING_SERVERS_REQUESTPERMITS_H
#define QUETZALYOKE_SERVING_SERVERS_REQUESTPERMITS_H

#include "Core/StrongTypes.h"
#include "Serving/Servers/RequestRate.h"

#include <deque>
#include <map>
#include <vector>

namespace quetzalyoke {

/// \brief This gateway's permits for requests to one server that states a request limit; no I/O.
///
/// Each request needs a permit from the issuer, of which there is at most one among all gateways.
/// While the issuer doesn't respond, the gateway uses a fixed share of the limit. All such shares
/// together are a part of the limit only, since the issuer may still grant permits to gateways that
/// reach it.
class RequestPermits
{
public:
    enum class Availability {
        Available, ///< A permit can be taken.
        Requestable, ///< The issuer must be asked for one.
        Exhausted, ///< There is none before exhaustedUntil().
    };
    /// Names one request for a permit.
    using Number = std::int64_t;

    Availability availability(Instant now) const;
    /// Returns when permits may be available again, if there are none now.
    Instant exhaustedUntil() const;

    /// Records that a request was sent, with a permit or without.
    void recordSent(Instant now);
    /// Returns the requests that were sent within a second before the limit began at \a beganAt, as
    /// long as they matter.
    int recentRequests(Instant beganAt, Instant now) const;
    /// Takes a permit, which must be available. Returns the time until which it may be used.
    Instant take(Instant now);
    /// Drops the granted permits, which are older than they seem after a suspension.
    void dropGranted() { m_permits.clear(); }
    /// Records that the issuer is asked for a permit.
    void recordRequest(Number number, Instant now);
    bool hasPending() const { return !m_pending.empty(); }
    bool isPending(Number number) const { return m_pending.count(number) > 0; }
    /// Applies the issuer's response to a request. Late responses are ignored. Returns whether the
    /// request was pending.
    bool onGranted(Number number, Instant now);
    bool onDenied(Number number, Duration retryAfter, Instant now);
    /// Uses the gateway's own share for a while, as the issuer is not known or does not respond.
    /// \a limit is the server's limit, which began at \a beganAt, \a gateways the number of
    /// gateways that share it and \a level in [0, 1) a random number, so that they don't all send
    /// at once.
    void useOwnShare(RequestRate limit, Instant beganAt, std::size_t gateways, double level,
                     Instant now);
    /// Returns the pending requests that are to be sent again now.
    std::vector<Number> requestsToResend(Instant now);
    /// Returns whether a request has had no response for so long that the issuer is presumed to be
    /// gone.
    bool isIssuerSilent(Instant now) const;

private:
    struct Pending
    {
        Instant requestedAt;
        bool isResent = false;
    };

    bool usesOwnShare(Instant now) const { return now < m_ownShareUntil; }
    double ownShareLevel(Instant now) const;
    std::size_t validPermits(Instant now) const;

    std::deque<Instant> m_recentlySent; // times, oldest first
    std::map<Number, Pending> m_pending;
    std::vector<Instant> m_permits; // the time until which each may be used, in order
    Instant m_deniedUntil;
    Instant m_ownShareUntil;
    Instant m_ownShareUpdatedAt;
    double m_ownSharePerSecond = 0;
    double m_ownShareLevel = 0; // at m_ownShareUpdatedAt
};

} // namespace quetzalyoke

#endif
