#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERLOADESTIMATOR_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERLOADESTIMATOR_H

#include "Core/StrongTypes.h"

#include <optional>

namespace quetzalyoke {

/// \brief Estimates the load of a plain server from the loads stated in its responses.
///
/// A stated load loses its weight within the duration of a request; after that the estimate is the
/// mean of the stated loads. So gateways that get responses at different times don't
/// all react to the same stated load.
class ServerLoadEstimator
{
public:
    /// Records the running and waiting requests that the server stated in its response at \a now.
    void record(int running, int waiting, Instant now);
    /// Returns the expected number of requests at the server, waiting ones included; nothing if no
    /// load was stated lately.
    std::optional<double> estimatedRequests(Instant now) const;

private:
    double m_latest = 0;
    double m_mean = 0;
    std::optional<Instant> m_at;
};

} // namespace quetzalyoke

#endif
