#include "Core/Placement/PlacementPlanner.h"

#include <benchmark/benchmark.h>

using namespace quetzalyoke;

namespace {

constexpr int zoneCount = 38;
constexpr int modelsAtTarget = 1600;
constexpr int enginesAtTarget = 11'000;
constexpr std::size_t replicasPerModel = 7;
constexpr Megabytes engineMemory(320'000);
constexpr Megabytes modelMemory(40'000);

// Engines and models in the same ratio as at the target size; every engine is usable.
struct PlacementFixture
{
    explicit PlacementFixture(int engines)
    {
        const int models = std::max(4, engines * modelsAtTarget / enginesAtTarget);
        for (int i = 0; i < models; ++i) {
            const ModelName name("model-" + std::to_string(i));
            list.models[name] = {name, "1", modelMemory, {}, 0};
            input.wantedReplicas[name] = replicasPerModel;
        }
        for (int i = 0; i < engines; ++i) {
            const ZoneName zone("zone-" + std::to_string(i % zoneCount));
            input.servers[ServerName("engine-" + std::to_string(i))]
                = {zone, engineMemory, true, {}};
        }
        input.list = &list;
        input.maxLoadsInFlight = static_cast<std::size_t>(models) * replicasPerModel;
    }

    // Plans until the plan no longer changes and marks every replica as ready.
    PlacementPlan planUntilStable()
    {
        PlacementPlan plan;
        for (std::size_t i = 0; i < replicasPerModel; ++i)
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
    const PlacementFixture fixture(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(PlacementPlanner(fixture.input).nextPlan({}));
}

void nothingToDo(benchmark::State &state)
{
    PlacementFixture fixture(static_cast<int>(state.range(0)));
    const PlacementPlan plan = fixture.planUntilStable();
    for (auto _ : state)
        benchmark::DoNotOptimize(PlacementPlanner(fixture.input).nextPlan(plan));
    state.counters["row_bytes"] = static_cast<double>(PlanRow{Version(1), plan}.toJson().size());
}

void zoneLost(benchmark::State &state)
{
    PlacementFixture fixture(static_cast<int>(state.range(0)));
    const PlacementPlan plan = fixture.planUntilStable();
    for (auto &[name, server] : fixture.input.servers)
        server.isUsable = server.zone != ZoneName("zone-0");
    for (auto _ : state)
        benchmark::DoNotOptimize(PlacementPlanner(fixture.input).nextPlan(plan));
}

BENCHMARK(firstPlan)->Arg(24)->Arg(enginesAtTarget)->Unit(benchmark::kMillisecond);
BENCHMARK(nothingToDo)->Arg(24)->Arg(enginesAtTarget)->Unit(benchmark::kMillisecond);
BENCHMARK(zoneLost)->Arg(24)->Arg(enginesAtTarget)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
