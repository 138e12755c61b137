#include "Apps/Gateway/CallerApi.h"

#include "Adapters/Crypto.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Core/TokenCounter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr const char *servicePrefix = "/services/";
constexpr const char *keyElsewhereMessage
    = "the target or body holds the key; send it in the Authorization header only";
constexpr int requestIdBytes = 8;
constexpr std::int64_t defaultAnswerTokens = 256;

std::string presentedKey(const httplib::Request &req)
{
    const std::string authorization = req.get_header_value("Authorization");
    static const std::string bearer = "Bearer ";
    if (authorization.starts_with(bearer))
        return authorization.substr(bearer.size());
    return req.get_header_value("X-Api-Key");
}

template<std::size_t n>
bool isOneOf(const std::string &name, const char *const (&names)[n])
{
    return std::any_of(std::begin(names), std::end(names),
                       [&name](const char *it) { return strcasecmp(it, name.c_str()) == 0; });
}

// No backend server sees the key, wherever the caller put it.
std::vector<wire::Header> forwardedHeaders(const httplib::Request &req, const std::string &key)
{
    static const char *const dropped[]
        = {"Authorization", "X-Api-Key",  "Cookie",       "REMOTE_ADDR", "REMOTE_PORT",
           "LOCAL_ADDR",    "LOCAL_PORT", "X-Request-Id", "X-Attempt-Id"};
    std::vector<wire::Header> headers;
    for (const auto &[name, value] : req.headers) {
        if (isOneOf(name, dropped) || (!key.empty() && value.find(key) != std::string::npos))
            continue;
        wire::Header header;
        header.name = name;
        header.value = value;
        headers.push_back(header);
    }
    return headers;
}

// Target and body reach the backend server as they are.
bool keyIsElsewhere(const httplib::Request &req)
{
    const std::string key = presentedKey(req);
    return !key.empty()
        && (req.target.find(key) != std::string::npos || req.body.find(key) != std::string::npos);
}

Refusal badRequest(const std::string &message)
{
    return {400, "invalid_request", message, RunState::NotRun, {}};
}

} // namespace

// Counts a request as in flight for as long as it lives.
class CallerApi::InFlight
{
public:
    explicit InFlight(std::atomic<int> &count) : m_count(count) { ++m_count; }
    ~InFlight() { --m_count; }
    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;

private:
    std::atomic<int> &m_count;
};

void writeRefusal(const Refusal &refusal, httplib::Response &res)
{
    Metrics::count("refusals_total", {{"code", refusal.code}});
    res.status = refusal.status;
    res.set_header("Quetzalyoke-Run-State", runStateText(refusal.runState));
    if (refusal.retryAfter.count() > 0) {
        const auto seconds = (refusal.retryAfter.count() + 999) / 1000;
        res.set_header("Retry-After", std::to_string(seconds));
        res.set_header("Retry-After-Ms", std::to_string(refusal.retryAfter.count()));
    }
    const Json body{{"error",
                     {{"message", refusal.message},
                      {"type", refusal.code},
                      {"code", refusal.code},
                      {"run_state", runStateText(refusal.runState)}}}};
    res.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
}

CallerApi::CallerApi(const GatewaySettings &settings, const SharedState &state, Relay &relay)
    : m_settings(settings), m_state(state), m_authenticator(state), m_relay(relay)
{ }

void CallerApi::addRoutes(httplib::Server &server)
{
    server.Get("/v1/models", [this](const auto &req, auto &res) { listModels(req, res); });
    const auto complete = [this](const auto &req, auto &res) { this->complete(req, res); };
    server.Post("/v1/chat/completions", complete);
    server.Post("/v1/completions", complete);
    const auto service = [this](const auto &req, auto &res) { callService(req, res); };
    server.Get("/services/.*", service);
    server.Post("/services/.*", service);
    server.Put("/services/.*", service);
    server.Patch("/services/.*", service);
    server.Delete("/services/.*", service);
}

std::optional<AccountId> CallerApi::admit(const httplib::Request &req, httplib::Response &res)
{
    const auto configuration = m_state.configuration();
    if (!configuration) {
        writeRefusal({503, "not_configured", "no service list is in force yet; ask again",
                      RunState::NotRun, std::chrono::seconds(1)},
                     res);
        return std::nullopt;
    }
    if (configuration->list.isOpen(req.method, req.path))
        return AccountId();
    const auto result = m_authenticator.authenticate(presentedKey(req), Process::now());
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        writeRefusal(*refusal, res);
        return std::nullopt;
    }
    const auto &account = std::get<AccountId>(result);
    if (!configuration->list.accounts.contains(account)) {
        writeRefusal(
            {403, "unknown_account", "the key's account is no longer listed", RunState::NotRun, {}},
            res);
        return std::nullopt;
    }
    return account;
}

void CallerApi::listModels(const httplib::Request &req, httplib::Response &res)
{
    if (!admit(req, res))
        return;
    Json data = Json::array();
    const auto configuration = m_state.configuration();
    for (const auto &[name, it] : configuration->list.models)
        data.push_back({{"id", name.text()}, {"object", "model"}});
    for (const auto &[name, it] : configuration->list.adapters)
        data.push_back({{"id", name.text()}, {"object", "model"}, {"parent", it.base.text()}});
    res.set_content(Json{{"object", "list"}, {"data", data}}.dump(), "application/json");
}

