#ifndef QUETZALYOKE_SERVING_STATE_STATEFRESHNESS_H
#define QUETZALYOKE_SERVING_STATE_STATEFRESHNESS_H

#include "Core/StrongTypes.h"

#include <algorithm>

namespace quetzalyoke {

/// \brief Until when a gateway's copies are known to have all changes, by its own clock.
struct StateTimes
{
    Instant operators;
    Instant servers;

    Instant oldest() const { return std::min(operators, servers); }
};

/// \brief Keeps the state of gateways that get it from another one younger than the platform's
/// bound of two seconds.
///
/// That the other gateway responds shows that it lives, not that it still hears the store.
struct StateFreshness
{
    /// A gateway whose copy may lack older changes than this reads the store itself. What is left
    /// of the two seconds is for that read.
    static constexpr Duration maxAge = std::chrono::milliseconds(1600);
    /// Longest wait of a reader's calls while others rely on it. A slow store responds 0.4 s later,
    /// the response reaches the others within reportInterval and a tick, and they are still within
    /// maxAge.
    static constexpr std::chrono::milliseconds readerPollWait{800};
    /// A reader reports that nothing has changed at most this often.
    static constexpr Duration reportInterval = std::chrono::milliseconds(300);

    static bool isOutdated(const StateTimes &confirmedAt, Instant now)
    {
        return now - confirmedAt.oldest() > maxAge;
    }
    /// Returns whether a reader responds to a poll received at \a receivedAt, when it knew
    /// \a before, though nothing has changed.
    static bool isReportDue(const StateTimes &before, const StateTimes &confirmedAt,
                            Instant receivedAt, Instant now)
    {
        const bool isNewer
            = confirmedAt.operators > before.operators || confirmedAt.servers > before.servers;
        return isNewer && now - receivedAt >= reportInterval;
    }
};

} // namespace quetzalyoke

#endif
