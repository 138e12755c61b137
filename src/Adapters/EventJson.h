#ifndef QUETZALYOKE_ADAPTERS_EVENTJSON_H
#define QUETZALYOKE_ADAPTERS_EVENTJSON_H

#include "Core/Requests/Timeline.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

/// Converts \a event to the JSON of the operators' API and of `quetzalyokectl timeline --json`.
nlohmann::json toJson(const TimelineEvent &event);
/// Converts \a json back. Throws nlohmann::json::exception if a member is missing or has another
/// type.
TimelineEvent eventFromJson(const nlohmann::json &json);

} // namespace quetzalyoke

#endif
