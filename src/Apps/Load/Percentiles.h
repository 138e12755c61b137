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
    /// The least value that \a percent of all don't exceed; zero where there are none.
    Duration at(double percent) const;
    /// p50, p95 and p99 in milliseconds.
    nlohmann::json toJson() const;

private:
    std::vector<Duration> m_values;
};

} // namespace quetzalyoke

#endif
