#ifndef QUETZALYOKE_APPS_LOAD_COMPLETIONSTREAMREADER_H
#define QUETZALYOKE_APPS_LOAD_COMPLETIONSTREAMREADER_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Parses a streamed response and checks that each word belongs to the request.
class CompletionStreamReader
{
public:
    /// Every word of the right response starts with \a wordPrefix.
    explicit CompletionStreamReader(std::string wordPrefix);

    void parse(std::string_view data, Instant now);

    std::int64_t tokens() const { return m_tokens; }
    Instant firstTokenAt() const { return m_firstAt; }
    Instant lastTokenAt() const { return m_lastAt; }
    bool isEnded() const { return m_ended; }
    bool isMismatched() const { return m_mismatched; }

private:
    void parseLine(const std::string &line, Instant now);

    const std::string m_wordPrefix;
    std::string m_incompleteLine; // received part of the last line
    std::int64_t m_tokens = 0;
    Instant m_firstAt;
    Instant m_lastAt;
    bool m_ended = false;
    bool m_mismatched = false;
};

} // namespace quetzalyoke

#endif
