#ifndef QUETZALYOKE_SERVING_REQUESTS_EVENTSCANNER_H
#define QUETZALYOKE_SERVING_REQUESTS_EVENTSCANNER_H

#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Splits an event stream at the ends of its events.
class EventScanner
{
public:
    /// Takes bytes in any pieces; returns what is complete and not yet returned.
    std::string take(std::string_view data);
    /// The id of the last event returned; empty: none had one.
    const std::string &lastId() const { return m_lastId; }
    /// The start of an event whose end has not come.
    const std::string &rest() const { return m_buffer; }
    /// Drops the unfinished event, to go on with another stream.
    void dropRest() { m_buffer.clear(); }
    std::size_t events() const { return m_events; }

private:
    void noteIds(std::string_view events);

    std::string m_buffer;
    std::string m_lastId;
    std::size_t m_events = 0;
};

} // namespace quetzalyoke

#endif
