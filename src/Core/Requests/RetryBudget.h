#ifndef QUETZALYOKE_CORE_REQUESTS_RETRYBUDGET_H
#define QUETZALYOKE_CORE_REQUESTS_RETRYBUDGET_H

#include <algorithm>

namespace quetzalyoke {

/// \brief Limits retries to a fraction of the requests, so that they can't amplify an overload.
class RetryBudget
{
public:
    /// Each request adds \a retriesPerRequest to the budget, which holds at most \a reserve retries
    /// and starts full.
    RetryBudget(double retriesPerRequest, double reserve)
        : m_retriesPerRequest(retriesPerRequest), m_reserve(reserve), m_available(reserve)
    { }

    /// Changes the maximum number of retries in the budget.
    void setReserve(double reserve)
    {
        m_reserve = reserve;
        m_available = std::min(m_available, reserve);
    }
    /// Adds one request's part to the budget.
    void onRequest() { m_available = std::min(m_reserve, m_available + m_retriesPerRequest); }

    /// Takes one retry from the budget. Returns false if less than one is left.
    bool tryConsumeRetry()
    {
        if (m_available < 1)
            return false;
        m_available -= 1;
        return true;
    }

private:
    double m_retriesPerRequest;
    double m_reserve;
    double m_available;
};

} // namespace quetzalyoke

#endif
