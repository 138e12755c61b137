#ifndef QUETZALYOKE_SERVING_REQUESTS_REQUESTURGENCY_H
#define QUETZALYOKE_SERVING_REQUESTS_REQUESTURGENCY_H

#include "Core/StrongTypes.h"

#include <map>
#include <optional>

namespace quetzalyoke {

/// \brief What determines the place of a request among those that compete for room.
struct RequestUrgency
{
    ServiceName service;
    ModelName model;
    AccountId account; ///< Empty on public routes without a key.
    int priority = 0; ///< Of the account and the route; 0 is the most urgent.
    Instant arrivedAt;
    Duration objective{0}; ///< Latency objective of the route.
};

/// \brief Counts the waiting and running requests of each account.
class AccountWork
{
public:
    void add(const AccountId &account);
    void remove(const AccountId &account);
    /// Returns by how many times the mean of all accounts with requests the requests of \a account
    /// exceed that mean, at most 3; 0 without an account.
    double excess(const AccountId &account) const;

private:
    std::map<AccountId, int> m_requests;
    int m_total = 0;
};

/// \brief Place of a request in the order; the smaller comes first.
///
/// Priorities come first. A request gains one priority for every two objectives that it has waited,
/// so that less urgent work is not starved. Within a priority, requests that can still meet their
/// objective come before those that can't, and then the one with the least time left until its
/// objective. For an account with more than the mean work, this time counts as longer by the
/// excess, so that an account in a burst goes after the others.
struct UrgencyRank
{
    int priority = 0;
    bool isLate = false;
    Instant objectiveAt;

    auto operator<=>(const UrgencyRank &) const = default;
};

UrgencyRank urgencyRank(const RequestUrgency &urgency, const AccountWork &work, Instant now);

/// \brief Knows which classes of requests have lately arrived for each service; no I/O.
class RecentUrgencies
{
public:
    void record(const RequestUrgency &urgency, Instant now);
    /// Returns the shortest latency objective of the more urgent classes that have lately arrived
    /// for the same service: those of a higher priority, or with a shorter objective at the same
    /// one.
    std::optional<Duration> moreUrgentObjective(const RequestUrgency &urgency, Instant now) const;
    /// Records that a request was refused because all servers of its model were busy.
    void recordShortage(const RequestUrgency &urgency, const AccountWork &work, Instant now);
    /// Returns AccountWork::excess() of the request's account if requests for the same model of
    /// accounts without excess have lately been refused; otherwise 0.
    double excessInShortage(const RequestUrgency &urgency, const AccountWork &work,
                            Instant now) const;
    /// Returns whether this has lately happened to a more urgent request for the same model.
    bool areMoreUrgentRefused(const RequestUrgency &urgency, Instant now) const;

private:
    using Class = std::pair<int, Duration>; // priority and objective
    using Pool = std::pair<ServiceName, ModelName>;
    std::map<ServiceName, std::map<Class, Instant>> m_lastArrivals;
    std::map<Pool, std::map<Class, Instant>> m_lastRefusals;
    std::map<Pool, Instant> m_lastRefusalsWithoutExcess;
};

} // namespace quetzalyoke

#endif
