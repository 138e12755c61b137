#ifndef QUETZALYOKE_CORE_REQUESTS_RETRYBUDGET_H
#define QUETZALYOKE_CORE_REQUESTS_RETRYBUDGET_H

#include <algorithm>

namespace quetzalyoke {

/// \brief Bounds retries to a share of the requests, so that they can't multiply an overload.
class RetryBudget
{
public:
    /// Each request earns \a share of a retry; at most \a reserve retries are saved up.
    RetryBudget(double share, double reserve) : m_share(share), m_reserve(reserve), m_saved(reserve)
    { }

    /// Changes the retries that may be saved up.
    void setReserve(double reserve)
    {
        m_reserve = reserve;
        m_saved = std::min(m_saved, reserve);
    }
    void onRequest() { m_saved = std::min(m_reserve, m_saved + m_share); }

    /// Takes one retry; false where the budget is spent.
    bool tryConsumeRetry()
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_share;
    double m_reserve;
    double m_saved;
};

} // namespace quetzalyoke

#endif
