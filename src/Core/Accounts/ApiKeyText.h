#ifndef QUETZALYOKE_CORE_ACCOUNTS_APIKEYTEXT_H
#define QUETZALYOKE_CORE_ACCOUNTS_APIKEYTEXT_H

#include "Core/StrongTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief The text form of a client account's key: `qy_<id>_<secret>`, with a hexadecimal id and
/// secret.
struct ApiKeyText
{
    static constexpr int idBytes = 6;
    static constexpr int secretBytes = 24;

    ApiKeyId id;
    std::string secret;

    std::string text() const;
    /// Parses \a text, or returns nothing if all of it isn't exactly one key.
    static std::optional<ApiKeyText> parse(std::string_view text);
    /// Returns whether \a text contains a key.
    static bool occursIn(std::string_view text);
};

} // namespace quetzalyoke

#endif
