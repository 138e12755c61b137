#ifndef QUETZALYOKE_STANDINS_ENGINE_VALUEHISTORY_H
#define QUETZALYOKE_STANDINS_ENGINE_VALUEHISTORY_H

#include "Core/StrongTypes.h"

#include <deque>
#include <utility>

namespace quetzalyoke::standins {

/// \brief Past values of a quantity that is reported with a lag. Not thread-safe.
template<typename Value>
class ValueHistory
{
public:
    void add(Value value, Instant now)
    {
        m_values.push_back({now, std::move(value)});
        while (m_values.size() > maximumValues)
            m_values.pop_front();
    }

    /// Returns the value that was current at \a time, or the oldest known one.
    Value valueAt(Instant time) const
    {
        Value found = m_values.empty() ? Value() : m_values.front().second;
        for (const auto &[since, value] : m_values) {
            if (since <= time)
                found = value;
        }
        return found;
    }

private:
    static constexpr std::size_t maximumValues = 4096;

    std::deque<std::pair<Instant, Value>> m_values;
};

} // namespace quetzalyoke::standins

#endif
