#ifndef QUETZALYOKE_TEST_SHARESFLEET_H
#define QUETZALYOKE_TEST_SHARESFLEET_H

#include "Core/Accounts/AccountShares.h"
#include "Core/Accounts/SharePlanner.h"
#include "Core/State/ClusterView.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke::test {

using namespace std::chrono_literals;

inline const AccountId testAccount("stable");
inline constexpr TokensPerSecond testRate(100);
inline constexpr Tokens testBurst(200);
inline constexpr int keyCount = 4;

inline std::string keyRowName(int key)
{
    return std::string(StateCache::rowKeyPrefix) + "key/" + std::to_string(key);
}

inline std::string keyRowValue(int key, bool withdrawn)
{
    return ApiKeyRow{ApiKeyId(std::to_string(key)), testAccount, "hash", withdrawn}.toJson();
}

/// \brief Linearizable in-memory table that can be made unavailable.
struct SimulatedTable
{
    std::map<std::string, StateRow> rows;
    Version version;
    bool isUnavailable = false;

    std::vector<StateRow> rowsAfter(Version knownVersion) const
    {
        std::vector<StateRow> newerRows;
        for (const auto &[key, row] : rows) {
            if (row.version > knownVersion)
                newerRows.push_back(row);
        }
        return newerRows;
    }
    std::optional<Version> commit(const ConditionalWrite &write)
    {
        const auto it = rows.find(write.key);
        if (write.expected.value() != (it == rows.end() ? Version() : it->second.version))
            return std::nullopt;
        version += Version(1);
        rows[write.key] = {write.key, *write.value, version};
        return version;
    }
};

/// \brief The cluster view and shares of one gateway, combined as in the gateway program.
struct SimulatedGateway
{
    SimulatedGateway(int number, int incarnation, const ConsistencyTimeouts &timeouts,
                     SharePolicy policy)
        : view(MemberRow{InstanceId("g" + std::to_string(number)),
                         Incarnation(incarnation),
                         "",
                         "",
                         ZoneName("zone-a"),
                         0,
                         {},
                         false},
               timeouts),
          shares(view.instance(), view.incarnation()), planner(policy)
    { }

    void applyShares(Instant now)
    {
        for (const auto &[id, observed] : view.shareRows())
            shares.applyRow(id, observed.row, observed.version, now);
        shares.setFreshUntil(view.freshUntil(now));
    }

    ClusterView view;
    AccountShares shares;
    SharePlanner planner;
    Version appliedConfiguration; // newest version that the gateway has applied
};

/// \brief Parameters of a simulation.
struct SimulationSettings
{
    ConsistencyTimeouts timeouts{500ms, 4s, 100ms, 1300ms};
    SharePolicy policy = SharePolicy::Demand;
    Duration duration = 12s;
    bool injectFaults = true;
    int gatewayCount = 3;
};

} // namespace quetzalyoke::test

#endif
