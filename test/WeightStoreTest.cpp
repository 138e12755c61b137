#include "StandIns/Platform/WeightStore.h"
#include "StandIns/Platform/Faults.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;
using standins::WeightStore;

namespace {

standins::PlatformSettings twoLoadsASecond()
{
    standins::PlatformSettings settings;
    settings.modelLoadsPerSecond = 2;
    settings.modelLoadsAtFullSpeed = 8;
    settings.adapterLoadsAtFullSpeed = 64;
    settings.modelLoadTime = 1000ms;
    settings.adapterLoadTime = 8ms;
    return settings;
}

} // namespace

TEST(WeightStoreTest, givesEachModelLoadItsTurn)
{
    WeightStore store(twoLoadsASecond());
    const Instant start{1h};
    EXPECT_EQ(store.begin(WeightStore::Kind::Model, start), 1000ms);
    EXPECT_EQ(store.begin(WeightStore::Kind::Model, start), 1500ms);
    EXPECT_EQ(store.begin(WeightStore::Kind::Model, start + 10s), 1000ms);
}

TEST(WeightStoreTest, slowsAdaptersInProportionBeyondFullSpeed)
{
    WeightStore store(twoLoadsASecond());
    const Instant start{1h};
    for (int i = 0; i < 64; ++i)
        EXPECT_EQ(store.begin(WeightStore::Kind::Adapter, start), 8ms);
    for (int i = 0; i < 63; ++i)
        store.begin(WeightStore::Kind::Adapter, start);
    EXPECT_EQ(store.begin(WeightStore::Kind::Adapter, start), 16ms);
    for (int i = 0; i < 65; ++i)
        store.end(WeightStore::Kind::Adapter);
    EXPECT_EQ(store.begin(WeightStore::Kind::Adapter, start), 8ms);
}

TEST(WeightStoreTest, timedFaultsEndByThemselves)
{
    standins::Faults faults;
    standins::FaultPlan plan;
    plan.outage = true;
    plan.lasts = 500ms;
    const Instant start{1h};
    faults.set(plan, start);
    EXPECT_TRUE(faults.current(start + 499ms).outage);
    EXPECT_FALSE(faults.current(start + 500ms).outage);
}
