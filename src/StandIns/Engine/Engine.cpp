#include "StandIns/Engine/Engine.h"

#include "Adapters/Process.h"
#include "StandIns/Engine/Answer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace quetzalyoke::standins {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t defaultAnswerTokens = 16;

void answer(httplib::Response &res, int status, const Json &body)
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
        return "fencing number is old";
    if (status == 507)
        return "out of memory";
    return "the weight store gave no weights";
}

Json recordFor(const httplib::Request &req, const std::string &model)
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

Engine::Engine(const EngineSettings &settings)
    : m_settings(settings), m_memory(settings), m_batch(settings)
{ }

void Engine::addRoutes(httplib::Server &server)
{
    const auto bind
        = [this](void (Engine::*method)(const httplib::Request &, httplib::Response &)) {
              return [this, method](const auto &req, auto &res) { (this->*method)(req, res); };
          };
    server.Post("/v1/chat/completions",
                [this](const auto &req, auto &res) { complete(req, res, true); });
    server.Post("/v1/completions",
                [this](const auto &req, auto &res) { complete(req, res, false); });
    server.Post("/orders", bind(&Engine::order));
    server.Post("/cancel", bind(&Engine::cancel));
    server.Get("/load", bind(&Engine::report));
    server.Get("/cache-events", bind(&Engine::cacheEvents));
    server.Post("/faults", bind(&Engine::setFaults));
    server.Get("/record", [this](const auto &, auto &res) {
        res.set_content(m_batch.record(), "application/x-ndjson");
    });
}

void Engine::complete(const httplib::Request &req, httplib::Response &res, bool chat)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
        return answer(res, 400, errorBody("body is no JSON object with a model"));
    const std::string model = body["model"];
    if (!m_memory.isReady(model))
        return answer(res, 404, errorBody("model " + model + " is not loaded"));
    std::this_thread::sleep_for(m_faults.answerDelay());
    Answer::Form form;
    form.chat = chat;
    form.stream = body.value("stream", false);
    form.cut = m_faults.takeCutAnswer();
    form.lastWord = body.value("max_tokens", defaultAnswerTokens);
    // A resumed answer goes on after the words that its caller has.
    form.firstWord = std::clamp<std::int64_t>(body.value("resume_from_token", 0), 0, form.lastWord);
    auto sequence = std::make_shared<Sequence>(Prompt(model, body), form.firstWord, form.lastWord);
    sequence->priority = priorityOf(req);
    sequence->crashesEngine = body.value("crash_engine", false);
    sequence->record = recordFor(req, model);
    m_batch.add(sequence);
    Answer::send(std::make_shared<Answer>(sequence, form), res);
}

void Engine::order(const httplib::Request &req, httplib::Response &res)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object())
        return answer(res, 400, errorBody("order is no JSON object"));
    const EngineOrder order = EngineOrder::fromJson(body);
    if (m_faults.takeLostOrder()) {
        res.set_content_provider(1, "application/json",
                                 [](size_t, size_t, httplib::DataSink &) { return false; });
        return;
    }
    const bool twice = m_faults.takeDuplicatedOrder();
    std::this_thread::sleep_for(m_faults.orderDelay());
    m_faults.waitForTurn();
    const int status = m_memory.carryOut(order);
    if (twice)
        m_memory.carryOut(order);
    m_faults.orderDone();
    answer(res, status, status == 200 ? Json::object() : errorBody(messageFor(status)));
}

void Engine::cancel(const httplib::Request &req, httplib::Response &res)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object())
        return answer(res, 400, errorBody("body is no JSON object with a request or an attempt"));
    m_batch.cancel(body.value("attempt", body.value("request", "")));
    answer(res, 200, Json::object());
}

std::chrono::microseconds Engine::lag() const
{
    return std::max<std::chrono::microseconds>(m_settings.scaled(m_settings.reportLag),
                                               m_faults.reportLag());
}

// The counts lag as the settings say; the holdings only where a fault makes the report late.
void Engine::report(const httplib::Request &, httplib::Response &res)
{
    Json body = m_memory.report(m_faults.reportLag());
    const Instant now = Process::now();
    const std::lock_guard lock(m_mutex);
    m_loads.put(m_batch.load(), now);
    const Batch::Load load = m_loads.at(now - lag());
    body["running"] = load.running;
    body["queued"] = load.queued;
    answer(res, 200, body);
}

void Engine::cacheEvents(const httplib::Request &req, httplib::Response &res)
{
    const std::int64_t after = std::atoll(req.get_param_value("after").c_str());
    const Instant before = Process::now() - m_settings.scaled(m_settings.cacheEventLag);
    Json events = Json::array();
    for (const CacheEvent &it : m_batch.cacheEvents(after, before)) {
        if (m_settings.cacheEventGap > 0 && it.sequence % m_settings.cacheEventGap == 0)
            continue;
        events.push_back({{"sequence", it.sequence},
                          {"block", std::to_string(it.block)},
                          {"event", it.stored ? "stored" : "evicted"}});
    }
    answer(res, 200, {{"events", events}});
}

void Engine::setFaults(const httplib::Request &req, httplib::Response &res)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object())
        return answer(res, 400, errorBody("faults are no JSON object"));
    m_faults.set(body);
    res.status = 204;
}

} // namespace quetzalyoke::standins
