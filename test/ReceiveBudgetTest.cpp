#include "Adapters/Async/ReceiveBudget.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = 1024 * kb;

struct FakeHolder : ReceiveBudget::Holder
{
    void evict() override { ++evictions; }
    int evictions = 0;
};

const Instant start = Instant(1h);

} // namespace

// The newest connection must not go first just because it exceeds the limit.
TEST(ReceiveBudgetTest, evictsTheHolderThatHasMadeNoProgressForLongest)
{
    ReceiveBudget budget({10 * mb, 10 * mb});
    FakeHolder stalled;
    FakeHolder moving;
    FakeHolder newest;
    budget.record(&stalled, 4 * mb, 4 * mb, start);
    budget.record(&moving, 4 * mb, 4 * mb, start);
    EXPECT_FALSE(budget.beginEviction());
    budget.record(&moving, 4 * mb, 2 * kb, start + 900ms);
    budget.record(&newest, 4 * mb, 4 * mb, start + 1s);
    ASSERT_TRUE(budget.beginEviction());
    EXPECT_FALSE(budget.beginEviction()) << "an eviction is due already";
    budget.evictExcess(start + 1s);
    EXPECT_EQ(stalled.evictions, 1);
    EXPECT_EQ(moving.evictions, 0);
    EXPECT_EQ(newest.evictions, 0);
    EXPECT_EQ(budget.connectionBytes(), 8 * mb);
}

// A connection with little to release must not go before one that holds much.
TEST(ReceiveBudgetTest, weighsTheTimeByWhatIsHeld)
{
    ReceiveBudget budget({10 * mb, 10 * mb});
    FakeHolder smallAndOld;
    FakeHolder large;
    budget.record(&smallAndOld, 4 * kb, 4 * kb, start);
    budget.record(&large, 11 * mb, 11 * mb, start + 1s);
    ASSERT_TRUE(budget.beginEviction());
    budget.evictExcess(start + 2s);
    EXPECT_EQ(smallAndOld.evictions, 0);
    EXPECT_EQ(large.evictions, 1);
}

// Single bytes sent now and then would keep a stalled connection from being the first to go.
TEST(ReceiveBudgetTest, doesNotCountSingleBytesAsProgress)
{
    ReceiveBudget budget({10 * mb, 10 * mb});
    FakeHolder dripping;
    FakeHolder slow;
    budget.record(&dripping, 6 * mb, 6 * mb, start);
    budget.record(&slow, 6 * mb, 6 * mb, start);
    for (int i = 1; i <= 10; ++i) {
        budget.record(&dripping, 6 * mb, 1, start + i * 100ms);
        budget.record(&slow, 6 * mb, 200, start + i * 100ms);
    }
    ASSERT_TRUE(budget.beginEviction());
    budget.evictExcess(start + 1s);
    EXPECT_EQ(dripping.evictions, 1);
    EXPECT_EQ(slow.evictions, 0);
}

TEST(ReceiveBudgetTest, forgetsHoldersThatHoldNothing)
{
    ReceiveBudget budget({10 * mb, 10 * mb});
    FakeHolder a;
    FakeHolder b;
    budget.record(&a, 5 * mb, 0, start);
    budget.record(&b, 5 * mb, 0, start);
    budget.record(&a, 0, 0, start);
    budget.remove(&b);
    budget.remove(&b);
    EXPECT_EQ(budget.connectionBytes(), 0U);
}

// A few large requests must not keep out small ones, and a charge must end with its request.
TEST(ReceiveBudgetTest, takesOnRequestsAsLongAsTheirMemoryLasts)
{
    ReceiveBudget budget({10 * mb, 8 * mb});
    EXPECT_TRUE(budget.mayTakeOn(20 * mb)) << "a single request";
    {
        const ResourceCharge first = budget.chargeRequest(4 * mb);
        EXPECT_TRUE(budget.mayTakeOn(2 * mb));
        ResourceCharge second = budget.chargeRequest(2 * mb);
        EXPECT_FALSE(budget.mayTakeOn(mb));
        EXPECT_TRUE(budget.mayTakeOn(10 * kb));
        ResourceCharge copy = second.another(mb);
        copy.add(mb);
        EXPECT_EQ(budget.requestBytes(), 8 * mb);
        EXPECT_FALSE(copy.isTotalOverLimit());
        copy.add(1);
        EXPECT_TRUE(copy.isTotalOverLimit());
        EXPECT_FALSE(budget.mayTakeOn(1));
        const ResourceCharge moved = std::move(second);
        EXPECT_EQ(budget.requestBytes(), 8 * mb + 1);
    }
    EXPECT_EQ(budget.requestBytes(), 0U);
}

// The smallest machine must still be able to take one request of the usual limit, 4 MB.
TEST(ReceiveBudgetTest, leavesRoomForOneRequestOnAnyMachine)
{
    const ReceiveBudget::Limits limits = ReceiveBudget::limitsFor(16);
    EXPECT_GE(limits.connectionBytes, 4 * mb);
    EXPECT_GE(limits.requestBytes, 4 * mb);
    EXPECT_EQ(ReceiveBudget::limitsFor(120).connectionBytes, 30 * mb);
}
