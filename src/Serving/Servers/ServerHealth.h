#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERHEALTH_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERHEALTH_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief How well a server has answered real work lately; no I/O.
///
/// A server that can't be reached is left alone for a time that doubles with each failure in a
/// row. Failed answers raise its failure share; whoever places requests compares that with the
/// other servers, since some failures are the requests' own.
class ServerHealth
{
public:
    enum class Failure {
        Unreachable, ///< No connection could be made.
        ConnectionLost, ///< A connection ended before its answer.
        TimedOut, ///< Nothing came within the time that its load explains.
        ErrorResponse, ///< The server answered with a failure of its own.
    };

    void recordSuccess(Instant now);
    void recordFailure(Failure failure, Instant now);
    /// Measured time to the first byte divided by the predicted one.
    void recordLatencyRatio(double ratio);
    void reset(Instant now);

    bool isAvoided(Instant now) const { return now < m_avoidedUntil; }
    Instant avoidedUntil() const { return m_avoidedUntil; }
    /// 0 to 1: share of failed answers, the latest count most.
    double failureShare() const { return m_failureShare; }
    /// How many times slower than predicted the server is, at least 0.2.
    double latencyRatio() const { return m_latencyRatio; }

private:
    int m_consecutiveFailures = 0; // connections that failed one after the other
    Instant m_avoidedUntil;
    double m_failureShare = 0;
    double m_latencyRatio = 1;
};

} // namespace quetzalyoke

#endif
