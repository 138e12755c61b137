#ifndef QUETZALYOKE_TEST_SPENDINGRECORD_H
#define QUETZALYOKE_TEST_SPENDINGRECORD_H

#include "Core/StrongTypes.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quetzalyoke {

/// \brief Records what all gateways of a test have spent of one account, in order of time.
class SpendingRecord
{
public:
    void add(Instant at, double cost) { m_spent.emplace_back(at, cost); }

    /// Returns the maximum spent in any window of \a length.
    double maximumInWindow(Duration length) const
    {
        double maximum = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto &[at, cost] : m_spent) {
            sum += cost;
            while (m_spent[first].first + length <= at)
                sum -= m_spent[first++].second;
            maximum = std::max(maximum, sum);
        }
        return maximum;
    }
    double total() const
    {
        double sum = 0;
        for (const auto &[at, cost] : m_spent)
            sum += cost;
        return sum;
    }

private:
    std::vector<std::pair<Instant, double>> m_spent;
};

} // namespace quetzalyoke

#endif
