#include "Core/Requests/Timeline.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace quetzalyoke {

namespace {

auto orderOf(const Event &event)
{
    return std::tie(event.time, event.instance, event.incarnation, event.sequence);
}

bool isBefore(const Event &a, const Event &b)
{
    return orderOf(a) < orderOf(b);
}

// Line breaks would let one event pass for two in the text form.
std::string printable(const std::string &text)
{
    std::string detail = text.substr(0, Timeline::maximumDetailLength);
    std::replace_if(
        detail.begin(), detail.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; },
        ' ');
    return detail;
}

} // namespace

std::string eventKindText(EventKind kind)
{
    switch (kind) {
    case EventKind::Started:
        return "started";
    case EventKind::Draining:
        return "draining";
    case EventKind::Stopped:
        return "stopped";
    case EventKind::RequestAdmitted:
        return "request-admitted";
    case EventKind::RequestRefused:
        return "request-refused";
    case EventKind::RequestSubmitted:
        return "request-submitted";
    case EventKind::RequestRetried:
        return "request-retried";
    case EventKind::RequestCompleted:
        return "request-completed";
    case EventKind::RequestBroken:
        return "request-broken";
    case EventKind::KeyGranted:
        return "key-granted";
    case EventKind::KeyWithdrawn:
        return "key-withdrawn";
    case EventKind::ConfigurationInForce:
        return "configuration-in-force";
    case EventKind::TableLost:
        return "table-lost";
    case EventKind::TableReached:
        return "table-reached";
    case EventKind::PeerLost:
        return "peer-lost";
    case EventKind::PeerReached:
        return "peer-reached";
    case EventKind::AttemptQueued:
        return "attempt-queued";
    case EventKind::AttemptStarted:
        return "attempt-started";
    case EventKind::AttemptFinished:
        return "attempt-finished";
    case EventKind::AttemptFailed:
        return "attempt-failed";
    case EventKind::AttemptCancelled:
        return "attempt-cancelled";
    case EventKind::PlanTaken:
        return "plan-taken";
    case EventKind::LoadOrdered:
        return "load-ordered";
    case EventKind::UnloadOrdered:
        return "unload-ordered";
    case EventKind::OrderFailed:
        return "order-failed";
    }
    return "unknown";
}

Timeline::Timeline(InstanceId instance, Incarnation incarnation, std::size_t capacity)
    : m_instance(std::move(instance)), m_incarnation(incarnation), m_capacity(capacity)
{ }

void Timeline::record(HybridTime time, EventKind kind, const RequestId &request,
                      const std::string &detail)
{
    std::deque<Event> &ring = request.isEmpty() ? m_changes : m_requests;
    if (ring.size() >= m_capacity && !ring.empty())
        ring.pop_front();
    ring.push_back({time, ++m_sequence, m_instance, m_incarnation, request, eventKindText(kind),
                    printable(detail)});
}

std::vector<Event> Timeline::events(const RequestId &request, std::size_t limit) const
{
    std::vector<Event> found;
    for (const std::deque<Event> *ring : {&m_requests, &m_changes}) {
        std::copy_if(
            ring->begin(), ring->end(), std::back_inserter(found),
            [&request](const Event &it) { return request.isEmpty() || it.request == request; });
    }
    std::sort(found.begin(), found.end(), isBefore);
    if (found.size() > limit)
        found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(limit));
    return found;
}

std::vector<Event> mergeEvents(std::vector<Event> events)
{
    std::sort(events.begin(), events.end(), isBefore);
    const auto end = std::unique(events.begin(), events.end(), [](const Event &a, const Event &b) {
        return orderOf(a) == orderOf(b);
    });
    events.erase(end, events.end());
    return events;
}

} // namespace quetzalyoke
