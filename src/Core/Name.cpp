#include "Core/Name.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::size_t maximumLength = 100;

// ASCII alone: the verdict must not depend on the process's locale.
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
    return !text.empty() && text.size() <= maximumLength && isLetterOrDigit(text.front())
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string nameFormatHint()
{
    return "use letters, digits, dot, underscore and hyphen, first a letter or digit, at most "
        + std::to_string(maximumLength) + " characters";
}

} // namespace quetzalyoke
