#include "Adapters/BoundedJson.h"

namespace quetzalyoke {

namespace {

constexpr int maxDepth = 32;

// Returns whether brackets outside strings are nested too deeply. Copying a parsed value recurses,
// so the depth is bounded before the value is built.
bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                isInString = false;
            continue;
        }
        if (c == '"')
            isInString = true;
        else if ((c == '[' || c == '{') && ++depth > maxDepth)
            return true;
        else if (c == ']' || c == '}')
            --depth;
    }
    return false;
}

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        throw nlohmann::json::other_error::create(500, "nested too deeply", nullptr);
    return nlohmann::json::parse(text);
}

} // namespace quetzalyoke
