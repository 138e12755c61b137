#ifndef QUETZALYOKE_ADAPTERS_PROCESSTIMELINE_H
#define QUETZALYOKE_ADAPTERS_PROCESSTIMELINE_H

#include "Core/Requests/Timeline.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The process's time line and hybrid logical clock. Thread-safe; takes no other lock.
///
/// Every message between processes carries nextTimestamp(), and its receiver calls mergeTimestamp()
/// before it acts on it: then an event that another one caused is never shown before it.
class ProcessTimeline
{
public:
    /// Names the process; before that, events are kept without a name.
    static void start(const InstanceId &instance);

    /// Keeps an event. \a detail must hold no key and nothing of a body.
    static void record(TimelineEventKind kind, const RequestId &request = {},
                       const std::string &detail = {});
    /// Reading for a message to send.
    static wire::HybridTime nextTimestamp();
    /// Takes the reading that came with a message; one without a reading changes nothing.
    static void mergeTimestamp(const wire::HybridTime &time);

    /// Latest events in causal order; only those of \a requestId unless it is empty.
    static std::vector<TimelineEvent> events(const RequestId &requestId, std::size_t limit);
    /// The same as a door answers them, with at most \a limit events.
    static void events(std::vector<wire::TimelineEvent> &events, const std::string &requestId,
                       std::int32_t limit);
    static TimelineEvent fromWire(const wire::TimelineEvent &event);
};

} // namespace quetzalyoke

#endif
