#include "Apps/Gateway/RequestParser.h"

#include "Adapters/Crypto.h"
#include "Adapters/Process.h"
#include "Core/Accounts/ApiKeyText.h"
#include "Core/Accounts/TokenCounter.h"
#include "Core/Routing/Router.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::string_view servicePrefix = "/services/";
constexpr int requestIdBytes = 8;
constexpr std::int64_t defaultResponseTokens = 256;
constexpr std::int64_t maxResponseTokens = 1'000'000;
constexpr std::int64_t maxDeadlineMillis = 24LL * 3600 * 1000;
constexpr std::size_t maxIdempotencyKeyLength = 255;
// A request to a plain service generates no tokens, but is still charged.
constexpr Tokens serviceRequestTokens{1};
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

Refusal badRequest(const std::string &message)
{
    return {statusBadRequest, "invalid_request", message, RunState::NotRun, {}};
}

bool isGatewayHeader(const std::string &name)
{
    static const char *const names[] = {"Authorization", "X-Api-Key",    "REMOTE_ADDR",
                                        "REMOTE_PORT",   "LOCAL_ADDR",   "LOCAL_PORT",
                                        "X-Request-Id",  "X-Attempt-Id", "Quetzalyoke-Deadline-Ms"};
    return std::any_of(std::begin(names), std::end(names),
                       [&name](const char *it) { return strcasecmp(it, name.c_str()) == 0; });
}

std::vector<wire::Header> forwardedHeaders(const httplib::Request &req)
{
    std::vector<wire::Header> headers;
    for (const auto &[name, value] : req.headers) {
        if (isGatewayHeader(name) || ApiKeyText::occursIn(value))
            continue;
        wire::Header header;
        header.name = name;
        header.value = value;
        headers.push_back(header);
    }
    return headers;
}

bool hasKeyOutsideHeaders(const httplib::Request &req)
{
    const bool inQuery = std::any_of(req.params.begin(), req.params.end(), [](const auto &it) {
        return ApiKeyText::occursIn(it.first) || ApiKeyText::occursIn(it.second);
    });
    return inQuery || ApiKeyText::occursIn(req.target) || ApiKeyText::occursIn(req.path)
        || ApiKeyText::occursIn(req.body);
}

// Backend servers resolve "." and ".." segments in different ways, so such a path could be taken
// for an open or idempotent route although it isn't one.
bool hasDotSegments(const std::string &path)
{
    const std::string terminatedPath = path + "/";
    return terminatedPath.find("/../") != std::string::npos
        || terminatedPath.find("/./") != std::string::npos;
}

std::optional<std::int64_t> parsePositiveNumber(const std::string &text, std::int64_t maximum)
{
    std::int64_t n = 0;
    const char *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || last != end || n < 1 || n > maximum)
        return std::nullopt;
    return n;
}

// Returns the maximum number of response tokens, or nothing if the limit in the body is invalid.
std::optional<Tokens> responseLimit(const Json &body)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        const auto it = body.find(name);
        if (it == body.end() || it->is_null())
            continue;
        if (!it->is_number_integer())
            return std::nullopt;
        const auto n = it->get<std::int64_t>();
        if (n < 1 || n > maxResponseTokens)
            return std::nullopt;
        return Tokens(n);
    }
    return Tokens(defaultResponseTokens);
}

// Returns the first text of the prompt; requests with the same start share KV cache entries.
std::string promptStart(const Json &body)
{
    const Json prompt = body.value("prompt", Json());
    if (prompt.is_string())
        return prompt;
    const Json messages = body.value("messages", Json());
    if (!messages.is_array() || messages.empty() || !messages[0].is_object())
        return {};
    const Json content = messages[0].value("content", Json());
    return content.is_string() ? content.get<std::string>() : std::string();
}

} // namespace

RequestParser::RequestParser(const GatewaySettings &settings) : m_settings(settings) { }

std::string RequestParser::presentedKey(const httplib::Request &req)
{
    static const std::string bearer = "Bearer ";
    const std::string authorization = req.get_header_value("Authorization");
    if (authorization.starts_with(bearer))
        return authorization.substr(bearer.size());
    return req.get_header_value("X-Api-Key");
}

