#include "Adapters/HttpPlatform.h"

#include "Adapters/Address.h"
#include "Core/Error.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

TableRow rowFromJson(const Json &json)
{
    return {json.at("key"), json.at("value"), Version(json.at("version"))};
}

// Reads are harmless to repeat, so a lost answer counts as "not available" there.
const httplib::Response &requireAnswer(const httplib::Result &result, ErrorKind lostAnswer)
{
    if (!result) {
        const bool neverSent = result.error() == httplib::Error::Connection;
        throw Error(neverSent ? ErrorKind::PlatformUnavailable : lostAnswer,
                    "the platform's service gave no answer (" + httplib::to_string(result.error())
                        + "); check platform_address and the service");
    }
    if (result->status == 503) {
        throw Error(ErrorKind::PlatformUnavailable,
                    "the platform's service is out; try again later");
    }
    return *result;
}

[[noreturn]] void throwBadAnswer(const httplib::Response &response, ErrorKind kind,
                                 const std::string &problem)
{
    throw Error(kind,
                "the platform's service gave an answer that can't be used (status "
                    + std::to_string(response.status) + ", " + problem
                    + "); check platform_address");
}

// An error page must not be taken for data.
void requireSuccess(const httplib::Response &response, ErrorKind badAnswer)
{
    if (response.status / 100 != 2)
        throwBadAnswer(response, badAnswer, "an error");
}

// What \a read makes of the body; fields that are missing or of another type end as \a badAnswer.
template<typename Reader>
auto decode(const httplib::Response &response, ErrorKind badAnswer, const Reader &read)
{
    requireSuccess(response, badAnswer);
    try {
        return read(Json::parse(response.body));
    } catch (const Json::exception &e) {
        throwBadAnswer(response, badAnswer, e.what());
    }
}

} // namespace

class HttpPlatform::Lease
{
public:
    explicit Lease(HttpPlatform &owner) : m_owner(owner), m_client(owner.takeClient()) { }
    ~Lease() { m_owner.giveBack(std::move(m_client)); }
    Lease(const Lease &) = delete;
    Lease &operator=(const Lease &) = delete;

    httplib::Client *operator->() { return m_client.get(); }

private:
    HttpPlatform &m_owner;
    std::unique_ptr<httplib::Client> m_client;
};

HttpPlatform::HttpPlatform(std::string address, std::chrono::milliseconds timeout)
    : m_address(std::move(address)), m_timeout(timeout)
{ }

HttpPlatform::~HttpPlatform() = default;

std::unique_ptr<httplib::Client> HttpPlatform::takeClient()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idle.empty()) {
            auto client = std::move(m_idle.back());
            m_idle.pop_back();
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

void HttpPlatform::giveBack(std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(std::move(client));
}

std::optional<TableRow> HttpPlatform::read(const std::string &key)
{
    Lease client(*this);
    const auto result
        = client->Get("/table/row", httplib::Params{{"key", key}}, httplib::Headers{});
    const auto &response = requireAnswer(result, ErrorKind::PlatformUnavailable);
    if (response.status == 404)
        return std::nullopt;
    return decode(response, ErrorKind::BadAnswer, rowFromJson);
}

std::vector<TableRow> HttpPlatform::scan(const std::string &prefix, Version after)
{
    Lease client(*this);
    const httplib::Params params{{"prefix", prefix}, {"after", std::to_string(after.count())}};
    const auto result = client->Get("/table/scan", params, httplib::Headers{});
    const auto &response = requireAnswer(result, ErrorKind::PlatformUnavailable);
    return decode(response, ErrorKind::BadAnswer, [](const Json &json) {
        std::vector<TableRow> rows;
        for (const Json &it : json.at("rows").get_ref<const Json::array_t &>())
            rows.push_back(rowFromJson(it));
        return rows;
    });
}

std::optional<Version> HttpPlatform::commit(const std::vector<ConditionalWrite> &writes)
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
    Lease client(*this);
    const auto result = client->Post("/table/commit", body.dump(), "application/json");
    const auto &response = requireAnswer(result, ErrorKind::OutcomeUnknown);
    if (response.status == 409)
        return std::nullopt;
    // The write was taken in whatever the answer says.
    return decode(response, ErrorKind::OutcomeUnknown,
                  [](const Json &json) { return Version(json.at("version")); });
}

std::optional<std::string> HttpPlatform::get(const std::string &name)
{
    Lease client(*this);
    const auto result = client->Get("/objects/" + name);
    const auto &response = requireAnswer(result, ErrorKind::PlatformUnavailable);
    if (response.status == 404)
        return std::nullopt;
    requireSuccess(response, ErrorKind::BadAnswer);
    return response.body;
}

void HttpPlatform::put(const std::string &name, const std::string &body)
{
    Lease client(*this);
    const auto result = client->Put("/objects/" + name, body, "application/octet-stream");
    requireSuccess(requireAnswer(result, ErrorKind::OutcomeUnknown), ErrorKind::OutcomeUnknown);
}

std::vector<ListedInstance> HttpPlatform::instances()
{
    Lease client(*this);
    const auto result = client->Get("/instances");
    const auto &response = requireAnswer(result, ErrorKind::PlatformUnavailable);
    return decode(response, ErrorKind::BadAnswer, [](const Json &json) {
        std::vector<ListedInstance> list;
        for (const Json &it : json.at("instances").get_ref<const Json::array_t &>()) {
            list.push_back(
                {InstanceId(it.at("instance")), it.at("address"), it.value("leaving", false)});
        }
        return list;
    });
}

} // namespace quetzalyoke
