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
    std::uint64_t id = 0; ///< Stated by the caller; the same in all requests that share the part.
    Tokens length;
};

/// Returns \a id as it is written in logs: in hexadecimal, without leading zeros.
std::string promptPartText(std::uint64_t id);
/// Returns the fingerprint of the prompt part \a id.
Fingerprint promptPartFingerprint(std::uint64_t id);
/// Returns whether \a fingerprint is that of a prompt part; otherwise it is that of a request.
bool isPromptPart(const Fingerprint &fingerprint);

/// \brief Data of a caller's request besides its method, path and body.
struct RequestMetadata
{
    RequestId id; ///< Differs for each attempt of the caller.
    std::string apiKey;
    std::optional<Milliseconds> timeLeft; ///< How long the caller still waits for the response.
    ModelName model; ///< Empty if the request names no model.
    AdapterName adapter; ///< Empty if the model is used without an adapter.
    bool hasTokenCounts = false;
    Tokens promptTokens;
    Tokens maxOutputTokens; ///< Maximum number of tokens in the response.
    bool isTakeUp = false; ///< The caller takes up a stream of which it has got events.
    RequestId resumedAttempt; ///< The attempt that brought its first event; may be missing.
    std::vector<PromptPart>
        promptParts; ///< In order; the last one is not shared with other requests.
};

} // namespace quetzalyoke

#endif
