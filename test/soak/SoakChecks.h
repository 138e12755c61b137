#ifndef QUETZALYOKE_SOAK_SOAKCHECKS_H
#define QUETZALYOKE_SOAK_SOAKCHECKS_H

#include "Core/StrongTypes.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke::soak {

/// \brief What must hold, from what callers and backend servers see.
class SoakChecks
{
public:
    static constexpr int eventsPerStream = 12;
    static std::string eventText(const std::string &id, int event);
    static std::string expectedBody(const std::string &id, bool isStream);

    struct Limits
    {
        Duration holderChangeInterval = std::chrono::milliseconds(3000);
        Duration keyWithdrawalGrace = std::chrono::seconds(8); ///< The store may be away meanwhile.
        Duration leavingGrace = std::chrono::milliseconds(2500);
        double loadsPerSecond = 2;
        double tokensPerSecond = 0; ///< Of each account.
        double tokensBurst = 0;
        double tokensSlack = 0;
    };

    explicit SoakChecks(const Limits &limits) : m_limits(limits) { }

    // What callers do and see.
    void onSent(const std::string &id, const std::string &gateway, const std::string &account,
                const std::string &key, bool mayRepeat, double tokens);
    void onRefused(const std::string &id, int status);
    void onResponse(const std::string &id, int status, const std::string &body, bool isStream,
                    bool isSigned);
    /// Its connection ended without a whole answer.
    void onIncompleteResponse(const std::string &id);
    /// From now on nothing happens but planned stops, so no request that runs may be lost.
    void beginPlannedStops();
    /// Every request has had its time.
    void checkAllEnded();
    // What the operators do.
    void onKeyWithdrawn(const std::string &key);
    // What backend servers see.
    void onRun(const std::string &server, const std::string &id, const std::string &account,
               const std::string &key, const std::string &body);
    void onOrder(const std::string &server, const std::string &holder, std::int64_t fencing);
    void onModelLoad();
    void onMemoryAllocated(const std::string &server, std::size_t models, int modelSlots,
                           std::size_t adapters, int adapterSlots);
    void onServerRestarted(const std::string &server);
    void onLeaving(const std::string &server);
    /// From now on \a gateway can't be held to bounds in time.
    void onGatewayFault(const std::string &gateway);
    void onFleetFault();

    void fail(const std::string &what);
    const std::vector<std::string> &failures() const { return m_failures; }

    int served = 0;
    int refused = 0;
    int runs = 0;

private:
    struct Request
    {
        std::string gateway;
        std::string account;
        std::string key;
        bool mayRepeat = false;
        double tokens = 0;
        int runs = 0;
        bool isRefused = false;
        Instant sentAt;
        bool isEnded = false;
    };
    struct LastOrder
    {
        std::string holder;
        std::int64_t fencingToken = 0;
        Instant at;
    };

    bool hadRecentFault(const std::string &gateway, Duration lately) const;

    const Limits m_limits;
    std::map<std::string, Request> m_requests;
    std::map<std::string, Instant> m_withdrawn;
    std::map<std::string, LastOrder> m_orders;
    std::map<std::string, Instant> m_leaving;
    std::map<std::string, Instant> m_disturbed;
    Instant m_allDisturbedAt;
    std::optional<Instant> m_onlyPlannedSince;
    std::deque<Instant> m_loads;
    std::map<std::string, std::deque<std::pair<Instant, double>>> m_spent;
    std::vector<std::string> m_failures;
};

} // namespace quetzalyoke::soak

#endif
