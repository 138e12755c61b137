#ifndef QUETZALYOKE_APPS_LOAD_OUTCOME_H
#define QUETZALYOKE_APPS_LOAD_OUTCOME_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <string>

namespace quetzalyoke {

/// \brief What a caller saw of one request. Times count from its intended start.
struct Outcome
{
    enum class Kind {
        Whole, ///< All of its own answer.
        Refused, ///< An error answer that names a reason.
        Broken, ///< The connection ended before the answer did.
        Foreign, ///< An answer that belongs to another request.
    };

    Kind kind = Kind::Broken;
    std::string refusal; ///< The error's code, or what broke.
    std::string runState; ///< Of a refusal: not-run, unknown or partial.
    std::string requestId;
    Duration firstToken{0};
    Duration whole{0};
    std::int64_t tokens = 0;

    /// Mean time between two tokens.
    Duration betweenTokens() const
    {
        return tokens > 1 ? (whole - firstToken) / (tokens - 1) : Duration::zero();
    }
};

} // namespace quetzalyoke

#endif
