#ifndef QUETZALYOKE_ADAPTERS_BOUNDEDJSON_H
#define QUETZALYOKE_ADAPTERS_BOUNDEDJSON_H

#include <nlohmann/json.hpp>

#include <string_view>

namespace quetzalyoke {

/// Parses JSON from another process. Throws nlohmann::json::exception if \a text is malformed or
/// nested more deeply than any format in use.
nlohmann::json parseJson(std::string_view text);

} // namespace quetzalyoke

#endif
