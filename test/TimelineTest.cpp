#include "Core/Requests/Timeline.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <random>

using namespace quetzalyoke;

namespace {

// A process whose wall clock may be far off and may be set back.
struct Process
{
    Process(const std::string &name, std::int64_t skew)
        : skewMicros(skew), timeline(InstanceId(name), Incarnation(1), 10'000)
    { }

    HybridTime record(const std::string &detail, std::int64_t trueMicros)
    {
        const HybridTime time = clock.tick(trueMicros + skewMicros);
        timeline.record(time, TimelineEventKind::RequestSubmitted, RequestId("r"), detail);
        return time;
    }

    std::int64_t skewMicros;
    HybridClock clock;
    Timeline timeline;
};

std::size_t indexOf(const std::vector<TimelineEvent> &events, const std::string &detail)
{
    const auto it
        = std::find_if(events.begin(), events.end(),
                       [&detail](const TimelineEvent &event) { return event.detail == detail; });
    return static_cast<std::size_t>(it - events.begin());
}

} // namespace

TEST(TimelineTest, keepsCausalOrderDespiteSkewedClocks)
{
    constexpr std::uint64_t seed = 20261204;
    std::cout << "seed " << seed << '\n';
    std::mt19937_64 random(seed);
    for (int round = 0; round < 300; ++round) {
        std::vector<Process> processes;
        for (const char *name : {"gateway-1", "gateway-2", "agent-1", "agent-2"})
            processes.emplace_back(name,
                                   static_cast<std::int64_t>(random() % 20'000'000) - 10'000'000);
        std::int64_t now = 1'000'000'000;
        std::vector<std::pair<std::string, std::string>> causes;
        for (int i = 0; i < 60; ++i) {
            Process &sender = processes[random() % processes.size()];
            Process &receiver = processes[random() % processes.size()];
            now += static_cast<std::int64_t>(random() % 3);
            if (random() % 10 == 0)
                sender.skewMicros -= 5'000'000;
            const std::string id = std::to_string(i);
            receiver.clock.receive(sender.record("sent " + id, now));
            receiver.record("received " + id, now);
            causes.emplace_back("sent " + id, "received " + id);
        }
        std::vector<TimelineEvent> events;
        for (const Process &it : processes) {
            const auto processEvents = it.timeline.events(RequestId("r"), 10'000);
            events.insert(events.end(), processEvents.begin(), processEvents.end());
        }
        std::shuffle(events.begin(), events.end(), random);
        events = mergeTimelineEvents(std::move(events));
        ASSERT_EQ(events.size(), 2 * causes.size());
        for (const auto &[cause, effect] : causes)
            ASSERT_LT(indexOf(events, cause), indexOf(events, effect)) << "round " << round;
    }
}

TEST(TimelineTest, keepsTheNewestRequestEventsSeparateFromStateEvents)
{
    Timeline timeline(InstanceId("g"), Incarnation(1), 3);
    timeline.record({1, 0}, TimelineEventKind::TableLost, {}, "lost");
    for (int i = 2; i <= 10; ++i)
        timeline.record({i, 0}, TimelineEventKind::RequestAdmitted, RequestId("r"),
                        std::to_string(i));
    const std::vector<TimelineEvent> all = timeline.events({}, 100);
    ASSERT_EQ(all.size(), 4U);
    EXPECT_EQ(all.front().kind, "table-lost");
    EXPECT_EQ(all.back().detail, "10");
    EXPECT_EQ(timeline.events(RequestId("r"), 2).front().detail, "9");
    EXPECT_TRUE(timeline.events(RequestId("s"), 100).empty());
}

TEST(TimelineTest, truncatesAndSanitizesDetails)
{
    Timeline timeline(InstanceId("g"), Incarnation(1), 3);
    timeline.record({1, 0}, TimelineEventKind::Draining, {}, "a\nb" + std::string(1000, 'x'));
    const TimelineEvent event = timeline.events({}, 1).at(0);
    EXPECT_EQ(event.detail.size(), Timeline::maximumDetailLength);
    EXPECT_TRUE(event.detail.starts_with("a b"));
}

TEST(TimelineTest, removesDuplicateEvents)
{
    Timeline timeline(InstanceId("g"), Incarnation(1), 3);
    timeline.record({1, 0}, TimelineEventKind::Draining, {}, {});
    std::vector<TimelineEvent> events = timeline.events({}, 10);
    events.push_back(events.front());
    EXPECT_EQ(mergeTimelineEvents(events).size(), 1U);
}
