#include "Core/Routing/Router.h"

#include <benchmark/benchmark.h>

#include <memory>

using namespace quetzalyoke;

namespace {

constexpr int zones = 38;
constexpr int modelsAtTarget = 1600;
constexpr int enginesAtTarget = 11'000;
constexpr int modelsOfAnEngine = 8;
constexpr int hotModelShare = 4; // every fourth engine has model 0
constexpr Duration silence = std::chrono::seconds(3);
const Instant now{std::chrono::hours(1)};

std::string modelName(int i)
{
    return "model-" + std::to_string(i);
}

AgentStatus engine(int i, int models, std::int64_t sequence)
{
    AgentStatus status;
    status.instance = InstanceId("agent-" + std::to_string(i));
    status.sequence = sequence;
    status.zone = ZoneName("zone-" + std::to_string(i % zones));
    status.capacity = 64;
    status.running = i % 64;
    if (i % hotModelShare == 0)
        status.availableTargets.insert(modelName(0));
    for (int k = 0; k < modelsOfAnEngine; ++k)
        status.availableTargets.insert(modelName((i * modelsOfAnEngine + k) % models));
    return status;
}

// A fleet in the proportions of the target.
struct DirectoryFixture
{
    explicit DirectoryFixture(int engines)
        : models(std::max(8, engines * modelsAtTarget / enginesAtTarget)), agents(silence)
    {
        for (int i = 0; i < engines; ++i)
            agents.update(engine(i, models, 1), now);
    }

    int models;
    AgentDirectory agents;
};

void decide(benchmark::State &state, const char *policyName, bool hot)
{
    const DirectoryFixture directory(static_cast<int>(state.range(0)));
    const RoutingPolicy policy = makeRoutingPolicy(policyName);
    std::mt19937_64 random(1);
    RoutingRequest request;
    request.zone = ZoneName("zone-3");
    request.target = modelName(0);
    for (auto it : state) {
        if (!hot)
            request.target = modelName(static_cast<int>(random() % directory.models));
        request.promptPrefixHash = random();
        benchmark::DoNotOptimize(policy(request, directory.agents, now, random));
    }
}

void takeReport(benchmark::State &state)
{
    const auto engines = static_cast<int>(state.range(0));
    DirectoryFixture directory(engines);
    AgentStatus report = engine(5, directory.models, 2);
    for (auto it : state) {
        ++report.sequence;
        benchmark::DoNotOptimize(directory.agents.update(report, now));
    }
}

void sizes(benchmark::internal::Benchmark *bench)
{
    for (const int it : {24, 100, 470, 2000, 5000, enginesAtTarget})
        bench->Arg(it);
}

} // namespace

BENCHMARK_CAPTURE(decide, power_of_two_any, "power_of_two", false)->Apply(sizes);
BENCHMARK_CAPTURE(decide, affinity_any, "affinity", false)->Apply(sizes);
BENCHMARK_CAPTURE(decide, affinity_hot, "affinity", true)->Apply(sizes);
BENCHMARK_CAPTURE(decide, least_loaded_hot, "least_loaded", true)->Apply(sizes);
BENCHMARK(takeReport)->Apply(sizes);

BENCHMARK_MAIN();
