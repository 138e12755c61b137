#ifndef QUETZALYOKE_APPS_GATEWAY_PARSEDREQUEST_H
#define QUETZALYOKE_APPS_GATEWAY_PARSEDREQUEST_H

#include "Core/StrongTypes.h"
#include "Ports/AccountLimits.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A caller's request, validated and ready to be forwarded.
struct ParsedRequest
{
    RequestId id;
    AccountId account; ///< Empty on open routes.
    std::string target; ///< Name of a model or plain service.
    std::string adapter;
    std::string method;
    std::string path; ///< Path and query as sent to the backend server.
    std::vector<wire::Header> headers;
    std::string body;
    bool isIdempotent = true;
    bool targetsModel = true;
    std::string idempotencyKey; ///< Empty if there is none.
    Fingerprint fingerprint;
    Instant deadline;
    TokenEstimate estimate;
    std::uint64_t promptPrefixHash = 0; ///< See computePromptPrefixHash().
};

} // namespace quetzalyoke

#endif
