#ifndef QUETZALYOKE_APPS_LOAD_REQUESTOUTCOME_H
#define QUETZALYOKE_APPS_LOAD_REQUESTOUTCOME_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <string>

namespace quetzalyoke {

/// \brief What a caller saw of one request. Times count from its intended start.
struct RequestOutcome
{
    enum class Kind {
        Complete, ///< All of its own answer.
        Refused, ///< An error answer that names a reason.
        Incomplete, ///< The connection ended before the answer did.
        Mismatched, ///< An answer that belongs to another request.
    };

    Kind kind = Kind::Incomplete;
    std::string failureReason; ///< The error's code, or what broke.
    std::string runState; ///< Of a refusal: not-run, unknown or partial.
    std::string requestId;
    Duration timeToFirstToken{0};
    Duration totalLatency{0};
    std::int64_t tokens = 0;

    /// Mean time between two tokens.
    Duration interTokenLatency() const
    {
        return tokens > 1 ? (totalLatency - timeToFirstToken) / (tokens - 1) : Duration::zero();
    }
};

} // namespace quetzalyoke

#endif
