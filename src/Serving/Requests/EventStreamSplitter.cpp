#include "Serving/Requests/EventStreamSplitter.h"

#include "Core/ExternalText.h"

namespace quetzalyoke {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view eventEndCrLf = "\r\n\r\n";
constexpr std::string_view idField = "id:";

// An id becomes a header; servers accept headers of some kilobytes.
constexpr std::size_t maxEventIdBytes = 4096;

// Returns the position after the last event that ends in \a text, 0 if none does. The first
// \a searchedBytes bytes are known to contain no end of an event.
std::size_t endOfLastEvent(std::string_view text, std::size_t searchedBytes)
{
    std::size_t end = 0;
    for (const std::string_view separator : {eventEnd, eventEndCrLf}) {
        const std::size_t from = searchedBytes - std::min(searchedBytes, separator.size() - 1);
        if (const auto at = text.substr(from).rfind(separator); at != std::string_view::npos)
            end = std::max(end, from + at + separator.size());
    }
    return end;
}

} // namespace

std::string EventStreamSplitter::extractEvents(std::string_view data)
{
    if (m_isEventTooLarge)
        return {};
    const std::size_t searchedBytes = m_buffer.size();
    m_buffer.append(data);
    const std::size_t end = endOfLastEvent(m_buffer, searchedBytes);
    std::string events = m_buffer.substr(0, end);
    m_buffer.erase(0, end);
    if (m_buffer.size() > m_eventBytesLimit) {
        m_isEventTooLarge = true;
        std::string().swap(m_buffer);
    }
    scanEvents(events);
    return events;
}

bool EventStreamSplitter::isInsideEvent() const
{
    return m_isEventTooLarge || m_buffer.find_first_not_of("\r\n") != std::string::npos;
}

void EventStreamSplitter::dropIncompleteEvent()
{
    m_buffer.clear();
    m_isEventTooLarge = false;
}

void EventStreamSplitter::scanEvents(std::string_view events)
{
    while (!events.empty()) {
        const auto newline = events.find('\n');
        std::string_view line = events.substr(0, newline);
        events
            = newline == std::string_view::npos ? std::string_view() : events.substr(newline + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty()) {
            ++m_eventCount;
            continue;
        }
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        // Without a usable id the stream isn't continued elsewhere: after an earlier id, events
        // would come twice.
        m_lastEventId = isExternalName(line, maxEventIdBytes) ? std::string(line) : std::string();
    }
}

} // namespace quetzalyoke
