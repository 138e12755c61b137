#include "StandIns/Platform/PlatformApi.h"

#include "Adapters/Process.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace quetzalyoke::standins {

namespace {

using Json = nlohmann::json;

Json toJson(const TableRow &row)
{
    return {{"key", row.key}, {"value", row.value}, {"version", row.version.count()}};
}

void sendJson(httplib::Response &res, int status, const Json &body)
{
    res.status = status;
    res.set_content(body.dump(), "application/json");
}

std::vector<ConditionalWrite> writesFrom(const Json &body)
{
    std::vector<ConditionalWrite> writes;
    for (const Json &it : body.at("writes")) {
        ConditionalWrite write{it.at("key"), {}, {}};
        if (it.contains("value"))
            write.value = it.at("value").get<std::string>();
        if (it.contains("expected"))
            write.expected = Version(it.at("expected"));
        writes.push_back(write);
    }
    return writes;
}

// Closes the connection without a response.
void dropResponse(httplib::Response &res)
{
    res.set_content_provider(1, "application/json",
                             [](size_t, size_t, httplib::DataSink &) { return false; });
}

} // namespace

PlatformApi::PlatformApi(const PlatformSettings &settings) : m_weights(settings)
{
    const auto limit = [](std::int64_t perSecond) -> std::optional<TokenBucket> {
        if (perSecond == 0)
            return std::nullopt;
        return TokenBucket(TokensPerSecond(perSecond), Tokens(perSecond), Process::now());
    };
    m_reads = limit(settings.readsPerSecond);
    m_writes = limit(settings.writesPerSecond);
}

void PlatformApi::addRoutes(httplib::Server &server)
{
    const auto handlerFor = [this](void (PlatformApi::*method)(const httplib::Request &,
                                                               httplib::Response &)) -> Handler {
        return [this, method](const auto &req, auto &res) { (this->*method)(req, res); };
    };
    const auto readHandler
        = [&](Handler handler) { return withFaults(withLimit(m_reads, std::move(handler))); };
    const auto writeHandler
        = [&](Handler handler) { return withFaults(withLimit(m_writes, std::move(handler))); };
    server.Get("/table/row", readHandler(handlerFor(&PlatformApi::readRow)));
    server.Get("/table/scan", readHandler(handlerFor(&PlatformApi::scanRows)));
    server.Post("/table/commit", writeHandler(handlerFor(&PlatformApi::commitRows)));
    server.Get("/objects/(.+)", readHandler(handlerFor(&PlatformApi::getObject)));
    server.Put("/objects/(.+)", writeHandler(handlerFor(&PlatformApi::putObject)));
    server.Get("/weights/(.+)", withFaults(handlerFor(&PlatformApi::loadWeights)));
    server.Get("/instances", withFaults(handlerFor(&PlatformApi::listInstances)));
    server.Put("/instances", handlerFor(&PlatformApi::setInstances));
    server.Post("/faults", handlerFor(&PlatformApi::setFaults));
}

PlatformApi::Handler PlatformApi::withFaults(Handler handler)
{
    return [this, handler = std::move(handler)](const auto &req, auto &res) {
        const PlatformFaultSettings faults = m_faults.current(Process::now());
        if (faults.delay.count() > 0)
            std::this_thread::sleep_for(faults.delay);
        if (faults.outage) {
            sendJson(res, 503, {{"error", "outage"}});
            return;
        }
        handler(req, res);
    };
}

PlatformApi::Handler PlatformApi::withLimit(std::optional<TokenBucket> &limit, Handler handler)
{
    return [this, &limit, handler = std::move(handler)](const auto &req, auto &res) {
        bool admitted = true;
        {
            const std::lock_guard lock(m_mutex);
            admitted = !limit || limit->tryConsume(Tokens(1), Process::now());
        }
        if (admitted)
            handler(req, res);
        else
            sendJson(res, 503, {{"error", "too many calls a second"}});
    };
}

void PlatformApi::loadWeights(const httplib::Request &req, httplib::Response &res)
{
    const auto kind = req.get_param_value("kind") == "adapter" ? WeightStoreSimulator::Kind::Adapter
                                                               : WeightStoreSimulator::Kind::Model;
    Duration loadTime{};
    {
        const std::lock_guard lock(m_mutex);
        loadTime = m_weights.beginLoad(kind, Process::now());
    }
    std::this_thread::sleep_for(loadTime);
    const std::lock_guard lock(m_mutex);
    m_weights.endLoad(kind);
    sendJson(res, 200, {{"name", req.matches[1].str()}});
}

void PlatformApi::readRow(const httplib::Request &req, httplib::Response &res)
{
    const auto row = m_table.read(req.get_param_value("key"));
    if (row)
        sendJson(res, 200, toJson(*row));
    else
        sendJson(res, 404, {{"error", "no such row"}});
}

void PlatformApi::scanRows(const httplib::Request &req, httplib::Response &res)
{
    const Version after(std::stoll(req.get_param_value("after")));
    Json rows = Json::array();
    for (const TableRow &it : m_table.scan(req.get_param_value("prefix"), after))
        rows.push_back(toJson(it));
    sendJson(res, 200, {{"rows", rows}});
}

void PlatformApi::commitRows(const httplib::Request &req, httplib::Response &res)
{
    const auto version = m_table.commit(writesFrom(Json::parse(req.body)));
    if (m_faults.consumeResponseDrop()) {
        dropResponse(res);
        return;
    }
    if (version)
        sendJson(res, 200, {{"version", version->count()}});
    else
        sendJson(res, 409, {{"error", "a condition does not hold"}});
}

void PlatformApi::getObject(const httplib::Request &req, httplib::Response &res)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(req.matches[1]);
    res.status = it == m_objects.end() ? 404 : 200;
    if (it != m_objects.end())
        res.set_content(it->second, "application/octet-stream");
}

void PlatformApi::putObject(const httplib::Request &req, httplib::Response &res)
{
    const std::lock_guard lock(m_mutex);
    m_objects[req.matches[1]] = req.body;
    res.status = 204;
}

void PlatformApi::listInstances(const httplib::Request &, httplib::Response &res)
{
    const auto listedAt
        = std::chrono::steady_clock::now() - m_faults.current(Process::now()).instanceListLag;
    const std::lock_guard lock(m_mutex);
    std::string body = R"({"instances":[]})";
    for (const PublishedInstanceList &it : m_instanceLists) {
        if (it.publishedAt <= listedAt)
            body = it.body;
    }
    res.set_content(body, "application/json");
}

void PlatformApi::setInstances(const httplib::Request &req, httplib::Response &res)
{
    const std::lock_guard lock(m_mutex);
    m_instanceLists.push_back({std::chrono::steady_clock::now(), req.body});
    res.status = 204;
}

void PlatformApi::setFaults(const httplib::Request &req, httplib::Response &res)
{
    const Json body = Json::parse(req.body);
    PlatformFaultSettings faults;
    faults.outage = body.value("outage", false);
    faults.responsesToDrop = body.value("lost_answers", 0);
    faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    faults.instanceListLag = std::chrono::milliseconds(body.value("list_lag_ms", 0));
    faults.duration = std::chrono::milliseconds(body.value("for_ms", 0));
    m_faults.set(faults, Process::now());
    res.status = 204;
}

} // namespace quetzalyoke::standins
