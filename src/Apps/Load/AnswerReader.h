#ifndef QUETZALYOKE_APPS_LOAD_ANSWERREADER_H
#define QUETZALYOKE_APPS_LOAD_ANSWERREADER_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Reads a streamed answer and checks that each word belongs to the request.
class AnswerReader
{
public:
    /// \a mark is what every word of the right answer starts with.
    explicit AnswerReader(std::string mark);

    void take(std::string_view data, Instant now);

    std::int64_t tokens() const { return m_tokens; }
    Instant firstAt() const { return m_firstAt; }
    Instant lastAt() const { return m_lastAt; }
    bool isEnded() const { return m_ended; }
    bool isForeign() const { return m_foreign; }

private:
    void takeLine(const std::string &line, Instant now);

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
