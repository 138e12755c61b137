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

/// \brief An answer as it is kept for a repeated request.
struct StoredResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool bodyDropped = false; ///< Too large to keep.
};

/// \brief What the table knows of one idempotency key of one client account.
///
/// The row is created before the request runs, on the condition that there is none, so that
/// one gateway alone runs it.
struct IdempotencyRow
{
    enum class State {
        Running, ///< Its owner may be running it.
        Done, ///< It completed; the answer is kept.
        Unknown, ///< It may have run; it never runs again.
    };

    State state = State::Running;
    AttemptId attempt; ///< Of the gateway that created the row.
    Fingerprint fingerprint; ///< Of method, path and body, to notice a key used twice.
    std::string agentAddress; ///< host:port of the agent that was asked first.
    Incarnation agentIncarnation;
    WallTime ownerDeadline; ///< After this the owner no longer settles the row.
    WallTime expiresAt; ///< After this the row may be deleted.
    StoredResponse response;

    std::string toJson() const;
    /// Throws Error (MalformedData).
    static IdempotencyRow fromJson(const std::string &json);
};

/// \brief What a gateway does with a request whose key the table knows already.
enum class RepeatDecision {
    Replay, ///< Give the kept answer.
    InProgress, ///< The first one may still be running.
    OutcomeUnknown, ///< Nobody can say any more whether it ran.
    KeyReused, ///< The key came with another request before.
    OwnRow, ///< The row is this gateway's own; the answer to its write was lost.
};

RepeatDecision decideRepeat(const IdempotencyRow &record, const Fingerprint &fingerprint,
                            const AttemptId &own, WallTime now);

} // namespace quetzalyoke

#endif
