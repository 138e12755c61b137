#include "StandIns/Engine/EngineApi.h"

#include "Adapters/Process.h"
#include "StandIns/Engine/CompletionResponse.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace quetzalyoke::standins {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t defaultResponseTokens = 16;

void sendJson(httplib::Response &res, int status, const Json &body)
{
    res.status = status;
    res.set_content(body.dump(), "application/json");
}

Json errorBody(const std::string &message)
{
    return {{"error", {{"message", message}, {"type", "engine_error"}}}};
}

std::string messageFor(int status)
{
    if (status == 412)
        return "fencing token is stale";
    if (status == 507)
        return "out of memory";
    return "the weight store did not serve the weights";
}

Json runLogEntryFor(const httplib::Request &req, const std::string &model)
{
    Json headers = Json::object();
    for (const auto &[name, value] : req.headers)
        headers[name] = value;
    return {{"request", req.get_header_value("X-Request-Id")},
            {"attempt", req.get_header_value("X-Attempt-Id")},
            {"model", model},
            {"target", req.target},
            {"body", req.body},
            {"headers", headers}};
}

int priorityOf(const httplib::Request &req)
{
    return std::atoi(req.get_header_value("X-Priority").c_str());
}

} // namespace

EngineApi::EngineApi(const EngineSettings &settings)
    : m_settings(settings), m_memory(settings), m_batch(settings)
{ }

void EngineApi::addRoutes(httplib::Server &server)
{
    const auto handlerFor
        = [this](void (EngineApi::*method)(const httplib::Request &, httplib::Response &)) {
              return [this, method](const auto &req, auto &res) { (this->*method)(req, res); };
          };
    server.Post("/v1/chat/completions",
                [this](const auto &req, auto &res) { complete(req, res, true); });
    server.Post("/v1/completions",
                [this](const auto &req, auto &res) { complete(req, res, false); });
    server.Post("/orders", handlerFor(&EngineApi::order));
    server.Post("/cancel", handlerFor(&EngineApi::cancel));
    server.Get("/load", handlerFor(&EngineApi::report));
    server.Get("/cache-events", handlerFor(&EngineApi::cacheEvents));
    server.Post("/faults", handlerFor(&EngineApi::setFaults));
    server.Get("/record", [this](const auto &, auto &res) {
        res.set_content(m_batch.runLog(), "application/x-ndjson");
    });
}

void EngineApi::complete(const httplib::Request &req, httplib::Response &res, bool chat)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
        return sendJson(res, 400, errorBody("body is not a JSON object with a model"));
    const std::string model = body["model"];
    if (!m_memory.isReady(model))
        return sendJson(res, 404, errorBody("model " + model + " is not loaded"));
    std::this_thread::sleep_for(m_faults.responseDelay());
    CompletionResponse::Format format;
    format.chat = chat;
    format.stream = body.value("stream", false);
    format.truncated = m_faults.consumeResponseTruncation();
    format.endToken = body.value("max_tokens", defaultResponseTokens);
    // A resumed response continues after the tokens that the caller already has.
    format.firstToken
        = std::clamp<std::int64_t>(body.value("resume_from_token", 0), 0, format.endToken);
    auto sequence
        = std::make_shared<Sequence>(Prompt(model, body), format.firstToken, format.endToken);
    sequence->priority = priorityOf(req);
    sequence->crashesEngine = body.value("crash_engine", false);
    sequence->runLogEntry = runLogEntryFor(req, model);
    m_batch.add(sequence);
    CompletionResponse::send(std::make_shared<CompletionResponse>(sequence, format), res);
}

void EngineApi::order(const httplib::Request &req, httplib::Response &res)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object())
        return sendJson(res, 400, errorBody("order is not a JSON object"));
    const ReceivedOrder order = ReceivedOrder::fromJson(body);
    if (m_faults.consumeOrderDrop()) {
        res.set_content_provider(1, "application/json",
                                 [](size_t, size_t, httplib::DataSink &) { return false; });
        return;
    }
    const bool isDuplicated = m_faults.consumeOrderDuplication();
    std::this_thread::sleep_for(m_faults.orderDelay());
    m_faults.waitForReordering();
    const int status = m_memory.execute(order);
    if (isDuplicated)
        m_memory.execute(order);
    m_faults.onOrderExecuted();
    sendJson(res, status, status == 200 ? Json::object() : errorBody(messageFor(status)));
}

void EngineApi::cancel(const httplib::Request &req, httplib::Response &res)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object())
        return sendJson(res, 400,
                        errorBody("body is not a JSON object with a request or an attempt"));
    m_batch.cancel(body.value("attempt", body.value("request", "")));
    sendJson(res, 200, Json::object());
}

std::chrono::microseconds EngineApi::lag() const
{
    return std::max<std::chrono::microseconds>(m_settings.scaled(m_settings.reportLag),
                                               m_faults.reportLag());
}

// The lag from the settings applies to the counts. The loaded models lag only while a fault
// delays the report.
void EngineApi::report(const httplib::Request &, httplib::Response &res)
{
    Json body = m_memory.report(m_faults.reportLag());
    const Instant now = Process::now();
    const std::lock_guard lock(m_mutex);
    m_countHistory.add(m_batch.sequenceCounts(), now);
    const Batch::SequenceCounts load = m_countHistory.valueAt(now - lag());
    body["running"] = load.running;
    body["queued"] = load.queued;
    sendJson(res, 200, body);
}

void EngineApi::cacheEvents(const httplib::Request &req, httplib::Response &res)
{
    const std::int64_t after = std::atoll(req.get_param_value("after").c_str());
    const Instant before = Process::now() - m_settings.scaled(m_settings.cacheEventLag);
    Json events = Json::array();
    for (const CacheEvent &it : m_batch.cacheEvents(after, before)) {
        if (m_settings.cacheEventLossInterval > 0
            && it.sequenceNumber % m_settings.cacheEventLossInterval == 0)
            continue;
        events.push_back({{"sequence", it.sequenceNumber},
                          {"block", std::to_string(it.block)},
                          {"event", it.stored ? "stored" : "evicted"}});
    }
    sendJson(res, 200, {{"events", events}});
}

void EngineApi::setFaults(const httplib::Request &req, httplib::Response &res)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object())
        return sendJson(res, 400, errorBody("faults are not a JSON object"));
    m_faults.set(body);
    res.status = 204;
}

} // namespace quetzalyoke::standins
