#include "Adapters/Metrics.h"

#include "Core/ExternalText.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace quetzalyoke {

namespace {

prometheus::Registry &registry()
{
    static prometheus::Registry instance;
    return instance;
}

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets{
        0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.047, 0.1, 0.2, 0.5, 0.93, 2, 5, 10, 30};
    return buckets;
}

// The text format is UTF-8; a scraper rejects all metrics of a process because of one other byte.
Metrics::Labels readableLabels(const Metrics::Labels &labels)
{
    Metrics::Labels readable;
    for (const auto &[name, value] : labels)
        readable[name] = readableText(value, maxExternalNameBytes);
    return readable;
}

} // namespace

void Metrics::incrementCounter(const std::string &name, const Labels &labels, double n)
{
    prometheus::BuildCounter()
        .Name("quetzalyoke_" + name)
        .Register(registry())
        .Add(readableLabels(labels))
        .Increment(n);
}

void Metrics::setGauge(const std::string &name, double value, const Labels &labels)
{
    prometheus::BuildGauge()
        .Name("quetzalyoke_" + name)
        .Register(registry())
        .Add(readableLabels(labels))
        .Set(value);
}

void Metrics::observeLatency(const std::string &name, double seconds, const Labels &labels)
{
    prometheus::BuildHistogram()
        .Name("quetzalyoke_" + name)
        .Register(registry())
        .Add(readableLabels(labels), latencyBuckets())
        .Observe(seconds);
}

std::string Metrics::text()
{
    return prometheus::TextSerializer().Serialize(registry().Collect());
}

} // namespace quetzalyoke
