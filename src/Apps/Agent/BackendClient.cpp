#include "Apps/Agent/BackendClient.h"

#include "Adapters/Process.h"
#include "Core/TokenCounter.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds retryAfterFailure{1000};

bool isHopByHop(const std::string &name)
{
    static const char *const names[]
        = {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Host", "Upgrade"};
    return std::any_of(std::begin(names), std::end(names),
                       [&name](const char *it) { return strcasecmp(it, name.c_str()) == 0; });
}

httplib::Request requestFor(const wire::Submission &submission)
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

std::vector<wire::Header> answerHeaders(const httplib::Response &response)
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

// Tokens that a whole JSON answer says it used for its completion.
std::int64_t usedTokens(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("usage"))
        return 0;
    return json["usage"].value("completion_tokens", std::int64_t(0));
}

} // namespace

BackendClient::BackendClient(const Address &backend, std::chrono::milliseconds timeout)
    : m_backend(backend), m_timeout(timeout),
      m_client(std::make_unique<httplib::Client>(backend.host, backend.port))
{
    m_client->set_tcp_nodelay(true);
    m_client->set_keep_alive(true);
    m_client->set_connection_timeout(timeout);
    m_client->set_read_timeout(timeout);
    m_client->set_write_timeout(timeout);
}

BackendClient::~BackendClient() = default;

void BackendClient::run(Attempt &attempt)
{
    httplib::Request req = requestFor(attempt.submission());
    TokenCounter counter;
    bool eventStream = false;
    std::string whole;
    req.response_handler = [&](const httplib::Response &response) {
        eventStream = isEventStream(response);
        attempt.setHeaders(response.status, answerHeaders(response));
        return !attempt.isCancelled();
    };
    req.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        const Tokens tokens = eventStream ? counter.count({data, n}) : Tokens();
        if (!eventStream && attempt.submission().model)
            whole.append(data, n);
        return attempt.append(data, n, tokens.count());
    };
    const auto result = m_client->send(req);
    const Instant now = Process::now();
    if (result) {
        if (!whole.empty())
            attempt.append("", 0, usedTokens(whole));
        attempt.finish(now);
        return;
    }
    if (attempt.isCancelled()) {
        attempt.fail(now, wire::ErrorCode::Cancelled, "the caller went away", {});
        return;
    }
    attempt.fail(now, wire::ErrorCode::BackendFailed,
                 "the backend server gave no whole answer (" + httplib::to_string(result.error())
                     + ")",
                 retryAfterFailure);
}

} // namespace quetzalyoke
