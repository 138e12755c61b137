#include "Apps/Load/Percentiles.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

double millis(Duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

Duration Percentiles::at(double percent) const
{
    if (m_values.empty())
        return Duration::zero();
    std::vector<Duration> sorted = m_values;
    std::sort(sorted.begin(), sorted.end());
    const double rank = std::ceil(percent / 100 * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

nlohmann::json Percentiles::toJson() const
{
    return {{"p50", millis(at(50))}, {"p95", millis(at(95))}, {"p99", millis(at(99))}};
}

} // namespace quetzalyoke
