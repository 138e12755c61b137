#ifndef QUETZALYOKE_SERVING_REQUESTS_EVENTSCANNER_H
#define QUETZALYOKE_SERVING_REQUESTS_EVENTSCANNER_H

#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief Splits an event stream at the ends of its events.
class EventScanner
{
public:
    /// Of one event; a token or a few take some hundred bytes.
    static constexpr std::size_t largestEvent = 1'048'576;

    /// An event of more than \a mostBytes is not kept, \sa isOverlong().
    explicit EventScanner(std::size_t mostBytes = largestEvent) : m_mostBytes(mostBytes) { }

    /// Takes bytes in any pieces; returns what is complete and not yet returned.
    std::string take(std::string_view data);
    /// The id of the last event returned; empty: none had one.
    const std::string &lastId() const { return m_lastId; }
    /// The start of an event whose end has not come.
    const std::string &rest() const { return m_buffer; }
    /// Drops the unfinished event, to go on with another stream.
    void dropRest();
    /// Whether the unfinished event is beyond the bound; then nothing more is taken.
    bool isOverlong() const { return m_isOverlong; }
    std::size_t events() const { return m_events; }

private:
    void noteIds(std::string_view events);

    const std::size_t m_mostBytes;
    bool m_isOverlong = false;
    std::string m_buffer;
    std::string m_lastId;
    std::size_t m_events = 0;
};

} // namespace quetzalyoke

#endif
