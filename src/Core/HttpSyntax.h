#ifndef QUETZALYOKE_CORE_HTTPSYNTAX_H
#define QUETZALYOKE_CORE_HTTPSYNTAX_H

namespace quetzalyoke {

/// Returns whether \a status is in one of the five classes of status codes (RFC 9110, section 15).
inline bool isHttpStatus(int status)
{
    return status >= 100 && status <= 599;
}

} // namespace quetzalyoke

#endif
