#ifndef QUETZALYOKE_APPS_ENTRY_REQUESTADMISSION_H
#define QUETZALYOKE_APPS_ENTRY_REQUESTADMISSION_H

#include "Adapters/Async/HttpServerConnection.h"
#include "Apps/Entry/EntryState.h"

namespace quetzalyoke {

/// \brief What is known of a request once the configuration in force has been applied to it.
struct RequestContext
{
    ServingConfigPtr config; ///< The version that governs this request.
    RequestMetadata call;
    std::vector<std::uint64_t> prefixHashes; ///< computePrefixHashes() of the call.
    const Route *route = nullptr;
    const ClientAccount *account = nullptr; ///< None on open routes.
    const ServiceSpec *service = nullptr;
    Fingerprint fingerprint; ///< Empty: not watched for crashes.
    Instant deadline; ///< The caller's deadline or the route's, whichever is first.
    double chargedCost = 0; ///< Taken from the account's quota.
    int priority = 0; ///< 0 is the most urgent.
};

/// \brief Why a request is answered without a server; it has not run.
struct Rejection
{
    int status = 503;
    const char *reason = "";
    std::optional<Duration> retryAfter;
};

/// \brief Checks of one request on arrival: its form, route, account, known crashes and quota.
class RequestAdmission
{
public:
    RequestAdmission(EntryState &state, const HttpRequest &request)
        : m_state(state), m_request(request)
    { }

    /// Fills in \a context as far as the request passes; nothing if it is admitted.
    std::optional<Rejection> admit(RequestContext &context) const;

private:
    std::optional<Rejection> findRoute(RequestContext &context) const;
    std::optional<Rejection> chargeQuota(RequestContext &context) const;
    bool isKnownToCrash(RequestContext &context) const;
    const ServiceSpec *pickService(const RequestContext &context) const;

    EntryState &m_state;
    const HttpRequest &m_request;
};

} // namespace quetzalyoke

#endif
