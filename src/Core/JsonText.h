#ifndef QUETZALYOKE_CORE_JSONTEXT_H
#define QUETZALYOKE_CORE_JSONTEXT_H

#include <nlohmann/json.hpp>

#include <string>

namespace quetzalyoke {

/// Returns \a json as text. Unlike the library's default, bytes in a string that are no UTF-8 are
/// replaced by U+FFFD instead of causing an exception.
inline std::string dumpJson(const nlohmann::json &json, int indent = -1)
{
    return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace quetzalyoke

#endif
