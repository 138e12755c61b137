#ifndef QUETZALYOKE_CORE_REQUESTS_FAIRQUEUE_H
#define QUETZALYOKE_CORE_REQUESTS_FAIRQUEUE_H

#include "Core/Requests/AttemptQueue.h"

#include <map>
#include <set>

namespace quetzalyoke {

/// \brief Start-time fair queueing by account, weighted by tokens, within a priority.
///
/// While two accounts both wait, the tokens that have been let through for one differ from the
/// other's by at most one attempt of each. An account that was idle gains no credit by it.
/// Attempts whose deadline has passed are for the caller to drop.
class FairQueue : public AttemptQueue
{
public:
    void push(const QueuedAttempt &attempt) override;
    std::optional<QueuedAttempt> pop(Instant now) override;
    std::size_t size() const override { return m_size; }

private:
    // Virtual time counts tokens of one account.
    struct Waiting
    {
        std::int64_t start = 0; // virtual time
        std::uint64_t arrival = 0;
        QueuedAttempt attempt;

        bool operator<(const Waiting &other) const
        {
            return std::pair(start, arrival) < std::pair(other.start, other.arrival);
        }
    };

    // The attempts of one priority.
    struct PriorityLevel
    {
        std::set<Waiting> waiting;
        std::map<AccountId, std::int64_t>
            finishTimes; // virtual time of each account's last attempt
        std::int64_t virtualTime = 0; // virtual time
    };

    std::map<int, PriorityLevel> m_levels;
    std::uint64_t m_arrivals = 0;
    std::size_t m_size = 0;
};

} // namespace quetzalyoke

#endif
