#ifndef QUETZALYOKE_APPS_ENTRY_REQUESTADMISSION_H
#define QUETZALYOKE_APPS_ENTRY_REQUESTADMISSION_H

#include "Adapters/Async/HttpServerConnection.h"
#include "Apps/Entry/EntryState.h"

namespace quetzalyoke {

/// \brief Everything that the configuration in force determines for one request.
struct RequestContext
{
    ServingConfigPtr config; ///< The version that governs this request.
    RequestMetadata metadata;
    std::string problem; ///< What the caller must change, for the body of a 400.
    std::vector<std::uint64_t> prefixHashes; ///< From computePrefixHashes().
    const Route *route = nullptr;
    const ClientAccount *account = nullptr; ///< May be nullptr on public routes.
    const ServiceSpec *service = nullptr;
    std::vector<Fingerprint> crashSuspects; ///< What a crash may be due to if this request runs.
    bool isCrashTrial = false; ///< Sent although one of them is refused.
    Instant deadline; ///< The caller's deadline or the route's, whichever is first.
    double chargedCost = 0; ///< Charged to the account's quota.
    int priority = 0; ///< 0 is the most urgent.
};

/// Returns the urgency of an admitted request.
RequestUrgency requestUrgency(const RequestContext &context, Instant arrivedAt);

/// \brief Why the gateway refuses a request without sending it to a server; it has not run.
struct Rejection
{
    int status = 503;
    const char *reason = "";
    std::optional<Duration> retryAfter;
};

/// \brief Checks one request on arrival: its header, route, account, known crashes and quota.
class RequestAdmission
{
public:
    RequestAdmission(EntryState &state, const HttpRequest &request)
        : m_state(state), m_request(request)
    { }

    /// Returns why the request is rejected, or nothing if it is admitted. Fills in \a context as
    /// far as the request passes the checks.
    std::optional<Rejection> admit(RequestContext &context) const;

private:
    std::optional<Rejection> findRoute(RequestContext &context) const;
    std::optional<Rejection> chargeQuota(RequestContext &context) const;
    std::vector<Fingerprint> crashSuspects(const RequestContext &context) const;
    std::optional<Rejection> checkCrashes(RequestContext &context) const;
    const ServiceSpec *chooseService(const RequestContext &context) const;

    EntryState &m_state;
    const HttpRequest &m_request;
};

} // namespace quetzalyoke

#endif
