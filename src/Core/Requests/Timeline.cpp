#include "Core/Requests/Timeline.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace quetzalyoke {

namespace {

auto causalOrderKey(const TimelineEvent &event)
{
    return std::tie(event.time, event.instance, event.incarnation, event.sequence);
}

bool isBefore(const TimelineEvent &a, const TimelineEvent &b)
{
    return causalOrderKey(a) < causalOrderKey(b);
}

// Replaces control characters: a line break would make one event look like two in the text output.
std::string sanitizedDetail(const std::string &text)
{
    std::string detail = text.substr(0, Timeline::maximumDetailLength);
    std::replace_if(
        detail.begin(), detail.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; },
        ' ');
    return detail;
}

} // namespace

std::string timelineEventKindText(TimelineEventKind kind)
{
    switch (kind) {
    case TimelineEventKind::Started:
        return "started";
    case TimelineEventKind::Draining:
        return "draining";
    case TimelineEventKind::Stopped:
        return "stopped";
    case TimelineEventKind::RequestAdmitted:
        return "request-admitted";
    case TimelineEventKind::RequestRefused:
        return "request-refused";
    case TimelineEventKind::RequestSubmitted:
        return "request-submitted";
    case TimelineEventKind::RequestRetried:
        return "request-retried";
    case TimelineEventKind::RequestCompleted:
        return "request-completed";
    case TimelineEventKind::RequestBroken:
        return "request-broken";
    case TimelineEventKind::KeyGranted:
        return "key-granted";
    case TimelineEventKind::KeyWithdrawn:
        return "key-withdrawn";
    case TimelineEventKind::ConfigurationInForce:
        return "configuration-in-force";
    case TimelineEventKind::TableLost:
        return "table-lost";
    case TimelineEventKind::TableReached:
        return "table-reached";
    case TimelineEventKind::PeerLost:
        return "peer-lost";
    case TimelineEventKind::PeerReached:
        return "peer-reached";
    case TimelineEventKind::AttemptQueued:
        return "attempt-queued";
    case TimelineEventKind::AttemptStarted:
        return "attempt-started";
    case TimelineEventKind::AttemptFinished:
        return "attempt-finished";
    case TimelineEventKind::AttemptFailed:
        return "attempt-failed";
    case TimelineEventKind::AttemptCancelled:
        return "attempt-cancelled";
    case TimelineEventKind::PlanTaken:
        return "plan-taken";
    case TimelineEventKind::LoadOrdered:
        return "load-ordered";
    case TimelineEventKind::UnloadOrdered:
        return "unload-ordered";
    case TimelineEventKind::OrderFailed:
        return "order-failed";
    }
    return "unknown";
}

Timeline::Timeline(InstanceId instance, Incarnation incarnation, std::size_t capacity)
    : m_instance(std::move(instance)), m_incarnation(incarnation), m_capacity(capacity)
{ }

void Timeline::record(HybridTime time, TimelineEventKind kind, const RequestId &request,
                      const std::string &detail)
{
    std::deque<TimelineEvent> &ring = request.isEmpty() ? m_stateEvents : m_requestEvents;
    if (ring.size() >= m_capacity && !ring.empty())
        ring.pop_front();
    ring.push_back({time, ++m_sequence, m_instance, m_incarnation, request,
                    timelineEventKindText(kind), sanitizedDetail(detail)});
}

std::vector<TimelineEvent> Timeline::events(const RequestId &request, std::size_t limit) const
{
    std::vector<TimelineEvent> found;
    for (const std::deque<TimelineEvent> *ring : {&m_requestEvents, &m_stateEvents}) {
        std::copy_if(ring->begin(), ring->end(), std::back_inserter(found),
                     [&request](const TimelineEvent &it) {
                         return request.isEmpty() || it.request == request;
                     });
    }
    std::sort(found.begin(), found.end(), isBefore);
    if (found.size() > limit)
        found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(limit));
    return found;
}

std::vector<TimelineEvent> mergeTimelineEvents(std::vector<TimelineEvent> events)
{
    std::sort(events.begin(), events.end(), isBefore);
    const auto end = std::unique(events.begin(), events.end(),
                                 [](const TimelineEvent &a, const TimelineEvent &b) {
                                     return causalOrderKey(a) == causalOrderKey(b);
                                 });
    events.erase(end, events.end());
    return events;
}

} // namespace quetzalyoke
