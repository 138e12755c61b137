#ifndef QUETZALYOKE_APPS_CTL_OPERATORCLIENT_H
#define QUETZALYOKE_APPS_CTL_OPERATORCLIENT_H

#include "Adapters/Address.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Calls the operators' API of the gateways.
///
/// The gateways are tried in order until one accepts the call. The next gateway is tried only if
/// the call had no effect: for reads after a failed connection or response, for changes only if
/// nothing was sent or the gateway says so. Calls throw Error, with OutcomeUnknown if a change was
/// sent and its response was lost.
class OperatorClient
{
public:
    using Json = nlohmann::json;

    OperatorClient(const std::vector<std::string> &gateways, std::string secret);

    const std::vector<Address> &gateways() const { return m_gateways; }
    Json get(const std::string &path, const httplib::Params &params = {});
    /// Reads from \a gateway only.
    Json getFrom(const Address &gateway, const std::string &path,
                 const httplib::Params &params = {});
    Json put(const std::string &path, const httplib::Params &params, const std::string &body);
    Json post(const std::string &path, const httplib::Params &params);
    Json remove(const std::string &path);

private:
    using Send = std::function<httplib::Result(httplib::Client &)>;
    enum class CallKind { Read, Change };

    Json callAny(CallKind kind, const Send &send);
    Json call(const Address &gateway, CallKind kind, const Send &send);

    std::vector<Address> m_gateways;
    std::string m_secret;
};

} // namespace quetzalyoke

#endif
