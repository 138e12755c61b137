#ifndef QUETZALYOKE_ADAPTERS_EVENTJSON_H
#define QUETZALYOKE_ADAPTERS_EVENTJSON_H

#include "Core/Requests/Timeline.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

/// \a event as the operators' API and `quetzalyokectl timeline --json` give it.
nlohmann::json toJson(const TimelineEvent &event);
/// Throws nlohmann::json::exception where a member is missing or of another type.
TimelineEvent eventFromJson(const nlohmann::json &json);

} // namespace quetzalyoke

#endif
