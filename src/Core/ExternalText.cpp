#include "Core/ExternalText.h"

#include <array>
#include <cstdint>

namespace quetzalyoke {

namespace {

struct Character
{
    std::size_t size = 0; // 0: the bytes are not well-formed
    std::uint32_t code = 0;
};

// Decodes the first character of \a text, which is not empty.
Character firstCharacter(std::string_view text)
{
    struct Form
    {
        unsigned char mask;
        unsigned char lead;
        std::uint32_t smallest; // smaller codes have a shorter form
    };
    static constexpr std::array<Form, 4> forms{
        {{0x80, 0x00, 0}, {0xe0, 0xc0, 0x80}, {0xf0, 0xe0, 0x800}, {0xf8, 0xf0, 0x10000}}};
    const auto lead = static_cast<unsigned char>(text.front());
    for (std::size_t i = 0; i < forms.size(); ++i) {
        const Form &form = forms[i];
        if ((lead & form.mask) != form.lead)
            continue;
        const std::size_t size = i + 1;
        if (text.size() < size)
            return {};
        std::uint32_t code = lead & static_cast<unsigned char>(~form.mask);
        for (std::size_t k = 1; k < size; ++k) {
            const auto next = static_cast<unsigned char>(text[k]);
            if ((next & 0xc0) != 0x80)
                return {};
            code = code << 6 | (next & 0x3fU);
        }
        const bool isSurrogate = code >= 0xd800 && code <= 0xdfff;
        if (code < form.smallest || code > 0x10ffff || isSurrogate)
            return {};
        return {size, code};
    }
    return {};
}

bool isControl(std::uint32_t code)
{
    return code < 0x20 || (code >= 0x7f && code < 0xa0);
}

} // namespace

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const Character character = firstCharacter(text);
        if (character.size == 0)
            return false;
        text.remove_prefix(character.size);
    }
    return true;
}

bool isPlainText(std::string_view text)
{
    while (!text.empty()) {
        const Character character = firstCharacter(text);
        if (character.size == 0 || isControl(character.code))
            return false;
        text.remove_prefix(character.size);
    }
    return true;
}

bool isExternalName(std::string_view text, std::size_t maxBytes)
{
    return text.size() <= maxBytes && isPlainText(text);
}

std::string readableText(std::string_view text, std::size_t maxBytes)
{
    if (isExternalName(text, maxBytes))
        return std::string(text);
    std::string out;
    while (!text.empty()) {
        const Character character = firstCharacter(text);
        const std::size_t size = character.size == 0 ? 1 : character.size;
        if (out.size() + size > maxBytes)
            return out + "...";
        if (character.size == 0)
            out += '?';
        else if (isControl(character.code))
            out += ' ';
        else
            out += text.substr(0, size);
        text.remove_prefix(size);
    }
    return out;
}

} // namespace quetzalyoke
