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

/// \brief The platform's table: linearizable, may be out.
struct SimulatedTable
{
    std::map<std::string, StateRow> rows;
    Version version;
    bool isUnavailable = false;

    std::vector<StateRow> rowsAfter(Version known) const
    {
        std::vector<StateRow> found;
        for (const auto &[key, row] : rows) {
            if (row.version > known)
                found.push_back(row);
        }
        return found;
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

/// \brief What one gateway keeps of members, keys and shares, as the program does.
struct SimulatedGateway
{
    SimulatedGateway(int number, int incarnation, const ConsistencyTimeouts &limits,
                     SharePolicy policy)
        : sync(MemberRow{InstanceId("g" + std::to_string(number)),
                         Incarnation(incarnation),
                         "",
                         "",
                         ZoneName("zone-a"),
                         0,
                         {},
                         false},
               limits),
          shares(sync.instance(), sync.incarnation()), planner(policy)
    { }

    void applyShares(Instant now)
    {
        for (const auto &[id, known] : sync.shareRows())
            shares.applyRow(id, known.row, known.version, now);
        shares.setFreshUntil(sync.freshUntil(now));
    }

    ClusterView sync;
    AccountShares shares;
    SharePlanner planner;
    Version appliedConfiguration; // the newest that it has acted on
};

/// \brief What a schedule is to hold.
struct SimulationSettings
{
    ConsistencyTimeouts limits{500ms, 4s, 100ms, 1300ms};
    SharePolicy policy = SharePolicy::Demand;
    Duration duration = 12s;
    bool injectFaults = true;
    int gatewayCount = 3;
};

} // namespace quetzalyoke::test

#endif
