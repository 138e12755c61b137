#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERPACE_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERPACE_H

#include "Core/StrongTypes.h"

#include <optional>

namespace quetzalyoke {

/// \brief How long work takes at a server now, relative to the usual time, from the paces that the
/// server states in its responses; no I/O.
///
/// A stated pace changes many times a second. It loses its weight within some hundred milliseconds
/// in favour of the mean of the stated paces, and the mean in favour of the usual pace.
class ServerPace
{
public:
    /// Records \a percent, which the server stated in its response at \a now: 100 is usual, 250
    /// means that work takes 2.5 times as long.
    void record(double percent, Instant now);
    /// Returns the expected factor of the duration of work at \a now: 1 is usual, larger is slower.
    /// 1 if the server has stated no pace.
    double factor(Instant now) const;

private:
    double m_latest = 1;
    double m_mean = 1;
    std::optional<Instant> m_at;
};

} // namespace quetzalyoke

#endif
