#include "StandIns/Engine/Engine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <thread>

namespace quetzalyoke::standins {

namespace {

using Json = nlohmann::json;

constexpr int defaultAnswerTokens = 16;

void answer(httplib::Response &res, int status, const Json &body)
{
    res.status = status;
    res.set_content(body.dump(), "application/json");
}

Json errorBody(const std::string &message)
{
    return {{"error", {{"message", message}, {"type", "engine_error"}}}};
}

std::string word(int i)
{
    return "token" + std::to_string(i) + " ";
}

Json chunkBody(const std::string &model, bool chat, const std::string &text)
{
    Json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    return {{"object", chat ? "chat.completion.chunk" : "text_completion"},
            {"model", model},
            {"choices", Json::array({choice})}};
}

Json wholeBody(const std::string &model, bool chat, const std::string &text, int tokens)
{
    Json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    return {{"object", chat ? "chat.completion" : "text_completion"},
            {"model", model},
            {"choices", Json::array({choice})},
            {"usage", {{"prompt_tokens", 1}, {"completion_tokens", tokens}}}};
}

} // namespace

Engine::Engine(const EngineSettings &settings) : m_settings(settings) { }

void Engine::addRoutes(httplib::Server &server)
{
    server.Post("/v1/chat/completions",
                [this](const auto &req, auto &res) { complete(req, res, true); });
    server.Post("/v1/completions",
                [this](const auto &req, auto &res) { complete(req, res, false); });
    server.Post("/orders", [this](const auto &req, auto &res) { order(req, res); });
    server.Get("/load", [this](const auto &req, auto &res) { report(req, res); });
    server.Get("/record", [this](const auto &req, auto &res) { record(req, res); });
}

void Engine::complete(const httplib::Request &req, httplib::Response &res, bool chat)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (body.is_discarded() || !body.contains("model"))
        return answer(res, 400, errorBody("body is no JSON object with a model"));
    const std::string model = body["model"];
    if (!isHeld(model))
        return answer(res, 404, errorBody("model " + model + " is not loaded"));
    const int tokens = body.value("max_tokens", defaultAnswerTokens);
    Json headers = Json::object();
    for (const auto &[name, value] : req.headers)
        headers[name] = value;
    {
        const std::lock_guard lock(m_mutex);
        ++m_running;
        m_record.push_back(Json{
            {"request", req.get_header_value("X-Request-Id")},
            {"model", model},
            {"target", req.target},
            {"headers",
             headers}}.dump());
    }
    const auto finished = [this](bool) {
        const std::lock_guard lock(m_mutex);
        --m_running;
    };
    if (!body.value("stream", false)) {
        std::string text;
        for (int i = 0; i < tokens; ++i)
            text += word(i);
        std::this_thread::sleep_for(m_settings.stepTime * tokens);
        finished(true);
        return answer(res, 200, wholeBody(model, chat, text, tokens));
    }
    auto sent = std::make_shared<int>(0);
    res.set_chunked_content_provider(
        "text/event-stream",
        [this, sent, tokens, model, chat](size_t, httplib::DataSink &sink) {
            if (*sent == tokens) {
                static const std::string end = "data: [DONE]\n\n";
                sink.write(end.data(), end.size());
                sink.done();
                return true;
            }
            std::this_thread::sleep_for(m_settings.stepTime);
            const std::string event
                = "data: " + chunkBody(model, chat, word((*sent)++)).dump() + "\n\n";
            return sink.write(event.data(), event.size());
        },
        finished);
}

void Engine::order(const httplib::Request &req, httplib::Response &res)
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (body.is_discarded())
        return answer(res, 400, errorBody("order is no JSON"));
    const std::string name = body.value("name", "");
    {
        const std::lock_guard lock(m_mutex);
        const std::int64_t fencing = body.value("fencing", std::int64_t(0));
        if (m_settings.checksFencing && fencing < m_fencing)
            return answer(res, 412, errorBody("fencing number is old"));
        m_fencing = std::max(m_fencing, fencing);
    }
    if (body.value("order", "") == "unload") {
        const std::lock_guard lock(m_mutex);
        const auto it = m_holdings.find(name);
        if (it != m_holdings.end()) {
            m_used -= it->second.memory;
            m_holdings.erase(it);
        }
        return answer(res, 200, Json::object());
    }
    Holding holding;
    holding.version = body.value("version", "");
    holding.memory = Megabytes(body.value("memory_mb", std::int64_t(0)));
    holding.adapter = body.value("adapter", false);
    const int status = load(name, holding);
    answer(res, status, status == 200 ? Json::object() : errorBody("out of memory"));
}

int Engine::load(const std::string &name, const Holding &holding)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_holdings.find(name);
        if (it != m_holdings.end() && it->second.version == holding.version)
            return 200;
        if (m_used + holding.memory > m_settings.memory) {
            m_overcommitted = true;
            return 507;
        }
        if (it != m_holdings.end())
            m_used -= it->second.memory;
        m_used += holding.memory;
        m_peak = std::max(m_peak, m_used);
        m_holdings[name] = holding;
    }
    std::this_thread::sleep_for(holding.adapter ? m_settings.adapterLoadTime : m_settings.loadTime);
    const std::lock_guard lock(m_mutex);
    m_holdings[name].ready = true;
    return 200;
}

void Engine::report(const httplib::Request &, httplib::Response &res)
{
    const std::lock_guard lock(m_mutex);
    Json holdings = Json::array();
    for (const auto &[name, it] : m_holdings) {
        holdings.push_back({{"name", name},
                            {"version", it.version},
                            {"memory_mb", it.memory.count()},
                            {"adapter", it.adapter},
                            {"ready", it.ready}});
    }
    answer(res, 200,
           {{"holdings", holdings},
            {"running", m_running},
            {"memory_mb", m_settings.memory.count()},
            {"used_mb", m_used.count()},
            {"peak_mb", m_peak.count()},
            {"overcommitted", m_overcommitted},
            {"fencing", m_fencing}});
}

void Engine::record(const httplib::Request &, httplib::Response &res)
{
    const std::lock_guard lock(m_mutex);
    std::string body;
    for (const std::string &it : m_record)
        body += it + "\n";
    res.set_content(body, "application/x-ndjson");
}

bool Engine::isHeld(const std::string &model)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_holdings.find(model);
    return it != m_holdings.end() && it->second.ready;
}

} // namespace quetzalyoke::standins
