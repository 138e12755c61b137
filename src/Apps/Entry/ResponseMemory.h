#ifndef QUETZALYOKE_APPS_ENTRY_RESPONSEMEMORY_H
#define QUETZALYOKE_APPS_ENTRY_RESPONSEMEMORY_H

#include "Adapters/Async/FieldsMemory.h"
#include "Adapters/Async/ResourceCharge.h"

#include <string>

namespace quetzalyoke {

/// \brief Counts what one attempt holds: the copy of the request that is sent, and what of the
/// response has not been forwarded.
///
/// The functions that return a bool return whether the attempt may go on.
class ResponseMemory
{
public:
    /// Counts nothing.
    ResponseMemory() = default;
    explicit ResponseMemory(ResourceCharge requestCopy) : m_requestCopy(std::move(requestCopy)) { }

    /// Counts the header \a fields and its \a text for the caller.
    bool addHeader(const boost::beast::http::fields &fields, const std::string &text)
    {
        const std::size_t bytes = fieldsBytes(fields) + text.size();
        m_header = m_requestCopy.another(bytes);
        return mayHold(bytes);
    }
    /// Counts further \a bytes of the body.
    bool addBody(std::size_t bytes)
    {
        m_body.add(bytes);
        return mayHold(std::exchange(m_bodyBytes, m_bodyBytes + bytes));
    }
    /// Sets the size of a stream's incomplete event.
    bool setIncompleteEvent(std::size_t bytes)
    {
        m_incompleteEvent = m_requestCopy.another(bytes);
        return mayHold(bytes);
    }

private:
    // When the memory for requests is used up, only small responses are still completed.
    static constexpr std::size_t maxSmallBytes = 65'536;

    bool mayHold(std::size_t bytes) const
    {
        return bytes <= maxSmallBytes || !m_requestCopy.isTotalOverLimit();
    }

    ResourceCharge m_requestCopy;
    ResourceCharge m_header;
    ResourceCharge m_body = m_requestCopy.another(0);
    std::size_t m_bodyBytes = 0;
    ResourceCharge m_incompleteEvent;
};

} // namespace quetzalyoke

#endif
