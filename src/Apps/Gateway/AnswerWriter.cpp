#include "Apps/Gateway/AnswerWriter.h"

#include "Adapters/HttpServer.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Core/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace quetzalyoke {

namespace {

constexpr std::string_view eventEnd = "\n\n";
// Response tokens charged and written together. A small number keeps a small share usable.
constexpr Tokens maxTokensPerPiece{16};
constexpr Duration maxPause = std::chrono::milliseconds(50);
constexpr std::int64_t millisPerSecond = 1000;

Tokens tokensIn(std::string_view event)
{
    return TokenCounter().count(event);
}

} // namespace

PacedStream::PacedStream(std::unique_ptr<ResponseStream> response, const ParsedRequest &request,
                         AccountLimits &limits)
    : m_response(std::move(response)), m_request(request.id), m_account(request.account),
      m_limits(limits), m_prompt(request.estimate.prompt)
{ }

bool PacedStream::writeNext(httplib::DataSink &sink)
{
    if (m_pieceEnd == 0)
        findPiece();
    if (m_pieceEnd > 0)
        return chargeAndWritePiece(sink);
    if (m_complete) {
        Metrics::incrementCounter("completed_total");
        ProcessTimeline::record(TimelineEventKind::RequestCompleted, m_request);
        sink.done();
        return true;
    }
    return readMore() && sink.is_writable();
}

bool PacedStream::readMore()
{
    Tokens tokens;
    const auto status = m_response->read(m_data, tokens);
    if (status == ResponseStream::Result::Broken) {
        Metrics::incrementCounter("broken_total", {{"code", m_response->refusal().code}});
        ProcessTimeline::record(TimelineEventKind::RequestBroken, m_request,
                                m_response->refusal().code);
        return false;
    }
    m_complete = status == ResponseStream::Result::End;
    return true;
}

// A piece consists of a few complete events. An incomplete event stays in m_data until its rest
// has been received.
void PacedStream::findPiece()
{
    m_pieceTokens = m_prompt;
    Tokens responseTokens;
    while (responseTokens < maxTokensPerPiece) {
        const auto end = m_data.find(eventEnd, m_pieceEnd);
        if (end == std::string::npos)
            break;
        const std::size_t next = end + eventEnd.size();
        responseTokens += tokensIn(std::string_view(m_data).substr(m_pieceEnd, next - m_pieceEnd));
        m_pieceEnd = next;
    }
    if (m_pieceEnd == 0 && m_complete)
        m_pieceEnd = m_data.size();
    m_pieceTokens += responseTokens;
}

bool PacedStream::chargeAndWritePiece(httplib::DataSink &sink)
{
    const Duration wait = m_limits.charge(m_account, m_pieceTokens, Process::now());
    if (wait > Duration::zero()) {
        std::this_thread::sleep_for(std::min(wait, maxPause));
        return sink.is_writable();
    }
    m_prompt = Tokens();
    const bool written = sink.write(m_data.data(), m_pieceEnd);
    m_data.erase(0, m_pieceEnd);
    m_pieceEnd = 0;
    return written;
}

bool waitAndCharge(AccountLimits &limits, const AccountId &account, Tokens n)
{
    while (true) {
        const Duration wait = limits.charge(account, n, Process::now());
        if (wait == Duration::zero())
            return true;
        if (wait == Duration::max() || HttpServer::isCallerDisconnected())
            return false;
        std::this_thread::sleep_for(std::min(wait, maxPause));
    }
}

void writeRefusal(const Refusal &refusal, httplib::Response &res)
{
    using Json = nlohmann::json;
    Metrics::incrementCounter("refusals_total", {{"code", refusal.code}});
    // Refusals of requests without an id are only counted, since a flood of them would fill the
    // timeline.
    if (res.has_header("X-Request-Id")) {
        ProcessTimeline::record(
            TimelineEventKind::RequestRefused, RequestId(res.get_header_value("X-Request-Id")),
            "code=" + refusal.code + " run_state=" + runStateText(refusal.runState));
    }
    res.status = refusal.status;
    res.set_header("Quetzalyoke-Run-State", runStateText(refusal.runState));
    if (refusal.retryAfter.count() > 0) {
        const auto seconds = (refusal.retryAfter.count() + millisPerSecond - 1) / millisPerSecond;
        res.set_header("Retry-After", std::to_string(seconds));
        res.set_header("Retry-After-Ms", std::to_string(refusal.retryAfter.count()));
    }
    const Json body{{"error",
                     {{"message", refusal.message},
                      {"type", refusal.code},
                      {"code", refusal.code},
                      {"run_state", runStateText(refusal.runState)}}}};
    res.set_content(dumpJson(body), "application/json");
}

std::string writeStatusAndHeaders(const ResponseStream &response, httplib::Response &res)
{
    std::string contentType = "application/octet-stream";
    res.status = response.status();
    for (const wire::Header &it : response.headers()) {
        if (strcasecmp(it.name.c_str(), "Content-Type") == 0)
            contentType = it.value;
        else
            res.set_header(it.name, it.value);
    }
    return contentType;
}

} // namespace quetzalyoke
