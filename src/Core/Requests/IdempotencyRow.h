#ifndef QUETZALYOKE_CORE_REQUESTS_IDEMPOTENCYROW_H
#define QUETZALYOKE_CORE_REQUESTS_IDEMPOTENCYROW_H

#include "Core/StrongTypes.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace quetzalyoke {

/// Wall-clock time, for records that outlive the instance that wrote them.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// \brief A response that is stored so that it can be sent again for a retried request.
struct StoredResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool bodyDropped = false; ///< The body was too large to store.
};

/// \brief The stored row of one idempotency key of one client account.
///
/// A gateway creates the row before it runs the request, on the condition that the row does not
/// exist, so that only one gateway runs the request.
struct IdempotencyRow
{
    enum class State {
        Running, ///< The gateway that created the row may be running the request.
        Done, ///< The request completed; the response is stored.
        Unknown, ///< The request may have run; it never runs again.
    };

    State state = State::Running;
    AttemptId attempt; ///< Attempt of the gateway that created the row.
    Fingerprint fingerprint; ///< Covers method, path and body; detects a reused key.
    std::string agentAddress; ///< host:port of the agent of the first submission.
    Incarnation agentIncarnation;
    WallTime ownerDeadline; ///< After this time the owner no longer updates the row.
    WallTime expiresAt; ///< After this time the row may be deleted.
    StoredResponse response;

    std::string toJson() const;
    /// Throws Error (MalformedData) if \a json is not a JSON object.
    static IdempotencyRow fromJson(const std::string &json);
};

/// \brief What a gateway does with a request whose idempotency key is already in the table.
enum class RepeatDecision {
    Replay, ///< Send the stored response.
    InProgress, ///< The first request may still be running.
    OutcomeUnknown, ///< It can't be determined whether the first request ran.
    KeyReused, ///< The key was used for a different request.
    OwnRow, ///< This gateway created the row, but the response to its write was lost.
};

/// Decides about a request with \a fingerprint whose key is already in the table as \a row;
/// \a ownAttempt is the attempt with which this gateway tried to create the row.
RepeatDecision decideRepeat(const IdempotencyRow &row, const Fingerprint &fingerprint,
                            const AttemptId &ownAttempt, WallTime now);

} // namespace quetzalyoke

#endif
