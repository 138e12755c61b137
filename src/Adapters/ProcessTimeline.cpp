#include "Adapters/ProcessTimeline.h"

#include "Adapters/Process.h"

#include <algorithm>
#include <chrono>
#include <mutex>

namespace quetzalyoke {

namespace {

// Limit for each of the two kinds of events; an event takes about 300 bytes.
constexpr std::size_t maxEvents = 8192;

struct SharedState
{
    std::mutex mutex; // guards the members below
    HybridClock clock;
    Timeline timeline{InstanceId(), Incarnation(), maxEvents};
};

SharedState &sharedState()
{
    static SharedState instance;
    return instance;
}

std::int64_t wallClockMicros()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

wire::HybridTime toWire(const HybridTime &time)
{
    wire::HybridTime converted;
    converted.physicalMicros = time.physicalMicros;
    converted.logical = time.logical;
    return converted;
}

HybridTime hybridTimeFrom(const wire::HybridTime &time)
{
    return {time.physicalMicros, time.logical};
}

wire::TimelineEvent toWire(const TimelineEvent &event)
{
    wire::TimelineEvent converted;
    converted.time = toWire(event.time);
    converted.sequence = event.sequence;
    converted.instance = event.instance.text();
    converted.incarnation = event.incarnation.count();
    converted.requestId = event.request.text();
    converted.kind = event.kind;
    converted.detail = event.detail;
    return converted;
}

} // namespace

void ProcessTimeline::start(const InstanceId &instance)
{
    const std::lock_guard lock(sharedState().mutex);
    sharedState().timeline = Timeline(instance, Process::incarnation(), maxEvents);
    sharedState().timeline.record(sharedState().clock.tick(wallClockMicros()),
                                  TimelineEventKind::Started, {}, {});
}

void ProcessTimeline::record(TimelineEventKind kind, const RequestId &request,
                             const std::string &detail)
{
    const std::int64_t wall = wallClockMicros();
    const std::lock_guard lock(sharedState().mutex);
    sharedState().timeline.record(sharedState().clock.tick(wall), kind, request, detail);
}

wire::HybridTime ProcessTimeline::nextTimestamp()
{
    const std::int64_t wall = wallClockMicros();
    const std::lock_guard lock(sharedState().mutex);
    return toWire(sharedState().clock.tick(wall));
}

void ProcessTimeline::mergeTimestamp(const wire::HybridTime &time)
{
    const std::lock_guard lock(sharedState().mutex);
    sharedState().clock.receive(hybridTimeFrom(time));
}

std::vector<TimelineEvent> ProcessTimeline::events(const RequestId &requestId, std::size_t limit)
{
    const std::lock_guard lock(sharedState().mutex);
    return sharedState().timeline.events(requestId, limit);
}

void ProcessTimeline::events(std::vector<wire::TimelineEvent> &events, const std::string &requestId,
                             std::int32_t limit)
{
    const auto n = static_cast<std::size_t>(std::max(limit, 0));
    for (const TimelineEvent &it : ProcessTimeline::events(RequestId(requestId), n))
        events.push_back(toWire(it));
}

TimelineEvent ProcessTimeline::fromWire(const wire::TimelineEvent &event)
{
    return {hybridTimeFrom(event.time),
            event.sequence,
            InstanceId(event.instance),
            Incarnation(event.incarnation),
            RequestId(event.requestId),
            event.kind,
            event.detail};
}

} // namespace quetzalyoke
