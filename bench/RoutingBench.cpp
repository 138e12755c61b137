#include "Core/Routing/Router.h"

#include <benchmark/benchmark.h>

#include <memory>

using namespace quetzalyoke;

namespace {

constexpr int zoneCount = 38;
constexpr int modelsAtTarget = 1600;
constexpr int enginesAtTarget = 11'000;
constexpr int modelsPerEngine = 8;
constexpr int enginesPerHotReplica = 4; // every fourth engine has loaded model 0
constexpr Duration silenceTimeout = std::chrono::seconds(3);
const Instant now{std::chrono::hours(1)};

std::string modelName(int i)
{
    return "model-" + std::to_string(i);
}

AgentStatus agentStatus(int i, int models, std::int64_t sequence)
{
    AgentStatus status;
    status.instance = InstanceId("agent-" + std::to_string(i));
    status.sequence = sequence;
    status.zone = ZoneName("zone-" + std::to_string(i % zoneCount));
    status.capacity = 64;
    status.running = i % 64;
    if (i % enginesPerHotReplica == 0)
        status.availableTargets.insert(modelName(0));
    for (int k = 0; k < modelsPerEngine; ++k)
        status.availableTargets.insert(modelName((i * modelsPerEngine + k) % models));
    return status;
}

// Engines and models in the same ratio as at the target size.
struct DirectoryFixture
{
    explicit DirectoryFixture(int engines)
        : models(std::max(8, engines * modelsAtTarget / enginesAtTarget)), agents(silenceTimeout)
    {
        for (int i = 0; i < engines; ++i)
            agents.update(agentStatus(i, models, 1), now);
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
    AgentStatus report = agentStatus(5, directory.models, 2);
    for (auto it : state) {
        ++report.sequence;
        benchmark::DoNotOptimize(directory.agents.update(report, now));
    }
}

void addSizes(benchmark::internal::Benchmark *bench)
{
    for (const int it : {24, 100, 470, 2000, 5000, enginesAtTarget})
        bench->Arg(it);
}

} // namespace

BENCHMARK_CAPTURE(decide, power_of_two_any, "power_of_two", false)->Apply(addSizes);
BENCHMARK_CAPTURE(decide, affinity_any, "affinity", false)->Apply(addSizes);
BENCHMARK_CAPTURE(decide, affinity_hot, "affinity", true)->Apply(addSizes);
BENCHMARK_CAPTURE(decide, least_loaded_hot, "least_loaded", true)->Apply(addSizes);
BENCHMARK(takeReport)->Apply(addSizes);

BENCHMARK_MAIN();
