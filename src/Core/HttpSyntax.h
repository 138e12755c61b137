#ifndef QUETZALYOKE_CORE_HTTPSYNTAX_H
#define QUETZALYOKE_CORE_HTTPSYNTAX_H

#include <string_view>

namespace quetzalyoke {

/// Returns whether \a status is in one of the five classes of status codes (RFC 9110, section 15).
inline bool isHttpStatus(int status)
{
    return status >= 100 && status <= 599;
}

/// Returns whether \a name is a token, as names of header fields are (RFC 9110, section 5.6.2).
inline bool isHttpFieldName(std::string_view name)
{
    constexpr std::string_view tokenCharacters
        = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    return !name.empty() && name.find_first_not_of(tokenCharacters) == std::string_view::npos;
}

} // namespace quetzalyoke

#endif
