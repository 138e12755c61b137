#include "Apps/Entry/WaitQueue.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};

RequestUrgency urgency(int priority, Instant arrivedAt, Duration objective,
                       const std::string &account = "shop")
{
    return {ServiceName("llm"), ModelName("large"), AccountId(account),
            priority,           arrivedAt,          objective};
}

// Records the order of the attempts.
class NamedWaiter : public Waiter
{
public:
    NamedWaiter(std::string name, std::string &order) : m_name(std::move(name)), m_order(order) { }
    bool retryDispatch() override
    {
        m_order += m_name;
        return false;
    }

private:
    const std::string m_name;
    std::string &m_order;
};

struct Queue
{
    void add(const std::string &name, const RequestUrgency &urgency)
    {
        queue.add(urgency, std::make_shared<NamedWaiter>(name, order));
    }
    std::string orderAt(Instant now)
    {
        order.clear();
        queue.retryDispatches(now);
        return order;
    }

    WaitQueue queue;
    std::string order;
};

} // namespace

// Load pattern: bulk work with a long objective arrives before urgent requests of its priority. In
// the order of arrival it would take the slots that they need.
TEST(WaitQueueTest, putsTheLeastTimeUntilTheObjectiveFirstWithinAPriority)
{
    Queue queue;
    queue.add("b", urgency(1, start, 6s));
    queue.add("d", urgency(1, start + 10ms, 600ms));
    queue.add("t", urgency(0, start + 20ms, 500ms));
    EXPECT_EQ(queue.orderAt(start + 30ms), "tdb");
}

// A request whose objective has passed must not delay one that can still be in time.
TEST(WaitQueueTest, putsLateRequestsAfterThoseThatCanBeInTime)
{
    Queue queue;
    queue.add("l", urgency(1, start, 600ms));
    queue.add("d", urgency(1, start + 500ms, 600ms));
    EXPECT_EQ(queue.orderAt(start + 550ms), "ld");
    EXPECT_EQ(queue.orderAt(start + 650ms), "dl");
}

// Load pattern: urgent requests keep coming. Bulk work must not wait until its time limit.
TEST(WaitQueueTest, ageRaisesThePriority)
{
    Queue queue;
    queue.add("b", urgency(1, start, 2s));
    queue.add("t", urgency(0, start + 3900ms, 1s));
    EXPECT_EQ(queue.orderAt(start + 3950ms), "tb");
    // It has waited for two objectives.
    queue.add("u", urgency(0, start + 2s, 1s));
    EXPECT_EQ(queue.orderAt(start + 4050ms), "tbu");
}

// Load pattern: one account sends several times its usual. Its requests go after those of others,
// by as many objectives as its work exceeds the mean, but within their priority.
TEST(WaitQueueTest, letsAnAccountPayForItsOwnBurst)
{
    Queue queue;
    for (int i = 0; i < 20; ++i)
        queue.queue.accountWork.add(AccountId("burst"));
    for (const char *account : {"a", "b", "c", "d"})
        queue.queue.accountWork.add(AccountId(account));
    queue.add("x", urgency(1, start, 600ms, "burst"));
    queue.add("a", urgency(1, start + 100ms, 600ms, "a"));
    queue.add("y", urgency(0, start + 100ms, 600ms, "burst"));
    EXPECT_EQ(queue.orderAt(start + 150ms), "yax");
    for (int i = 0; i < 20; ++i)
        queue.queue.accountWork.remove(AccountId("burst"));
    EXPECT_EQ(queue.orderAt(start + 150ms), "yxa");
}

// New arrivals must not overtake more urgent requests that wait for the same servers.
TEST(WaitQueueTest, retriesMoreUrgentRequestsBeforeAnArrival)
{
    Queue queue;
    queue.add("d", urgency(1, start, 600ms));
    queue.add("t", urgency(0, start + 10ms, 500ms));
    queue.add("b", urgency(1, start, 6s));
    RequestUrgency other = urgency(0, start, 100ms);
    other.service = ServiceName("shop");
    queue.add("o", other);
    queue.queue.retryMoreUrgent(urgency(1, start + 50ms, 600ms), start + 50ms);
    EXPECT_EQ(queue.order, "td");
    EXPECT_EQ(queue.queue.countBefore(urgency(1, start + 50ms, 600ms), start + 50ms), 2U);
    RequestUrgency otherModel = urgency(1, start + 50ms, 600ms);
    otherModel.model = ModelName("small");
    EXPECT_EQ(queue.queue.countBefore(otherModel, start + 50ms), 0U);
}

TEST(WaitQueueTest, knowsWhichMoreUrgentClassesHaveLatelyArrived)
{
    RecentUrgencies recent;
    const RequestUrgency bulk = urgency(1, start, 6s);
    EXPECT_FALSE(recent.moreUrgentObjective(bulk, start));
    recent.record(bulk, start);
    EXPECT_FALSE(recent.moreUrgentObjective(bulk, start));
    recent.record(urgency(1, start, 600ms), start);
    recent.record(urgency(0, start, 800ms), start + 1s);
    EXPECT_EQ(recent.moreUrgentObjective(bulk, start + 1s), 600ms);
    EXPECT_EQ(recent.moreUrgentObjective(urgency(1, start, 600ms), start + 1s), 800ms);
    EXPECT_EQ(recent.moreUrgentObjective(bulk, start + 2500ms), 800ms);
    EXPECT_FALSE(recent.moreUrgentObjective(bulk, start + 4s));
}

// Load pattern: requests are refused while servers are busy. Only less urgent ones yield, and only
// an account with more than its share leaves room, and not for its own refusals.
TEST(WaitQueueTest, knowsWhoWasLatelyRefused)
{
    RecentUrgencies recent;
    AccountWork work;
    for (int i = 0; i < 8; ++i)
        work.add(AccountId("burst"));
    work.add(AccountId("a"));
    work.add(AccountId("b"));
    const RequestUrgency bulk = urgency(1, start, 6s, "burst");
    recent.recordShortage(urgency(1, start, 600ms, "burst"), work, start);
    EXPECT_TRUE(recent.areMoreUrgentRefused(bulk, start));
    EXPECT_FALSE(recent.areMoreUrgentRefused(urgency(0, start, 500ms), start));
    EXPECT_EQ(recent.excessInShortage(bulk, work, start), 0);
    recent.recordShortage(urgency(1, start, 600ms, "a"), work, start);
    EXPECT_GT(recent.excessInShortage(bulk, work, start), 1);
    EXPECT_EQ(recent.excessInShortage(urgency(1, start, 600ms, "b"), work, start), 0);
    EXPECT_FALSE(recent.areMoreUrgentRefused(bulk, start + 2100ms));
    EXPECT_EQ(recent.excessInShortage(bulk, work, start + 2100ms), 0);
}
