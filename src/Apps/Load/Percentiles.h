#ifndef QUETZALYOKE_APPS_LOAD_PERCENTILES_H
#define QUETZALYOKE_APPS_LOAD_PERCENTILES_H

#include "Core/StrongTypes.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace quetzalyoke {

/// \brief Exact percentiles of durations.
class Percentiles
{
public:
    void add(Duration value) { m_values.push_back(value); }
    std::size_t count() const { return m_values.size(); }
    /// Returns the smallest value that \a percent of all values don't exceed, or zero if there are
    /// no values.
    Duration at(double percent) const;
    /// Returns p50, p95 and p99 in milliseconds.
    nlohmann::json toJson() const;

private:
    std::vector<Duration> m_values;
};

} // namespace quetzalyoke

#endif
