#include "Apps/Agent/EngineClient.h"

#include "Adapters/HttpResponseCheck.h"
#include "Core/Error.h"
#include "Core/JsonText.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;

httplib::Client makeClient(const Address &address, std::chrono::milliseconds timeout)
{
    httplib::Client client(address.host, address.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    return client;
}

std::string orderBody(const EngineOrder &order)
{
    Json body{{"order", order.kind == EngineOrder::Kind::Load ? "load" : "unload"},
              {"name", order.model.name},
              {"fencing", order.fencingToken.count()}};
    if (order.kind == EngineOrder::Kind::Load) {
        body["version"] = order.model.version;
        body["memory_mb"] = order.model.memory.count();
        body["adapter"] = order.model.isAdapter;
    }
    return dumpJson(body);
}

} // namespace

EngineClient::EngineClient(const Address &engine, std::chrono::milliseconds timeout)
    : m_engine(engine), m_timeout(timeout)
{ }

EngineReport EngineClient::readReport()
{
    httplib::Client client = makeClient(m_engine, m_timeout);
    const auto result = client.Get("/load");
    const bool isReport = result && isValidHttpResponse(*result) && result->status == statusOk;
    const Json json = isReport ? Json::parse(result->body, nullptr, false) : Json();
    if (!json.is_object()) {
        throw Error(ErrorKind::PeerUnavailable,
                    "the engine at " + m_engine.text()
                        + " sent no valid load report; check that it is running");
    }
    EngineReport report;
    report.memory = Megabytes(json.value("memory_mb", std::int64_t(0)));
    report.highestFencingToken = FencingToken(json.value("fencing", std::int64_t(0)));
    for (const Json &it : json.at("holdings")) {
        report.models.push_back({it.at("name"), it.at("version"), Megabytes(it.at("memory_mb")),
                                 it.at("adapter"), it.at("ready")});
    }
    return report;
}

void EngineClient::sendOrder(const EngineOrder &order)
{
    httplib::Client client = makeClient(m_engine, m_timeout);
    const auto result = client.Post("/orders", orderBody(order), "application/json");
    if (!result || !isValidHttpResponse(*result)) {
        throw Error(ErrorKind::OutcomeUnknown,
                    "the engine at " + m_engine.text() + " sent no valid response to an order");
    }
    if (result->status != statusOk) {
        throw Error(ErrorKind::Conflict,
                    "the engine at " + m_engine.text() + " refused an order: " + result->body);
    }
}

} // namespace quetzalyoke
