#include "Apps/Load/CompletionStreamReader.h"

#include <utility>

namespace quetzalyoke {

CompletionStreamReader::CompletionStreamReader(std::string wordPrefix)
    : m_wordPrefix(std::move(wordPrefix))
{ }

void CompletionStreamReader::parse(std::string_view data, Instant now)
{
    m_incompleteLine += data;
    std::size_t start = 0;
    for (std::size_t end = m_incompleteLine.find('\n'); end != std::string::npos;
         end = m_incompleteLine.find('\n', start)) {
        parseLine(m_incompleteLine.substr(start, end - start), now);
        start = end + 1;
    }
    m_incompleteLine.erase(0, start);
}

void CompletionStreamReader::parseLine(const std::string &line, Instant now)
{
    if (!line.starts_with("data: "))
        return;
    if (line == "data: [DONE]") {
        m_ended = true;
        return;
    }
    const std::string expectedWord = "\"" + m_wordPrefix + std::to_string(m_tokens) + " \"";
    if (line.find(expectedWord) == std::string::npos)
        m_mismatched = true;
    if (m_tokens++ == 0)
        m_firstAt = now;
    m_lastAt = now;
}

} // namespace quetzalyoke
