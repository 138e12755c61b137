#ifndef QUETZALYOKE_CORE_REQUESTS_TIMELINE_H
#define QUETZALYOKE_CORE_REQUESTS_TIMELINE_H

#include "Core/State/HybridClock.h"
#include "Core/StrongTypes.h"

#include <deque>
#include <string>
#include <vector>

namespace quetzalyoke {

enum class TimelineEventKind {
    Started,
    Draining,
    Stopped,
    RequestAdmitted,
    RequestRefused,
    RequestSubmitted, ///< An attempt was sent to an agent.
    RequestRetried,
    RequestCompleted,
    RequestBroken, ///< The response ended before it was complete.
    KeyGranted,
    KeyWithdrawn,
    ConfigurationInForce,
    TableLost,
    TableReached,
    PeerLost,
    PeerReached,
    AttemptQueued,
    AttemptStarted,
    AttemptFinished,
    AttemptFailed,
    AttemptCancelled,
    PlanTaken,
    LoadOrdered,
    UnloadOrdered,
    OrderFailed,
};

/// Returns the name of \a kind as operators see it, for example "request-admitted".
std::string timelineEventKindText(TimelineEventKind kind);

/// \brief An event in one process. Never contains an API key or a body.
struct TimelineEvent
{
    HybridTime time;
    std::int64_t sequence = 0; ///< Rises within an incarnation.
    InstanceId instance;
    Incarnation incarnation;
    RequestId request; ///< Empty if the event belongs to no request.
    std::string kind; ///< A timelineEventKindText(), or an unknown kind from a newer process.
    std::string detail;
};

/// \brief The latest events of one process, in bounded memory.
///
/// Request events and state events are stored separately, so that request traffic does not evict
/// events such as the loss of the table.
class Timeline
{
public:
    /// Longer details are truncated.
    static constexpr std::size_t maximumDetailLength = 200;

    /// Keeps at most \a capacity request events and as many state events.
    Timeline(InstanceId instance, Incarnation incarnation, std::size_t capacity);

    /// Records an event; it is a state event if \a request is empty.
    void record(HybridTime time, TimelineEventKind kind, const RequestId &request,
                const std::string &detail);
    /// Returns the newest \a limit events in causal order; only those of \a request unless it is
    /// empty.
    std::vector<TimelineEvent> events(const RequestId &request, std::size_t limit) const;

private:
    InstanceId m_instance;
    Incarnation m_incarnation;
    std::size_t m_capacity;
    std::int64_t m_sequence = 0;
    std::deque<TimelineEvent> m_requestEvents;
    std::deque<TimelineEvent> m_stateEvents;
};

/// Returns the events of several processes in causal order, without duplicates.
std::vector<TimelineEvent> mergeTimelineEvents(std::vector<TimelineEvent> events);

} // namespace quetzalyoke

#endif
