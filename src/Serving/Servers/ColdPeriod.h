#ifndef QUETZALYOKE_SERVING_SERVERS_COLDPERIOD_H
#define QUETZALYOKE_SERVING_SERVERS_COLDPERIOD_H

#include "Core/StrongTypes.h"
#include "Serving/Servers/RequestRate.h"

#include <optional>

namespace quetzalyoke {

/// \brief From what a gateway knows that a server is cold.
enum class ColdSource {
    None,
    Entry, ///< Its entry in the platform's list.
    Start, ///< It has started, and its entry doesn't state whether it is cold.
    Response, ///< A response of the server.
    Peer, ///< Another gateway.
};

const char *coldSourceText(ColdSource source);

/// \brief Until when one incarnation of a server is cold, as far as this gateway knows; no I/O.
///
/// Every statement gives the remaining time when it was made, so the end computed on its arrival is
/// never too early. Only a statement that is known to be newer than what is believed makes the
/// period shorter.
class ColdPeriod
{
public:
    /// Each returns whether the belief changes notably: the server becomes cold or warm, or the end
    /// moves by a second.
    ///
    /// Records that the server's entry states \a remaining; zero: it is warm. Entries arrive in the
    /// order in which they were written, but later than responses.
    bool recordEntry(Duration remaining, Instant now);
    /// Records that the server has started and states nothing itself.
    bool recordStart(Duration remaining, Instant now);
    /// Records that the server's process has ended, so that the next one may answer before the list
    /// shows it, and is cold for \a remaining then.
    bool recordEnd(Duration remaining, Instant now);
    /// Records what a response to a request sent at \a sentAt states.
    bool recordResponse(Duration remaining, Instant sentAt, Instant now);
    /// Records what another gateway believes.
    bool recordPeer(Duration remaining, Instant now);

    bool isCold(Instant now) const { return now < m_until; }
    /// Returns the remaining time; zero if the server is warm.
    Duration remaining(Instant now) const;
    /// Returns when the server was first believed to be cold.
    Instant beganAt() const { return m_beganAt; }
    ColdSource source() const { return m_source; }
    /// Returns the rate of requests that the server may get from all gateways together, of which it
    /// tolerates \a coldRate while it is cold; nothing: any rate. It rises after the end of the
    /// period.
    std::optional<RequestRate> requestRate(RequestRate coldRate, Instant now) const;

private:
    bool set(Instant until, ColdSource source, Instant now);

    Instant m_until;
    Instant m_beganAt;
    Instant m_changedAt;
    ColdSource m_source = ColdSource::None;
    bool m_isEntryOlder = false; // entries may be older than the statement that is believed
};

} // namespace quetzalyoke

#endif
