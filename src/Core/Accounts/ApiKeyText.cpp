#include "Core/Accounts/ApiKeyText.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::string_view prefix = "qy_";
constexpr std::size_t idLength = 2UL * ApiKeyText::idBytes;
constexpr std::size_t secretLength = 2UL * ApiKeyText::secretBytes;
constexpr std::size_t textLength = prefix.size() + idLength + 1 + secretLength;

bool isHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

} // namespace

std::string ApiKeyText::text() const
{
    return std::string(prefix) + id.text() + "_" + secret;
}

std::optional<ApiKeyText> ApiKeyText::parse(std::string_view text)
{
    if (text.size() != textLength || !text.starts_with(prefix))
        return std::nullopt;
    const std::string_view id = text.substr(prefix.size(), idLength);
    const std::string_view secret = text.substr(textLength - secretLength);
    if (text[prefix.size() + idLength] != '_' || !isHex(id) || !isHex(secret))
        return std::nullopt;
    return ApiKeyText{ApiKeyId(std::string(id)), std::string(secret)};
}

bool ApiKeyText::occursIn(std::string_view text)
{
    for (auto position = text.find(prefix); position != std::string_view::npos;
         position = text.find(prefix, position + 1)) {
        if (parse(text.substr(position, textLength)))
            return true;
    }
    return false;
}

} // namespace quetzalyoke
