#ifndef QUETZALYOKE_APPS_GATEWAY_REQUESTREADER_H
#define QUETZALYOKE_APPS_GATEWAY_REQUESTREADER_H

#include "Apps/Gateway/Call.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/SharedState.h"
#include "Core/Requests/Refusal.h"

#include <httplib.h>

#include <string>
#include <variant>

namespace quetzalyoke {

/// \brief Turns callers' HTTP requests into calls, or says what is wrong with them.
///
/// What a call carries towards a backend server never holds a key.
class RequestReader
{
public:
    using Result = std::variant<Call, Refusal>;

    explicit RequestReader(const GatewaySettings &settings);

    /// A completion; the body names a model or an adapter.
    Result readCompletion(const httplib::Request &req, const ServiceList &list,
                          const AccountId &account) const;
    /// A call of a plain service under /services/<name>.
    Result readServiceCall(const httplib::Request &req, const ServiceList &list,
                           const AccountId &account) const;

    /// The key that came with \a req; empty where none did.
    static std::string presentedKey(const httplib::Request &req);

private:
    /// What both kinds have in common.
    Result readCommon(const httplib::Request &req, const AccountId &account) const;

    const GatewaySettings &m_settings;
};

} // namespace quetzalyoke

#endif
