#ifndef QUETZALYOKE_APPS_LOAD_REQUESTOUTCOME_H
#define QUETZALYOKE_APPS_LOAD_REQUESTOUTCOME_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <string>

namespace quetzalyoke {

/// \brief The outcome of a request as seen by its caller. Times are measured from its intended
/// start.
struct RequestOutcome
{
    enum class Kind {
        Complete, ///< The complete response to this request.
        Refused, ///< An error response that names a reason.
        Incomplete, ///< The connection ended before the response did.
        Mismatched, ///< A response that belongs to another request.
    };

    Kind kind = Kind::Incomplete;
    std::string failureReason; ///< The error's code, or the transport error.
    std::string runState; ///< For a refusal: not-run, unknown or partial.
    std::string requestId;
    Duration timeToFirstToken{0};
    Duration totalLatency{0};
    std::int64_t tokens = 0;

    /// Returns the mean time between two tokens.
    Duration interTokenLatency() const
    {
        return tokens > 1 ? (totalLatency - timeToFirstToken) / (tokens - 1) : Duration::zero();
    }
};

} // namespace quetzalyoke

#endif
