#include "Core/Placement/PlacementPlanner.h"

#include <benchmark/benchmark.h>

using namespace quetzalyoke;

namespace {

constexpr int zones = 38;
constexpr int modelsAtTarget = 1600;
constexpr int enginesAtTarget = 11'000;
constexpr std::size_t replicasOfAModel = 7;
constexpr Megabytes engineMemory(320'000);
constexpr Megabytes modelMemory(40'000);

// A fleet in the proportions of the target, every engine usable.
struct PlacementFixture
{
    explicit PlacementFixture(int engines)
    {
        const int models = std::max(4, engines * modelsAtTarget / enginesAtTarget);
        for (int i = 0; i < models; ++i) {
            const ModelName name("model-" + std::to_string(i));
            list.models[name] = {name, "1", modelMemory, {}, 0};
            input.wantedReplicas[name] = replicasOfAModel;
        }
        for (int i = 0; i < engines; ++i) {
            const ZoneName zone("zone-" + std::to_string(i % zones));
            input.servers[ServerName("engine-" + std::to_string(i))]
                = {zone, engineMemory, true, {}};
        }
        input.list = &list;
        input.maxLoadsInFlight = static_cast<std::size_t>(models) * replicasOfAModel;
    }

    // Plans until nothing changes, and lets every copy become ready.
    PlacementPlan planUntilStable()
    {
        PlacementPlan plan;
        for (std::size_t i = 0; i < replicasOfAModel; ++i)
            plan = PlacementPlanner(input).nextPlan(plan);
        for (const auto &[model, replicas] : plan.models) {
            for (const auto &[server, version] : replicas)
                input.servers[server].readyVersions[model.text()] = version;
        }
        return plan;
    }

    ServiceList list;
    PlacementInput input;
};

void firstPlan(benchmark::State &state)
{
    const PlacementFixture world(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(PlacementPlanner(world.input).nextPlan({}));
}

void nothingToDo(benchmark::State &state)
{
    PlacementFixture world(static_cast<int>(state.range(0)));
    const PlacementPlan plan = world.planUntilStable();
    for (auto _ : state)
        benchmark::DoNotOptimize(PlacementPlanner(world.input).nextPlan(plan));
    state.counters["row_bytes"] = static_cast<double>(PlanRow{Version(1), plan}.toJson().size());
}

void zoneLost(benchmark::State &state)
{
    PlacementFixture world(static_cast<int>(state.range(0)));
    const PlacementPlan plan = world.planUntilStable();
    for (auto &[name, server] : world.input.servers)
        server.isUsable = server.zone != ZoneName("zone-0");
    for (auto _ : state)
        benchmark::DoNotOptimize(PlacementPlanner(world.input).nextPlan(plan));
}

BENCHMARK(firstPlan)->Arg(24)->Arg(enginesAtTarget)->Unit(benchmark::kMillisecond);
BENCHMARK(nothingToDo)->Arg(24)->Arg(enginesAtTarget)->Unit(benchmark::kMillisecond);
BENCHMARK(zoneLost)->Arg(24)->Arg(enginesAtTarget)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
