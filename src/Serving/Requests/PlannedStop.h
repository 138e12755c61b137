#ifndef QUETZALYOKE_SERVING_REQUESTS_PLANNEDSTOP_H
#define QUETZALYOKE_SERVING_REQUESTS_PLANNEDSTOP_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief The times of a planned stop of this process.
///
/// None of them comes, and nothing may outlast the process, before begin() is called.
class PlannedStop
{
public:
    /// Begins a stop that must be complete after \a grace.
    void begin(Instant now, Duration grace);

    /// Returns whether the platform sends this instance no new connections any more.
    bool isOutOfRotation(Instant now) const { return now >= m_outOfRotationAt; }
    /// Returns until when requests may wait for a server.
    Instant waitsUntil() const { return m_waitsUntil; }
    /// Returns when requests that still run are ended.
    Instant runsUntil() const { return m_runsUntil; }
    /// Returns when the process ends at the latest.
    Instant endsAt() const { return m_endsAt; }
    /// Returns whether a request with \a deadline must not be sent to a server any more: it may
    /// still run when the process ends.
    bool comesTooLate(Instant deadline, Instant now) const
    {
        return isOutOfRotation(now) && deadline > m_runsUntil;
    }

private:
    Instant m_outOfRotationAt = Instant::max();
    Instant m_waitsUntil = Instant::max();
    Instant m_runsUntil = Instant::max();
    Instant m_endsAt = Instant::max();
};

} // namespace quetzalyoke

#endif
