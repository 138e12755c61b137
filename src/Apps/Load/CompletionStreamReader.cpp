#include "Apps/Load/CompletionStreamReader.h"

#include <utility>

namespace quetzalyoke {

CompletionStreamReader::CompletionStreamReader(std::string mark) : m_mark(std::move(mark)) { }

void CompletionStreamReader::parse(std::string_view data, Instant now)
{
    m_rest += data;
    std::size_t start = 0;
    for (std::size_t end = m_rest.find('\n'); end != std::string::npos;
         end = m_rest.find('\n', start)) {
        parseLine(m_rest.substr(start, end - start), now);
        start = end + 1;
    }
    m_rest.erase(0, start);
}

void CompletionStreamReader::parseLine(const std::string &line, Instant now)
{
    if (!line.starts_with("data: "))
        return;
    if (line == "data: [DONE]") {
        m_ended = true;
        return;
    }
    const std::string word = "\"" + m_mark + std::to_string(m_tokens) + " \"";
    if (line.find(word) == std::string::npos)
        m_foreign = true;
    if (m_tokens++ == 0)
        m_firstAt = now;
    m_lastAt = now;
}

} // namespace quetzalyoke