Call CallerApi::makeCall(const httplib::Request &req, const AccountId &account) const
{
    Call call;
    call.id = RequestId(m_settings.instance.text() + "-" + randomHex(requestIdBytes));
    call.account = account;
    call.method = req.method;
    call.headers = forwardedHeaders(req, presentedKey(req));
    call.body = req.body;
    call.deadline = Process::now() + m_settings.defaultDeadline;
    const auto millis = req.get_header_value<std::uint64_t>("Quetzalyoke-Deadline-Ms");
    if (millis > 0)
        call.deadline = Process::now() + std::chrono::milliseconds(millis);
    return call;
}

void CallerApi::complete(const httplib::Request &req, httplib::Response &res)
{
    const auto account = admit(req, res);
    if (!account)
        return;
    if (keyIsElsewhere(req))
        return writeRefusal(badRequest(keyElsewhereMessage), res);
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
        return writeRefusal(badRequest("the body must be a JSON object with a \"model\""), res);
    const auto configuration = m_state.configuration();
    const std::string name = body["model"];
    Call call = makeCall(req, *account);
    call.path = req.path;
    const auto adapter = configuration->list.adapters.find(AdapterName(name));
    if (adapter != configuration->list.adapters.end()) {
        call.target = adapter->second.base.text();
        call.adapter = name;
    } else if (configuration->list.models.contains(ModelName(name))) {
        call.target = name;
    } else {
        return writeRefusal({404,
                             "unknown_model",
                             "no model named \"" + name + "\" is listed; see /v1/models",
                             RunState::NotRun,
                             {}},
                            res);
    }
    const Json limit = body.value("max_tokens", Json(defaultAnswerTokens));
    if (!limit.is_number_integer() || limit.get<std::int64_t>() < 1)
        return writeRefusal(badRequest("max_tokens must be a whole number above 0"), res);
    call.estimatedTokens
        = estimatePromptTokens(req.body.size()) + Tokens(limit.get<std::int64_t>());
    run(call, res);
}

void CallerApi::callService(const httplib::Request &req, httplib::Response &res)
{
    const auto account = admit(req, res);
    if (!account)
        return;
    const std::string rest = req.target.substr(std::string(servicePrefix).size());
    const auto nameEnd = rest.find_first_of("/?");
    const std::string name = rest.substr(0, nameEnd);
    std::string path = nameEnd == std::string::npos ? "/" : rest.substr(nameEnd);
    if (path.front() == '?')
        path.insert(0, "/");
    const auto configuration = m_state.configuration();
    const auto service = configuration->list.services.find(ServiceName(name));
    if (service == configuration->list.services.end()) {
        return writeRefusal({404,
                             "unknown_service",
                             "no service named \"" + name + "\" is listed",
                             RunState::NotRun,
                             {}},
                            res);
    }
    if (keyIsElsewhere(req))
        return writeRefusal(badRequest(keyElsewhereMessage), res);
    Call call = makeCall(req, *account);
    call.target = name;
    call.path = path;
    call.model = false;
    const std::string plainPath = path.substr(0, path.find('?'));
    const auto &patterns = service->second.nonIdempotent;
    call.idempotent = std::none_of(patterns.begin(), patterns.end(), [&](const CallPattern &it) {
        return it.matches(req.method, plainPath);
    });
    run(call, res);
}

void CallerApi::run(const Call &call, httplib::Response &res)
{
    auto result = m_relay.open(call);
    res.set_header("X-Request-Id", call.id.text());
    if (const auto *refusal = std::get_if<Refusal>(&result))
        return writeRefusal(*refusal, res);
    std::shared_ptr<AnswerStream> answer = std::move(std::get<0>(result));
    res.status = answer->status();
    std::string type = "application/octet-stream";
    for (const wire::Header &it : answer->headers()) {
        if (strcasecmp(it.name.c_str(), "Content-Type") == 0)
            type = it.value;
        else
            res.set_header(it.name, it.value);
    }
    if (type.starts_with("text/event-stream"))
        return stream(answer, res);
    std::string body;
    Tokens tokens;
    const Instant started = Process::now();
    auto status = AnswerStream::Result::Nothing;
    while (status == AnswerStream::Result::Nothing || status == AnswerStream::Result::Data)
        status = answer->read(body, tokens);
    if (status == AnswerStream::Result::Broken) {
        res.headers.clear();
        res.set_header("X-Request-Id", call.id.text());
        return writeRefusal(answer->refusal(), res);
    }
    Metrics::observe("body_seconds",
                     std::chrono::duration<double>(Process::now() - started).count());
    Metrics::count("completed_total");
    res.set_content(body, type);
}

void CallerApi::stream(const std::shared_ptr<AnswerStream> &answer, httplib::Response &res)
{
    auto inFlight = std::make_shared<InFlight>(m_inFlight);
    res.set_chunked_content_provider("text/event-stream",
                                     [answer, inFlight](size_t, httplib::DataSink &sink) {
                                         std::string data;
                                         Tokens tokens;
                                         const auto status = answer->read(data, tokens);
                                         if (!data.empty() && !sink.write(data.data(), data.size()))
                                             return false;
                                         if (status == AnswerStream::Result::Broken)
                                             return false;
                                         if (status == AnswerStream::Result::End) {
                                             sink.done();
                                             Metrics::count("completed_total");
                                             return true;
                                         }
                                         return sink.is_writable();
                                     });
}

} // namespace quetzalyoke
