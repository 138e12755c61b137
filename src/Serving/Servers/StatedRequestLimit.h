#ifndef QUETZALYOKE_SERVING_SERVERS_STATEDREQUESTLIMIT_H
#define QUETZALYOKE_SERVING_SERVERS_STATEDREQUESTLIMIT_H

#include "Core/StrongTypes.h"
#include "Serving/Servers/RequestRate.h"

#include <optional>

namespace quetzalyoke {

/// \brief The limit of requests that one incarnation of a server states in its responses.
///
/// The limit holds for all gateways together, and only while responses state it. Responses overtake
/// each other, so one without a limit ends it only if its request was sent after the limit was
/// known here. Versions order what different gateways have seen: a change based on a version gets
/// the next one, and of two changes with the same version the lower limit is used.
class StatedRequestLimit
{
public:
    /// Records what a response to a request sent at \a sentAt states. Returns whether this changes
    /// the limit.
    bool recordResponse(std::optional<RequestRate> stated, Instant sentAt, Instant now);
    /// Applies the \a limit that a peer knows with \a version. Returns whether this changes the
    /// limit.
    bool applyPeerLimit(std::optional<RequestRate> limit, std::int64_t version, Instant now);

    /// Returns nothing if the server accepts any number of requests.
    const std::optional<RequestRate> &limit() const { return m_limit; }
    /// Returns when the limit was first known here, or became much lower.
    Instant beganAt() const { return m_beganAt; }
    /// Returns 0 if no response has stated a limit yet.
    std::int64_t version() const { return m_version; }

private:
    bool isStricter(const std::optional<RequestRate> &limit) const;
    void setLimit(std::optional<RequestRate> limit, Instant now);

    std::optional<RequestRate> m_limit;
    std::int64_t m_version = 0;
    Instant m_changedAt;
    Instant m_beganAt;
};

} // namespace quetzalyoke

#endif
