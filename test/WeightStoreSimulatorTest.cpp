#include "StandIns/Platform/WeightStoreSimulator.h"
#include "StandIns/Platform/PlatformFaults.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;
using standins::WeightStoreSimulator;

namespace {

standins::PlatformSettings settingsWithTwoLoadsPerSecond()
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

TEST(WeightStoreSimulatorTest, limitsTheRateOfModelLoads)
{
    WeightStoreSimulator store(settingsWithTwoLoadsPerSecond());
    const Instant start{1h};
    EXPECT_EQ(store.beginLoad(WeightStoreSimulator::Kind::Model, start), 1000ms);
    EXPECT_EQ(store.beginLoad(WeightStoreSimulator::Kind::Model, start), 1500ms);
    EXPECT_EQ(store.beginLoad(WeightStoreSimulator::Kind::Model, start + 10s), 1000ms);
}

TEST(WeightStoreSimulatorTest, slowsAdaptersInProportionBeyondFullSpeed)
{
    WeightStoreSimulator store(settingsWithTwoLoadsPerSecond());
    const Instant start{1h};
    for (int i = 0; i < 64; ++i)
        EXPECT_EQ(store.beginLoad(WeightStoreSimulator::Kind::Adapter, start), 8ms);
    for (int i = 0; i < 63; ++i)
        store.beginLoad(WeightStoreSimulator::Kind::Adapter, start);
    EXPECT_EQ(store.beginLoad(WeightStoreSimulator::Kind::Adapter, start), 16ms);
    for (int i = 0; i < 65; ++i)
        store.endLoad(WeightStoreSimulator::Kind::Adapter);
    EXPECT_EQ(store.beginLoad(WeightStoreSimulator::Kind::Adapter, start), 8ms);
}

TEST(WeightStoreSimulatorTest, timedFaultsEndByThemselves)
{
    standins::PlatformFaults faults;
    standins::PlatformFaultSettings settings;
    settings.outage = true;
    settings.duration = 500ms;
    const Instant start{1h};
    faults.set(settings, start);
    EXPECT_TRUE(faults.current(start + 499ms).outage);
    EXPECT_FALSE(faults.current(start + 500ms).outage);
}
