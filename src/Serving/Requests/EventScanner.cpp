#include "Serving/Requests/EventScanner.h"

namespace quetzalyoke {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view eventEndCrLf = "\r\n\r\n";
constexpr std::string_view idField = "id:";

std::size_t endOfLastEvent(std::string_view text)
{
    std::size_t end = 0;
    if (const auto at = text.rfind(eventEnd); at != std::string_view::npos)
        end = at + eventEnd.size();
    if (const auto at = text.rfind(eventEndCrLf); at != std::string_view::npos)
        end = std::max(end, at + eventEndCrLf.size());
    return end;
}

} // namespace

std::string EventScanner::take(std::string_view data)
{
    m_buffer.append(data);
    const std::size_t end = endOfLastEvent(m_buffer);
    if (end == 0)
        return {};
    std::string events = m_buffer.substr(0, end);
    m_buffer.erase(0, end);
    noteIds(events);
    return events;
}

void EventScanner::noteIds(std::string_view events)
{
    while (!events.empty()) {
        const auto newline = events.find('\n');
        std::string_view line = events.substr(0, newline);
        events
            = newline == std::string_view::npos ? std::string_view() : events.substr(newline + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty()) {
            ++m_events;
            continue;
        }
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        m_lastId = std::string(line);
    }
}

} // namespace quetzalyoke
