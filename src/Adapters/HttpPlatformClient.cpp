#include "Adapters/HttpPlatformClient.h"

#include "Adapters/Address.h"
#include "Adapters/BoundedJson.h"
#include "Adapters/HttpResponseCheck.h"
#include "Core/Error.h"
#include "Core/JsonText.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

TableRow rowFromJson(const Json &json)
{
    return {json.at("key"), json.at("value"), Version(json.at("version"))};
}

// Throws Error if there is no usable response: of kind \a noResponseKind if the request may have
// been executed. Reads can be retried safely, so they pass PlatformUnavailable.
const httplib::Response &requireResponse(const httplib::Result &result, ErrorKind noResponseKind)
{
    if (!result) {
        const bool neverSent = result.error() == httplib::Error::Connection;
        throw Error(neverSent ? ErrorKind::PlatformUnavailable : noResponseKind,
                    "no response from the platform's service (" + httplib::to_string(result.error())
                        + "); check platform_address and the service");
    }
    if (!isValidHttpResponse(*result)) {
        throw Error(noResponseKind,
                    "the platform's service sent no valid HTTP response; check platform_address");
    }
    if (result->status == 503) {
        throw Error(ErrorKind::PlatformUnavailable,
                    "the platform's service is unavailable; retry later");
    }
    return *result;
}

[[noreturn]] void throwMalformedData(const httplib::Response &response, ErrorKind kind,
                                     const std::string &problem)
{
    throw Error(kind,
                "the platform's service sent an unusable response (status "
                    + std::to_string(response.status) + ", " + problem
                    + "); check platform_address");
}

// Throws Error unless the status is 2xx, so that an error page is never read as data.
void requireSuccess(const httplib::Response &response, ErrorKind malformedKind)
{
    if (response.status / 100 != 2)
        throwMalformedData(response, malformedKind, "an error status");
}

// Applies \a read to the JSON body. Throws Error of kind \a malformedKind if a field is missing or
// has another type.
template<typename Reader>
auto decode(const httplib::Response &response, ErrorKind malformedKind, const Reader &read)
{
    requireSuccess(response, malformedKind);
    try {
        return read(parseJson(response.body));
    } catch (const Json::exception &e) {
        throwMalformedData(response, malformedKind, e.what());
    }
}

} // namespace

class HttpPlatformClient::PooledClient
{
public:
    explicit PooledClient(HttpPlatformClient &owner)
        : m_owner(owner), m_client(owner.acquireClient())
    { }
    ~PooledClient() { m_owner.releaseClient(std::move(m_client)); }
    PooledClient(const PooledClient &) = delete;
    PooledClient &operator=(const PooledClient &) = delete;

    httplib::Client *operator->() { return m_client.get(); }

private:
    HttpPlatformClient &m_owner;
    std::unique_ptr<httplib::Client> m_client;
};

HttpPlatformClient::HttpPlatformClient(std::string address, std::chrono::milliseconds timeout)
    : m_address(std::move(address)), m_timeout(timeout)
{ }

HttpPlatformClient::~HttpPlatformClient() = default;

std::unique_ptr<httplib::Client> HttpPlatformClient::acquireClient()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idleClients.empty()) {
            auto client = std::move(m_idleClients.back());
            m_idleClients.pop_back();
            return client;
        }
    }
    const Address address = Address::parse(m_address);
    auto client = std::make_unique<httplib::Client>(address.host, address.port);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    client->set_connection_timeout(m_timeout);
    client->set_read_timeout(m_timeout);
    client->set_write_timeout(m_timeout);
    return client;
}

void HttpPlatformClient::releaseClient(std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(m_mutex);
    m_idleClients.push_back(std::move(client));
}

std::optional<TableRow> HttpPlatformClient::read(const std::string &key)
{
    PooledClient client(*this);
    const auto result
        = client->Get("/table/row", httplib::Params{{"key", key}}, httplib::Headers{});
    const auto &response = requireResponse(result, ErrorKind::PlatformUnavailable);
    if (response.status == 404)
        return std::nullopt;
    return decode(response, ErrorKind::MalformedData, rowFromJson);
}

std::vector<TableRow> HttpPlatformClient::scan(const std::string &prefix, Version after)
{
    PooledClient client(*this);
    const httplib::Params params{{"prefix", prefix}, {"after", std::to_string(after.count())}};
    const auto result = client->Get("/table/scan", params, httplib::Headers{});
    const auto &response = requireResponse(result, ErrorKind::PlatformUnavailable);
    return decode(response, ErrorKind::MalformedData, [](const Json &json) {
        std::vector<TableRow> rows;
        for (const Json &it : json.at("rows").get_ref<const Json::array_t &>())
            rows.push_back(rowFromJson(it));
        return rows;
    });
}

std::optional<Version> HttpPlatformClient::commit(const std::vector<ConditionalWrite> &writes)
{
    Json body;
    body["writes"] = Json::array();
    for (const ConditionalWrite &it : writes) {
        Json write{{"key", it.key}};
        if (it.value)
            write["value"] = *it.value;
        if (it.expected)
            write["expected"] = it.expected->count();
        body["writes"].push_back(write);
    }
    PooledClient client(*this);
    const auto result = client->Post("/table/commit", dumpJson(body), "application/json");
    const auto &response = requireResponse(result, ErrorKind::OutcomeUnknown);
    if (response.status == 409)
        return std::nullopt;
    // The table may have applied the writes whatever the response says.
    return decode(response, ErrorKind::OutcomeUnknown,
                  [](const Json &json) { return Version(json.at("version")); });
}

std::optional<std::string> HttpPlatformClient::get(const std::string &name)
{
    PooledClient client(*this);
    const auto result = client->Get("/objects/" + name);
    const auto &response = requireResponse(result, ErrorKind::PlatformUnavailable);
    if (response.status == 404)
        return std::nullopt;
    requireSuccess(response, ErrorKind::MalformedData);
    return response.body;
}

void HttpPlatformClient::put(const std::string &name, const std::string &body)
{
    PooledClient client(*this);
    const auto result = client->Put("/objects/" + name, body, "application/octet-stream");
    requireSuccess(requireResponse(result, ErrorKind::OutcomeUnknown), ErrorKind::OutcomeUnknown);
}

std::vector<ListedInstance> HttpPlatformClient::instances()
{
    PooledClient client(*this);
    const auto result = client->Get("/instances");
    const auto &response = requireResponse(result, ErrorKind::PlatformUnavailable);
    return decode(response, ErrorKind::MalformedData, [](const Json &json) {
        std::vector<ListedInstance> list;
        for (const Json &it : json.at("instances").get_ref<const Json::array_t &>()) {
            list.push_back(
                {InstanceId(it.at("instance")), it.at("address"), it.value("leaving", false)});
        }
        return list;
    });
}

} // namespace quetzalyoke
