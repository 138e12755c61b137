#ifndef QUETZALYOKE_ADAPTERS_METRICS_H
#define QUETZALYOKE_ADAPTERS_METRICS_H

#include <map>
#include <string>

namespace quetzalyoke {

/// \brief The metrics of this process, kept in one prometheus-cpp registry. Names get the prefix
/// `quetzalyoke_`.
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    /// Adds \a n to the counter \a name.
    static void incrementCounter(const std::string &name, const Labels &labels = {}, double n = 1);
    /// Sets the gauge \a name to \a value.
    static void setGauge(const std::string &name, double value, const Labels &labels = {});
    /// Adds \a seconds to the latency histogram \a name.
    static void observeLatency(const std::string &name, double seconds, const Labels &labels = {});
    /// Returns all metrics in the Prometheus text exposition format.
    static std::string text();
};

} // namespace quetzalyoke

#endif
