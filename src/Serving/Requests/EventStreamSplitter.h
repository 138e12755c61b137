#ifndef QUETZALYOKE_SERVING_REQUESTS_EVENTSTREAMSPLITTER_H
#define QUETZALYOKE_SERVING_REQUESTS_EVENTSTREAMSPLITTER_H

#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Splits an event stream at the ends of its events.
class EventStreamSplitter
{
public:
    /// Of one event; a token or a few take some hundred bytes.
    static constexpr std::size_t maxEventBytes = 1'048'576;

    /// An event of more than \a mostBytes is not kept, \sa isOverlong().
    explicit EventStreamSplitter(std::size_t mostBytes = maxEventBytes)
        : m_eventBytesLimit(mostBytes)
    { }

    /// Takes bytes in any pieces; returns what is complete and not yet returned.
    std::string extractEvents(std::string_view data);
    /// The id of the last event returned; empty: none had one.
    const std::string &lastEventId() const { return m_lastEventId; }
    /// The start of an event whose end has not come.
    const std::string &incompleteEvent() const { return m_buffer; }
    /// Drops the unfinished event, to go on with another stream.
    void dropIncompleteEvent();
    /// Whether the unfinished event is beyond the bound; then nothing more is taken.
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
