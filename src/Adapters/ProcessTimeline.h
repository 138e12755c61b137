#ifndef QUETZALYOKE_ADAPTERS_PROCESSTIMELINE_H
#define QUETZALYOKE_ADAPTERS_PROCESSTIMELINE_H

#include "Core/Requests/Timeline.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The timeline and hybrid logical clock of this process. Thread-safe; locks no other mutex.
///
/// Every message between processes carries nextTimestamp(), and its receiver calls mergeTimestamp()
/// before it acts on the message, so that an effect is never listed before its cause.
class ProcessTimeline
{
public:
    /// Sets the instance that events are recorded for and records the start.
    static void start(const InstanceId &instance);

    /// Records an event. \a detail must not contain API keys or any part of a request's or
    /// response's body.
    static void record(TimelineEventKind kind, const RequestId &request = {},
                       const std::string &detail = {});
    /// Advances the clock and returns the timestamp for a message to send.
    static wire::HybridTime nextTimestamp();
    /// Merges the timestamp of a received message into the clock; an unset one changes nothing.
    static void mergeTimestamp(const wire::HybridTime &time);

    /// Returns the latest events in causal order, at most \a limit; only those of \a requestId
    /// unless it is empty.
    static std::vector<TimelineEvent> events(const RequestId &requestId, std::size_t limit);
    /// Appends the same events to \a events in the form of the Thrift interface.
    static void events(std::vector<wire::TimelineEvent> &events, const std::string &requestId,
                       std::int32_t limit);
    static TimelineEvent fromWire(const wire::TimelineEvent &event);
};

} // namespace quetzalyoke

#endif
