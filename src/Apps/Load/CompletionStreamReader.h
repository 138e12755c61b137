#ifndef QUETZALYOKE_APPS_LOAD_COMPLETIONSTREAMREADER_H
#define QUETZALYOKE_APPS_LOAD_COMPLETIONSTREAMREADER_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Reads a streamed answer and checks that each word belongs to the request.
class CompletionStreamReader
{
public:
    /// \a mark is what every word of the right answer starts with.
    explicit CompletionStreamReader(std::string mark);

    void parse(std::string_view data, Instant now);

    std::int64_t tokens() const { return m_tokens; }
    Instant firstTokenAt() const { return m_firstAt; }
    Instant lastTokenAt() const { return m_lastAt; }
    bool isEnded() const { return m_ended; }
    bool isMismatched() const { return m_foreign; }

private:
    void parseLine(const std::string &line, Instant now);

    const std::string m_mark;
    std::string m_rest; // an unfinished line
    std::int64_t m_tokens = 0;
    Instant m_firstAt;
    Instant m_lastAt;
    bool m_ended = false;
    bool m_foreign = false;
};

} // namespace quetzalyoke

#endif
