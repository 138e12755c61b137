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

/// \brief Turns callers' HTTP requests into calls, or says what is wrong with them.
///
/// What a call carries towards a backend server never holds a key.
class RequestParser
{
public:
    using Result = std::variant<ParsedRequest, Refusal>;

    explicit RequestParser(const GatewaySettings &settings);

    /// A completion; the body names a model or an adapter.
    Result parseCompletion(const httplib::Request &req, const ServiceList &list,
                           const AccountId &account) const;
    /// A call of a plain service under /services/<name>.
    Result parseServiceRequest(const httplib::Request &req, const ServiceList &list,
                               const AccountId &account) const;

    /// The key that came with \a req; empty where none did.
    static std::string presentedKey(const httplib::Request &req);

private:
    /// What both kinds have in common.
    Result parseCommon(const httplib::Request &req, const AccountId &account) const;

    const GatewaySettings &m_settings;
};

} // namespace quetzalyoke

#endif
