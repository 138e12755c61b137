#ifndef QUETZALYOKE_CORE_REQUESTS_RETRYBUDGET_H
#define QUETZALYOKE_CORE_REQUESTS_RETRYBUDGET_H

#include <algorithm>

namespace quetzalyoke {

/// \brief Limits retries to a fraction of the requests, so that they can't amplify an overload.
class RetryBudget
{
public:
    /// Each request adds \a retriesPerRequest to the budget, which holds at most \a reserve
    /// retries. It starts with \a available retries: none if an earlier incarnation may have just
    /// used the reserve.
    RetryBudget(double retriesPerRequest, double reserve, double available = 0)
        : m_retriesPerRequest(retriesPerRequest), m_reserve(reserve), m_available(available)
    { }

    /// Changes the maximum number of retries in the budget.
    void setReserve(double reserve)
    {
        m_reserve = reserve;
        m_available = std::min(m_available, reserve);
    }
    /// Adds one request's part to the budget. It is kept even if the reserve is smaller.
    void onRequest() { m_available = std::min(m_reserve, m_available) + m_retriesPerRequest; }

    /// Takes one retry from the budget. Less than one retry is taken as a whole with that
    /// probability, by a \a random number in [0, 1): one of hundreds of gateways never holds more.
    bool tryConsumeRetry(double random)
    {
        if (random >= m_available)
            return false;
        m_available -= 1;
        return true;
    }

private:
    double m_retriesPerRequest;
    double m_reserve;
    double m_available; // negative after a retry that was more than the rest
};

} // namespace quetzalyoke

#endif
