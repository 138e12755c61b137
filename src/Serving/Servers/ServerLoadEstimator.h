#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERLOADESTIMATOR_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERLOADESTIMATOR_H

#include "Core/StrongTypes.h"

#include <optional>

namespace quetzalyoke {

/// \brief What a server states of its load in its answers, and what that says of a later moment.
///
/// A stated load is worth as long as its requests take; then only the mean of what was stated
/// tells. So gateways that hear of a server at different times don't all follow the same news.
class ServerLoadEstimator
{
public:
    /// Requests that the server ran and had waiting when it answered at \a now.
    void record(int running, int waiting, Instant now);
    /// Requests there, waiting ones included; nothing if none was stated lately.
    std::optional<double> estimatedRequests(Instant now) const;

private:
    double m_latest = 0;
    double m_mean = 0;
    std::optional<Instant> m_at;
};

} // namespace quetzalyoke

#endif
