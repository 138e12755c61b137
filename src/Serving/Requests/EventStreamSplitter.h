#ifndef QUETZALYOKE_SERVING_REQUESTS_EVENTSTREAMSPLITTER_H
#define QUETZALYOKE_SERVING_REQUESTS_EVENTSTREAMSPLITTER_H

#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Splits an event stream at the ends of its events.
class EventStreamSplitter
{
public:
    /// Default size limit of one event. An event with a few tokens takes some hundred bytes.
    static constexpr std::size_t maxEventBytes = 1'048'576;

    /// An event of more than \a eventBytesLimit bytes is dropped, \sa isEventTooLarge().
    explicit EventStreamSplitter(std::size_t eventBytesLimit = maxEventBytes)
        : m_eventBytesLimit(eventBytesLimit)
    { }

    /// Adds \a data, which may end anywhere, and returns the events that are now complete.
    std::string extractEvents(std::string_view data);
    /// Returns the id of the last returned event that had one; empty if none had.
    const std::string &lastEventId() const { return m_lastEventId; }
    /// Returns whether an event has begun that is not complete yet.
    bool isInsideEvent() const;
    /// Returns the bytes that follow the last complete event.
    const std::string &remainder() const { return m_buffer; }
    /// Drops the incomplete event, so that another stream can be continued.
    void dropIncompleteEvent();
    /// Returns whether the incomplete event exceeded the limit; further data is then ignored.
    bool isEventTooLarge() const { return m_isEventTooLarge; }
    std::size_t eventCount() const { return m_eventCount; }

private:
    void scanEvents(std::string_view events);

    const std::size_t m_eventBytesLimit;
    bool m_isEventTooLarge = false;
    std::string m_buffer;
    std::string m_lastEventId;
    std::size_t m_eventCount = 0;
};

} // namespace quetzalyoke

#endif
