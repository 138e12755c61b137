#include "Core/Accounts/TokenCounter.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view endLine = "data: [DONE]";
constexpr std::size_t bytesPerToken = 4;

} // namespace

Tokens TokenCounter::count(std::string_view data)
{
    Tokens n;
    for (const char c : data) {
        if (c != '\n') {
            if (m_line.size() < endLine.size())
                m_line += c;
            continue;
        }
        if (m_line.starts_with(dataPrefix) && m_line != endLine)
            n += Tokens(1);
        m_line.clear();
    }
    return n;
}

Tokens estimatePromptTokens(std::size_t bodyBytes)
{
    return Tokens(static_cast<std::int64_t>(std::max<std::size_t>(1, bodyBytes / bytesPerToken)));
}

} // namespace quetzalyoke
