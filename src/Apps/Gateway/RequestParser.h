#ifndef QUETZALYOKE_APPS_GATEWAY_REQUESTPARSER_H
#define QUETZALYOKE_APPS_GATEWAY_REQUESTPARSER_H

#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/GatewayState.h"
#include "Apps/Gateway/ParsedRequest.h"
#include "Core/Requests/Refusal.h"

#include <httplib.h>

#include <string>
#include <variant>

namespace quetzalyoke {

/// \brief Parses callers' HTTP requests, or reports what is wrong with them.
///
/// The part of a parsed request that is sent to a backend server never contains a key.
class RequestParser
{
public:
    using Result = std::variant<ParsedRequest, Refusal>;

    explicit RequestParser(const GatewaySettings &settings);

    /// Parses a completion request, whose body names a model or an adapter.
    Result parseCompletion(const httplib::Request &req, const ServiceList &list,
                           const AccountId &account) const;
    /// Parses a request for a plain service under /services/<name>.
    Result parseServiceRequest(const httplib::Request &req, const ServiceList &list,
                               const AccountId &account) const;

    /// Returns the key sent with \a req, or an empty string if there is none.
    static std::string presentedKey(const httplib::Request &req);

private:
    /// Parses what both kinds of requests have in common.
    Result parseCommon(const httplib::Request &req, const AccountId &account) const;

    const GatewaySettings &m_settings;
};

} // namespace quetzalyoke

#endif
