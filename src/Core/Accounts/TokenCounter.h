#ifndef QUETZALYOKE_CORE_ACCOUNTS_TOKENCOUNTER_H
#define QUETZALYOKE_CORE_ACCOUNTS_TOKENCOUNTER_H

#include "Core/StrongTypes.h"

#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Counts generated tokens in a server-sent event stream, one event a token.
///
/// Events may be split anywhere between two calls; the closing `[DONE]` counts nothing.
class TokenCounter
{
public:
    /// Tokens in the events that end within \a data.
    Tokens count(std::string_view data);

private:
    std::string m_line; // the current, unfinished line; only its start is kept
};

/// Rough size of a prompt in tokens: one for every four bytes, at least one.
Tokens estimatePromptTokens(std::size_t bodyBytes);

} // namespace quetzalyoke

#endif
