#include "Apps/Agent/BackendClient.h"

#include "Adapters/HttpResponseCheck.h"
#include "Adapters/Process.h"
#include "Core/Accounts/TokenCounter.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds retryAfterFailure{1000};
constexpr std::chrono::milliseconds retryAfterRefusal{200};
constexpr int statusNotFound = 404;

// Largest body that is kept for the tokens that it reports; a completion has some kilobytes.
constexpr std::size_t maxCountedBodyBytes = 1'048'576;
constexpr int statusUnavailable = 503;

bool isHopByHop(const std::string &name)
{
    static const char *const names[]
        = {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Host", "Upgrade"};
    return std::any_of(std::begin(names), std::end(names),
                       [&name](const char *it) { return strcasecmp(it, name.c_str()) == 0; });
}

httplib::Request makeRequest(const wire::Submission &submission)
{
    httplib::Request req;
    req.method = submission.method;
    req.path = submission.path;
    for (const wire::Header &it : submission.headers) {
        if (!isHopByHop(it.name))
            req.headers.emplace(it.name, it.value);
    }
    req.headers.emplace("X-Request-Id", submission.requestId);
    req.headers.emplace("X-Attempt-Id", submission.attemptId);
    req.body = submission.body;
    return req;
}

std::vector<wire::Header> responseHeaders(const httplib::Response &response)
{
    std::vector<wire::Header> headers;
    for (const auto &[name, value] : response.headers) {
        if (isHopByHop(name))
            continue;
        wire::Header header;
        header.name = name;
        header.value = value;
        headers.push_back(header);
    }
    return headers;
}

bool isEventStream(const httplib::Response &response)
{
    return response.get_header_value("Content-Type").starts_with("text/event-stream");
}

// Returns the completion tokens that a JSON response reports, or 0.
std::int64_t completionTokens(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("usage"))
        return 0;
    return json["usage"].value("completion_tokens", std::int64_t(0));
}

// An engine responds with one of these statuses, without running the request, if the model is not
// loaded or the engine can't accept the request now.
bool isRefusedUnrun(const Attempt &attempt, const httplib::Response &response)
{
    return attempt.submission().model
        && (response.status == statusNotFound || response.status == statusUnavailable);
}

} // namespace

BackendClient::BackendClient(const Address &backend, std::chrono::milliseconds timeout,
                             BackendHealth &health, CrashHook onCrash)
    : m_backend(backend), m_timeout(timeout), m_health(health), m_onCrash(std::move(onCrash))
{
    connect();
}

BackendClient::~BackendClient() = default;

void BackendClient::connect()
{
    m_client = std::make_unique<httplib::Client>(m_backend.host, m_backend.port);
    m_client->set_tcp_nodelay(true);
    m_client->set_keep_alive(true);
    m_client->set_connection_timeout(m_timeout);
    m_client->set_read_timeout(m_timeout);
    m_client->set_write_timeout(m_timeout);
}

void BackendClient::run(Attempt &attempt)
{
    // The backend server may just have closed the kept-alive connection. A request that is not
    // idempotent would then end with an unknown outcome although it never ran, so it gets a new
    // connection.
    if (!attempt.submission().idempotent)
        connect();
    m_downAtStart = m_health.isDown();
    attempt.setCancelHook([this] { m_client->stop(); });
    send(attempt, makeRequest(attempt.submission()));
    attempt.setCancelHook(nullptr);
}

void BackendClient::send(Attempt &attempt, const httplib::Request &prepared)
{
    httplib::Request req = prepared;
    TokenCounter counter;
    bool eventStream = false;
    bool refused = false;
    bool invalid = false;
    std::string bodyText;
    req.response_handler = [&](const httplib::Response &response) {
        invalid = !isValidHttpResponse(response);
        if (invalid)
            return false;
        refused = isRefusedUnrun(attempt, response);
        eventStream = isEventStream(response);
        if (!refused)
            attempt.setStatusAndHeaders(response.status, responseHeaders(response));
        return !attempt.isCancelled();
    };
    req.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        if (refused)
            return true;
        const Tokens tokens = eventStream ? counter.count({data, n}) : Tokens();
        if (!eventStream && attempt.submission().model && bodyText.size() <= maxCountedBodyBytes)
            bodyText.append(data, n);
        return attempt.append(data, n, tokens.count());
    };
    const auto result = m_client->send(req);
    if (!result)
        return fail(attempt, invalid ? "Invalid response" : httplib::to_string(result.error()),
                    result.error() == httplib::Error::Connection);
    if (refused) {
        return attempt.failAsNotRun(Process::now(), "the model is not ready on this backend server",
                                    retryAfterRefusal);
    }
    if (!bodyText.empty() && bodyText.size() <= maxCountedBodyBytes)
        attempt.append("", 0, completionTokens(bodyText));
    attempt.complete(Process::now());
}

void BackendClient::fail(Attempt &attempt, const std::string &reason, bool neverSent)
{
    connect();
    if (attempt.isCancelled())
        return attempt.fail(Process::now(), wire::ErrorCode::Cancelled, "the caller disconnected",
                            {});
    const bool down = m_health.checkAfterFailure();
    if (neverSent) {
        return attempt.failAsNotRun(Process::now(), "the backend server accepts no connections",
                                    retryAfterRefusal);
    }
    // An attempt that started while the server was already down did not crash it.
    if (down && !m_downAtStart)
        return attempt.failAsCrashed(Process::now(), m_onCrash(), retryAfterFailure);
    attempt.fail(Process::now(), wire::ErrorCode::BackendFailed,
                 "the backend server sent no complete response (" + reason + "); retry later",
                 retryAfterFailure);
}

} // namespace quetzalyoke
