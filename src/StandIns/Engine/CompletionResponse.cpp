#include "StandIns/Engine/CompletionResponse.h"

namespace quetzalyoke::standins {

namespace {

using Json = nlohmann::json;

// Interval between two checks whether the caller is still connected.
constexpr std::chrono::milliseconds disconnectCheckInterval{50};

bool send(httplib::DataSink &sink, const std::string &text)
{
    return sink.write(text.data(), text.size());
}

} // namespace

CompletionResponse::CompletionResponse(std::shared_ptr<Sequence> sequence, const Format &format)
    : m_sequence(std::move(sequence)), m_format(format), m_sent(format.firstToken)
{ }

void CompletionResponse::send(const std::shared_ptr<CompletionResponse> &response,
                              httplib::Response &res)
{
    const std::string type = response->m_format.stream ? "text/event-stream" : "application/json";
    res.set_chunked_content_provider(
        type, [response](size_t, httplib::DataSink &sink) { return response->write(sink); },
        [response](bool isWhole) {
            if (!isWhole)
                response->m_sequence->cancel();
        });
}

bool CompletionResponse::write(httplib::DataSink &sink)
{
    const std::int64_t before = m_sent;
    const std::int64_t generated = m_sequence->waitForTokens(before, disconnectCheckInterval);
    if (m_sequence->isCancelled() || !sink.is_writable())
        return false;
    if (m_format.truncated && generated >= (m_format.firstToken + m_format.endToken) / 2)
        return false;
    return m_format.stream ? writeEvents(sink) : writeBody(sink);
}

bool CompletionResponse::writeEvents(httplib::DataSink &sink)
{
    std::string text;
    for (const std::int64_t generated = m_sequence->outputTokens(); m_sent < generated; ++m_sent)
        text += event(m_sent);
    const bool isWhole = m_sent >= m_format.endToken;
    if (isWhole)
        text += "data: [DONE]\n\n";
    if (!text.empty() && !standins::send(sink, text))
        return false;
    if (isWhole)
        sink.done();
    return true;
}

bool CompletionResponse::writeBody(httplib::DataSink &sink)
{
    m_sent = m_sequence->outputTokens();
    if (m_sent < m_format.endToken)
        return true;
    std::string text;
    for (std::int64_t i = m_format.firstToken; i < m_format.endToken; ++i)
        text += m_sequence->prompt.outputToken(i);
    Json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (m_format.chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    const Json body{{"object", m_format.chat ? "chat.completion" : "text_completion"},
                    {"model", m_sequence->prompt.model()},
                    {"choices", Json::array({choice})},
                    {"usage", usage()}};
    if (!standins::send(sink, body.dump()))
        return false;
    sink.done();
    return true;
}

std::string CompletionResponse::event(std::int64_t i) const
{
    const bool last = i + 1 == m_format.endToken;
    Json choice{{"index", 0}, {"finish_reason", last ? Json("stop") : Json()}};
    if (m_format.chat)
        choice["delta"] = {{"content", m_sequence->prompt.outputToken(i)}};
    else
        choice["text"] = m_sequence->prompt.outputToken(i);
    Json body{{"object", m_format.chat ? "chat.completion.chunk" : "text_completion"},
              {"model", m_sequence->prompt.model()},
              {"choices", Json::array({choice})}};
    if (last)
        body["usage"] = usage();
    return "data: " + body.dump() + "\n\n";
}

Json CompletionResponse::usage() const
{
    const std::int64_t prompt = m_sequence->prompt.tokens();
    const std::int64_t completion = m_format.endToken - m_format.firstToken;
    return {{"prompt_tokens", prompt},
            {"completion_tokens", completion},
            {"total_tokens", prompt + completion}};
}

} // namespace quetzalyoke::standins
