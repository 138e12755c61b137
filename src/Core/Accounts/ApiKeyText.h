#ifndef QUETZALYOKE_CORE_ACCOUNTS_APIKEYTEXT_H
#define QUETZALYOKE_CORE_ACCOUNTS_APIKEYTEXT_H

#include "Core/StrongTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief The text of a client account's key: `qy_<id>_<secret>`, both parts hexadecimal.
struct ApiKeyText
{
    static constexpr int idBytes = 6;
    static constexpr int secretBytes = 24;

    ApiKeyId id;
    std::string secret;

    std::string text() const;
    /// Reads a whole text; nothing where it has another form.
    static std::optional<ApiKeyText> parse(std::string_view text);
    /// Whether a key stands anywhere in \a text.
    static bool occursIn(std::string_view text);
};

} // namespace quetzalyoke

#endif
