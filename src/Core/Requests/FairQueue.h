#ifndef QUETZALYOKE_CORE_REQUESTS_FAIRQUEUE_H
#define QUETZALYOKE_CORE_REQUESTS_FAIRQUEUE_H

#include "Core/Requests/AttemptQueue.h"

#include <map>
#include <set>

namespace quetzalyoke {

/// \brief Start-time fair queueing by account, weighted by tokens, within a priority.
///
/// While two accounts both have waiting attempts, the tokens dispatched for one differ from those
/// of the other by at most one attempt of each. An account gains no credit while it is idle. The
/// caller drops attempts whose deadline has passed.
class FairQueue : public AttemptQueue
{
public:
    void push(const QueuedAttempt &attempt) override;
    std::optional<QueuedAttempt> pop(Instant now) override;
    std::size_t size() const override { return m_size; }

private:
    // Virtual time is measured in tokens of one account.
    struct WaitingAttempt
    {
        std::int64_t startTime = 0; // virtual time
        std::uint64_t arrival = 0; // breaks ties
        QueuedAttempt attempt;

        bool operator<(const WaitingAttempt &other) const
        {
            return std::pair(startTime, arrival) < std::pair(other.startTime, other.arrival);
        }
    };

    // The attempts of one priority.
    struct PriorityLevel
    {
        std::set<WaitingAttempt> waiting;
        std::map<AccountId, std::int64_t> finishTimes; // of each account's last attempt
        std::int64_t virtualTime = 0;
    };

    std::map<int, PriorityLevel> m_levels;
    std::uint64_t m_arrivalCount = 0;
    std::size_t m_size = 0;
};

} // namespace quetzalyoke

#endif
