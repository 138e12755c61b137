#ifndef QUETZALYOKE_CORE_EXTERNALTEXT_H
#define QUETZALYOKE_CORE_EXTERNALTEXT_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace quetzalyoke {

/// Largest size of an id or a name that another process states.
inline constexpr std::size_t maxExternalNameBytes = 200;

/// Returns whether \a text is well-formed UTF-8.
bool isUtf8(std::string_view text);

/// Returns whether \a text is well-formed UTF-8 without control characters.
bool isPlainText(std::string_view text);

/// Returns whether \a text, which comes from another process, may be an id or a name: plain text of
/// at most \a maxBytes. The empty text stands for a name that is not stated.
bool isExternalName(std::string_view text, std::size_t maxBytes = maxExternalNameBytes);

/// Returns \a text as an id, or nothing if it may not be one; see isExternalName().
template<typename Id>
std::optional<Id> makeExternalId(std::string text)
{
    if (!isExternalName(text))
        return {};
    return Id(std::move(text));
}

/// Returns \a text for people to read: control characters are replaced by spaces, bytes that are no
/// UTF-8 by question marks, and what exceeds \a maxBytes by `...`.
std::string readableText(std::string_view text, std::size_t maxBytes);

} // namespace quetzalyoke

#endif
