#include "Core/Name.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::size_t maxLength = 100;

// Only ASCII is accepted, so that the result doesn't depend on the process's locale.
bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isNameCharacter(char c)
{
    return isLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
}

} // namespace

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= maxLength && isLetterOrDigit(text.front())
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string nameFormatHint()
{
    return "use letters, digits, dot, underscore and hyphen, starting with a letter or digit, at "
           "most "
        + std::to_string(maxLength) + " characters";
}

} // namespace quetzalyoke