RequestParser::Result RequestParser::parseCommon(const httplib::Request &req,
                                                 const AccountId &account) const
{
    if (hasKeyOutsideHeaders(req))
        return badRequest("send the key in the Authorization header only");
    if (hasDotSegments(req.path))
        return badRequest("the path must not contain \".\" or \"..\" segments");
    ParsedRequest request;
    request.id = RequestId(m_settings.instance.text() + "-" + randomHex(requestIdBytes));
    request.account = account;
    request.method = req.method;
    request.headers = forwardedHeaders(req);
    request.body = req.body;
    request.idempotencyKey = req.get_header_value("Idempotency-Key");
    if (request.idempotencyKey.size() > maxIdempotencyKeyLength)
        return badRequest("the Idempotency-Key may have at most 255 characters");
    request.deadline = Process::now() + m_settings.defaultDeadline;
    if (req.has_header("Quetzalyoke-Deadline-Ms")) {
        const auto millis = parsePositiveNumber(req.get_header_value("Quetzalyoke-Deadline-Ms"),
                                                maxDeadlineMillis);
        if (!millis)
            return badRequest("Quetzalyoke-Deadline-Ms must be a whole number of milliseconds");
        request.deadline = Process::now() + std::chrono::milliseconds(*millis);
    }
    return request;
}

RequestParser::Result RequestParser::parseCompletion(const httplib::Request &req,
                                                     const ServiceList &list,
                                                     const AccountId &account) const
{
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
        return badRequest("the body must be a JSON object with a \"model\"");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return badRequest("\"stream\" must be true or false");
    const auto limit = responseLimit(body);
    if (!limit)
        return badRequest("max_tokens must be a whole number from 1 to 1000000");
    Result result = parseCommon(req, account);
    auto *request = std::get_if<ParsedRequest>(&result);
    if (!request)
        return result;
    const std::string name = body["model"];
    const auto adapter = list.adapters.find(AdapterName(name));
    if (adapter != list.adapters.end()) {
        request->target = adapter->second.base.text();
        request->adapter = name;
    } else if (list.models.contains(ModelName(name))) {
        request->target = name;
    } else {
        return Refusal{statusNotFound,
                       "unknown_model",
                       "no model named \"" + name + "\" is listed; see /v1/models",
                       RunState::NotRun,
                       {}};
    }
    request->path = req.path;
    request->promptPrefixHash = computePromptPrefixHash(name, promptStart(body));
    request->estimate
        = {estimatePromptTokens(req.body.size()), *limit, body.value("stream", false)};
    request->fingerprint
        = Fingerprint(sha256Hex(account.text() + '\n' + req.path + '\n' + req.body));
    return result;
}

RequestParser::Result RequestParser::parseServiceRequest(const httplib::Request &req,
                                                         const ServiceList &list,
                                                         const AccountId &account) const
{
    const std::string rest = req.path.substr(servicePrefix.size());
    const std::string name = rest.substr(0, rest.find('/'));
    const auto service = list.services.find(ServiceName(name));
    // The name must not be percent-encoded in the raw target either, since the rest of the target
    // is forwarded as it is.
    const std::string prefix = std::string(servicePrefix) + name;
    if (service == list.services.end() || !req.target.starts_with(prefix)) {
        return Refusal{statusNotFound,
                       "unknown_service",
                       "no service named \"" + name + "\" is listed",
                       RunState::NotRun,
                       {}};
    }
    Result result = parseCommon(req, account);
    auto *request = std::get_if<ParsedRequest>(&result);
    if (!request)
        return result;
    request->target = name;
    request->targetsModel = false;
    request->path = req.target.substr(prefix.size());
    if (!request->path.starts_with('/'))
        request->path.insert(0, "/");
    std::string plainPath = rest.substr(name.size());
    if (plainPath.empty())
        plainPath = "/";
    const auto &patterns = service->second.nonIdempotentRoutes;
    request->isIdempotent
        = std::none_of(patterns.begin(), patterns.end(),
                       [&](const RoutePattern &it) { return it.matches(req.method, plainPath); });
    request->estimate = {Tokens(), serviceRequestTokens, false};
    request->fingerprint = Fingerprint(
        sha256Hex(account.text() + '\n' + req.method + '\n' + req.target + '\n' + req.body));
    return result;
}

} // namespace quetzalyoke
