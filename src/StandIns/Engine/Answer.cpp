#include "StandIns/Engine/Answer.h"

namespace quetzalyoke::standins {

namespace {

using Json = nlohmann::json;

// Between two looks at whether the caller is still there.
constexpr std::chrono::milliseconds waitSlice{50};

bool send(httplib::DataSink &sink, const std::string &text)
{
    return sink.write(text.data(), text.size());
}

} // namespace

Answer::Answer(std::shared_ptr<Sequence> sequence, const Form &form)
    : m_sequence(std::move(sequence)), m_form(form), m_sent(form.firstWord)
{ }

void Answer::send(const std::shared_ptr<Answer> &answer, httplib::Response &res)
{
    const std::string type = answer->m_form.stream ? "text/event-stream" : "application/json";
    res.set_chunked_content_provider(
        type, [answer](size_t, httplib::DataSink &sink) { return answer->write(sink); },
        [answer](bool whole) {
            if (!whole)
                answer->m_sequence->cancel();
        });
}

bool Answer::write(httplib::DataSink &sink)
{
    const std::int64_t before = m_sent;
    const std::int64_t made = m_sequence->waitForMore(before, waitSlice);
    if (m_sequence->isCancelled() || !sink.is_writable())
        return false;
    if (m_form.cut && made >= (m_form.firstWord + m_form.lastWord) / 2)
        return false;
    return m_form.stream ? writeEvents(sink) : writeWhole(sink);
}

bool Answer::writeEvents(httplib::DataSink &sink)
{
    std::string text;
    for (const std::int64_t made = m_sequence->words(); m_sent < made; ++m_sent)
        text += event(m_sent);
    const bool whole = m_sent >= m_form.lastWord;
    if (whole)
        text += "data: [DONE]\n\n";
    if (!text.empty() && !standins::send(sink, text))
        return false;
    if (whole)
        sink.done();
    return true;
}

bool Answer::writeWhole(httplib::DataSink &sink)
{
    m_sent = m_sequence->words();
    if (m_sent < m_form.lastWord)
        return true;
    std::string text;
    for (std::int64_t i = m_form.firstWord; i < m_form.lastWord; ++i)
        text += m_sequence->prompt.word(i);
    Json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (m_form.chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    const Json body{{"object", m_form.chat ? "chat.completion" : "text_completion"},
                    {"model", m_sequence->prompt.model()},
                    {"choices", Json::array({choice})},
                    {"usage", usage()}};
    if (!standins::send(sink, body.dump()))
        return false;
    sink.done();
    return true;
}

std::string Answer::event(std::int64_t i) const
{
    const bool last = i + 1 == m_form.lastWord;
    Json choice{{"index", 0}, {"finish_reason", last ? Json("stop") : Json()}};
    if (m_form.chat)
        choice["delta"] = {{"content", m_sequence->prompt.word(i)}};
    else
        choice["text"] = m_sequence->prompt.word(i);
    Json body{{"object", m_form.chat ? "chat.completion.chunk" : "text_completion"},
              {"model", m_sequence->prompt.model()},
              {"choices", Json::array({choice})}};
    if (last)
        body["usage"] = usage();
    return "data: " + body.dump() + "\n\n";
}

Json Answer::usage() const
{
    const std::int64_t prompt = m_sequence->prompt.tokens();
    const std::int64_t completion = m_form.lastWord - m_form.firstWord;
    return {{"prompt_tokens", prompt},
            {"completion_tokens", completion},
            {"total_tokens", prompt + completion}};
}

} // namespace quetzalyoke::standins
