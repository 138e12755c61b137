#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERHEALTH_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERHEALTH_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief Health of a server as seen from its recent responses; no I/O.
///
/// A server that can't be reached gets no requests for a time that doubles with each consecutive
/// failure. Failed requests raise its failure share. Callers compare this share with that of other
/// servers, since some failures are caused by the requests themselves.
class ServerHealth
{
public:
    enum class Failure {
        Unreachable, ///< No connection could be made.
        ConnectionLost, ///< The connection was lost before the response.
        TimedOut, ///< No response within the time that the load explains.
        ErrorResponse, ///< The server responded with an error of its own.
    };

    void recordSuccess(Instant now);
    void recordFailure(Failure failure, Instant now);
    /// Records a \a measured time to first byte. \a usual is the time expected at a server of usual
    /// speed; \a pace is the factor that the server stated at the time, which the ratio must not
    /// contain, since estimates are multiplied by both.
    void recordLatency(Duration measured, Duration usual, double pace);
    void reset(Instant now);

    bool isAvoided(Instant now) const { return now < m_avoidedUntil; }
    Instant avoidedUntil() const { return m_avoidedUntil; }
    /// Returns the share of failed requests, 0 to 1; the latest requests count most.
    double failureShare() const { return m_failureShare; }
    /// Returns the averaged ratio of the measured to the expected time to first byte, at least
    /// 0.2.
    double latencyRatio() const { return m_latencyRatio; }

private:
    int m_consecutiveFailures = 0; // unreachable, lost and timed out connections in a row
    Instant m_avoidedUntil;
    double m_failureShare = 0;
    double m_latencyRatio = 1;
};

} // namespace quetzalyoke

#endif
