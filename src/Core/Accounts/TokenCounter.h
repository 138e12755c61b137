#ifndef QUETZALYOKE_CORE_ACCOUNTS_TOKENCOUNTER_H
#define QUETZALYOKE_CORE_ACCOUNTS_TOKENCOUNTER_H

#include "Core/StrongTypes.h"

#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Counts the generated tokens in a server-sent event stream, with one event per token.
///
/// An event may be split over several calls. The closing `[DONE]` event is not counted.
class TokenCounter
{
public:
    /// Returns the number of tokens in the events that end within \a data.
    Tokens count(std::string_view data);

private:
    std::string m_line; // start of the current, unfinished line
};

/// Estimates the size of a prompt: one token per four bytes, at least one.
Tokens estimatePromptTokens(std::size_t bodyBytes);

} // namespace quetzalyoke

#endif
