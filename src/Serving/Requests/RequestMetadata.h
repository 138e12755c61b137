#ifndef QUETZALYOKE_SERVING_REQUESTS_REQUESTMETADATA_H
#define QUETZALYOKE_SERVING_REQUESTS_REQUESTMETADATA_H

#include "Serving/State/ServingConfig.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A part of a prompt that several requests may share.
struct PromptPart
{
    std::uint64_t hash = 0;
    Tokens length;
};

/// \brief What a caller's request says of itself besides its method, path and body.
struct RequestMetadata
{
    RequestId id; ///< One for each try of the caller.
    std::string apiKey;
    std::optional<Milliseconds> timeLeft; ///< How long the caller will wait.
    ModelName model; ///< Empty: the call names none.
    AdapterName adapter; ///< Empty: the bare model.
    bool hasTokenCounts = false;
    Tokens promptTokens;
    Tokens maxOutputTokens; ///< The most that the answer may have.
    std::vector<PromptPart> promptParts; ///< In order; the last one is the request's own.
};

} // namespace quetzalyoke

#endif
