#include "Apps/Ctl/OperatorClient.h"

#include "Core/Error.h"

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds connectTimeout{3};
// Must exceed the time that a gateway takes to put a change in force everywhere.
constexpr std::chrono::seconds responseTimeout{60};

std::string errorMessageIn(const Json &body, const std::string &fallback)
{
    return body.is_object() && body.contains("error") && body["error"].is_string()
        ? body["error"].get<std::string>()
        : fallback;
}

ErrorKind kindFor(int status)
{
    switch (status) {
    case 401:
        return ErrorKind::NotAuthenticated;
    case 404:
        return ErrorKind::NotFound;
    case 409:
        return ErrorKind::Conflict;
    case 503:
        return ErrorKind::PlatformUnavailable;
    case 504:
        return ErrorKind::OutcomeUnknown;
    default:
        return ErrorKind::MalformedData;
    }
}

// Returns whether the call had no effect, so that another gateway may be tried.
bool hadNoEffect(const Error &e)
{
    return e.kind() == ErrorKind::PeerUnavailable || e.kind() == ErrorKind::PlatformUnavailable;
}

} // namespace

OperatorClient::OperatorClient(const std::vector<std::string> &gateways, std::string secret)
    : m_secret(std::move(secret))
{
    for (const std::string &it : gateways)
        m_gateways.push_back(Address::parse(it));
    if (m_gateways.empty()) {
        throw Error(ErrorKind::BadSettings,
                    "no gateway is named; give --gateway IP:PORT or set QUETZALYOKE_GATEWAY");
    }
}

Json OperatorClient::get(const std::string &path, const httplib::Params &params)
{
    return callAny(CallKind::Read, [&](httplib::Client &client) {
        return client.Get(path, params, httplib::Headers{});
    });
}

Json OperatorClient::getFrom(const Address &gateway, const std::string &path,
                             const httplib::Params &params)
{
    return call(gateway, CallKind::Read, [&](httplib::Client &client) {
        return client.Get(path, params, httplib::Headers{});
    });
}

Json OperatorClient::put(const std::string &path, const httplib::Params &params,
                         const std::string &body)
{
    const std::string target = httplib::append_query_params(path, params);
    return callAny(CallKind::Change,
                   [&](httplib::Client &client) { return client.Put(target, body, "text/plain"); });
}

Json OperatorClient::post(const std::string &path, const httplib::Params &params)
{
    const std::string target = httplib::append_query_params(path, params);
    return callAny(CallKind::Change, [&](httplib::Client &client) { return client.Post(target); });
}

Json OperatorClient::remove(const std::string &path)
{
    return callAny(CallKind::Change, [&](httplib::Client &client) { return client.Delete(path); });
}

Json OperatorClient::callAny(CallKind kind, const Send &send)
{
    for (std::size_t i = 0; i + 1 < m_gateways.size(); ++i) {
        try {
            return call(m_gateways[i], kind, send);
        } catch (const Error &e) {
            if (!hadNoEffect(e))
                throw;
        }
    }
    return call(m_gateways.back(), kind, send);
}

Json OperatorClient::call(const Address &gateway, CallKind kind, const Send &send)
{
    httplib::Client client(gateway.host, gateway.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(responseTimeout);
    client.set_bearer_token_auth(m_secret);
    const httplib::Result result = send(client);
    if (!result) {
        const bool neverSent = result.error() == httplib::Error::Connection
            || result.error() == httplib::Error::ConnectionTimeout;
        const bool isSafeToRetry = neverSent || kind == CallKind::Read;
        throw Error(isSafeToRetry ? ErrorKind::PeerUnavailable : ErrorKind::OutcomeUnknown,
                    isSafeToRetry ? gateway.text()
                            + " did not respond; check --gateway, or name another gateway"
                                  : "the response of " + gateway.text()
                            + " was lost; the change may have taken effect");
    }
    const Json body = Json::parse(result->body, nullptr, false);
    if (result->status == 200 && body.is_object())
        return body;
    throw Error(kindFor(result->status),
                errorMessageIn(body,
                               gateway.text() + " answered with status "
                                   + std::to_string(result->status)
                                   + "; check that --gateway names a gateway's HTTP address"));
}

} // namespace quetzalyoke
