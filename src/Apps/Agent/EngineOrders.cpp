#include "Apps/Agent/EngineOrders.h"

#include "Core/Error.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

httplib::Client makeClient(const Address &address, std::chrono::milliseconds timeout)
{
    httplib::Client client(address.host, address.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    return client;
}

} // namespace

EngineOrders::EngineOrders(const Address &engine, std::chrono::milliseconds timeout)
    : m_engine(engine), m_timeout(timeout)
{ }

std::vector<Holding> EngineOrders::holdings()
{
    httplib::Client client = makeClient(m_engine, m_timeout);
    const auto result = client.Get("/load");
    const Json json = result ? Json::parse(result->body, nullptr, false) : Json();
    if (!json.is_object()) {
        throw Error(ErrorKind::PeerUnavailable,
                    "the engine at " + m_engine.text()
                        + " gives no load report; check that it runs");
    }
    std::vector<Holding> holdings;
    for (const Json &it : json.at("holdings")) {
        holdings.push_back({it.at("name"), it.at("version"), Megabytes(it.at("memory_mb")),
                            it.at("adapter"), it.at("ready")});
    }
    return holdings;
}

void EngineOrders::load(const Holding &holding, std::int64_t fencing)
{
    order(Json{{"order", "load"},
               {"name", holding.name},
               {"version", holding.version},
               {"memory_mb", holding.memory.count()},
               {"adapter", holding.adapter},
               {"fencing", fencing}}
              .dump());
}

void EngineOrders::unload(const std::string &name, std::int64_t fencing)
{
    order(Json{{"order", "unload"}, {"name", name}, {"fencing", fencing}}.dump());
}

void EngineOrders::order(const std::string &body)
{
    httplib::Client client = makeClient(m_engine, m_timeout);
    const auto result = client.Post("/orders", body, "application/json");
    if (!result) {
        throw Error(ErrorKind::OutcomeUnknown,
                    "the engine at " + m_engine.text() + " did not answer an order");
    }
    if (result->status != 200) {
        throw Error(ErrorKind::Conflict,
                    "the engine at " + m_engine.text() + " refused an order: " + result->body);
    }
}

} // namespace quetzalyoke
