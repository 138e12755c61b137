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
    RequestSubmitted, ///< One attempt was sent to an agent.
    RequestRetried,
    RequestCompleted,
    RequestBroken, ///< The answer ended before it was whole.
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

/// Name of \a kind as operators see it, for example "request-admitted".
std::string timelineEventKindText(TimelineEventKind kind);

/// \brief Something that happened in one process. Never holds a key or a body.
struct TimelineEvent
{
    HybridTime time;
    std::int64_t sequence = 0; ///< Rises within an incarnation.
    InstanceId instance;
    Incarnation incarnation;
    RequestId request; ///< Empty where the event is no request's.
    std::string kind; ///< timelineEventKindText(), or one that a newer process sends.
    std::string detail;
};

/// \brief The latest events of one process, in bounded memory.
///
/// Events of requests and changes of state are kept apart, so that traffic does not push out why
/// the table was lost.
class Timeline
{
public:
    static constexpr std::size_t maximumDetailLength = 200;

    /// Keeps \a capacity events of requests and as many others.
    Timeline(InstanceId instance, Incarnation incarnation, std::size_t capacity);

    void record(HybridTime time, TimelineEventKind kind, const RequestId &request,
                const std::string &detail);
    /// The newest \a limit events in causal order; only those of \a request unless it is empty.
    std::vector<TimelineEvent> events(const RequestId &request, std::size_t limit) const;

private:
    InstanceId m_instance;
    Incarnation m_incarnation;
    std::size_t m_capacity;
    std::int64_t m_sequence = 0;
    std::deque<TimelineEvent> m_requests;
    std::deque<TimelineEvent> m_changes;
};

/// Puts the events of several processes in causal order; one that came twice is kept once.
std::vector<TimelineEvent> mergeTimelineEvents(std::vector<TimelineEvent> events);

} // namespace quetzalyoke

#endif
