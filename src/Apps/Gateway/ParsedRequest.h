#ifndef QUETZALYOKE_APPS_GATEWAY_PARSEDREQUEST_H
#define QUETZALYOKE_APPS_GATEWAY_PARSEDREQUEST_H

#include "Core/StrongTypes.h"
#include "Ports/AccountLimits.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A request that was let in.
struct ParsedRequest
{
    RequestId id;
    AccountId account; ///< Empty on open routes.
    std::string target; ///< Model or plain service.
    std::string adapter;
    std::string method;
    std::string path; ///< With query, as the backend server gets it.
    std::vector<wire::Header> headers;
    std::string body;
    bool isIdempotent = true;
    bool targetsModel = true;
    std::string idempotencyKey; ///< Empty: none.
    Fingerprint fingerprint;
    Instant deadline;
    TokenEstimate estimate;
    std::uint64_t promptPrefixHash = 0; ///< Of the prompt; see computePromptPrefixHash().
};

} // namespace quetzalyoke

#endif
