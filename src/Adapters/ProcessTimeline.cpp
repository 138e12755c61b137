#include "Adapters/ProcessTimeline.h"

#include "Adapters/Process.h"

#include <algorithm>
#include <chrono>
#include <mutex>

namespace quetzalyoke {

namespace {

// Events of each of the two kinds; about 300 bytes each.
constexpr std::size_t capacity = 8192;

struct Log
{
    std::mutex mutex; // of the members below
    HybridClock clock;
    Timeline timeline{InstanceId(), Incarnation(), capacity};
};

Log &log()
{
    static Log instance;
    return instance;
}

std::int64_t wallMicros()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

wire::HybridTime toWire(const HybridTime &time)
{
    wire::HybridTime sent;
    sent.physicalMicros = time.physicalMicros;
    sent.logical = time.logical;
    return sent;
}

HybridTime hybridTimeFrom(const wire::HybridTime &time)
{
    return {time.physicalMicros, time.logical};
}

wire::TimelineEvent toWire(const TimelineEvent &event)
{
    wire::TimelineEvent sent;
    sent.time = toWire(event.time);
    sent.sequence = event.sequence;
    sent.instance = event.instance.text();
    sent.incarnation = event.incarnation.count();
    sent.requestId = event.request.text();
    sent.kind = event.kind;
    sent.detail = event.detail;
    return sent;
}

} // namespace

void ProcessTimeline::start(const InstanceId &instance)
{
    const std::lock_guard lock(log().mutex);
    log().timeline = Timeline(instance, Process::incarnation(), capacity);
    log().timeline.record(log().clock.tick(wallMicros()), TimelineEventKind::Started, {}, {});
}

void ProcessTimeline::record(TimelineEventKind kind, const RequestId &request,
                             const std::string &detail)
{
    const std::int64_t wall = wallMicros();
    const std::lock_guard lock(log().mutex);
    log().timeline.record(log().clock.tick(wall), kind, request, detail);
}

wire::HybridTime ProcessTimeline::nextTimestamp()
{
    const std::int64_t wall = wallMicros();
    const std::lock_guard lock(log().mutex);
    return toWire(log().clock.tick(wall));
}

void ProcessTimeline::mergeTimestamp(const wire::HybridTime &time)
{
    const std::lock_guard lock(log().mutex);
    log().clock.receive(hybridTimeFrom(time));
}

std::vector<TimelineEvent> ProcessTimeline::events(const RequestId &requestId, std::size_t limit)
{
    const std::lock_guard lock(log().mutex);
    return log().timeline.events(requestId, limit);
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
