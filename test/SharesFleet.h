#ifndef QUETZALYOKE_TEST_SHARESFLEET_H
#define QUETZALYOKE_TEST_SHARESFLEET_H

#include "Core/Accounts/AccountShares.h"
#include "Core/Accounts/SharePlanner.h"
#include "Core/State/GatewaySync.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke::test {

using namespace std::chrono_literals;

inline const AccountId account("stable");
inline constexpr TokensPerSecond rate(100);
inline constexpr Tokens burst(200);
inline constexpr int keyCount = 4;

inline std::string keyName(int key)
{
    return std::string(StateCache::prefix) + "key/" + std::to_string(key);
}

inline std::string keyValue(int key, bool withdrawn)
{
    return KeyRecord{KeyId(std::to_string(key)), account, "hash", withdrawn}.toJson();
}

/// \brief The platform's table: linearizable, may be out.
struct FakeTable
{
    std::map<std::string, StateRow> rows;
    Version version;
    bool out = false;

    std::vector<StateRow> after(Version known) const
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
struct Gateway
{
    Gateway(int number, int incarnation, const SyncLimits &limits, SharePolicy policy)
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

    void publish(Instant now)
    {
        for (const auto &[id, known] : sync.shares())
            shares.applyRow(id, known.row, known.version, now);
        shares.setFreshUntil(sync.freshUntil(now));
    }

    GatewaySync sync;
    AccountShares shares;
    SharePlanner planner;
    Version configuration; // the newest that it has acted on
};

/// \brief What a schedule is to hold.
struct Plan
{
    SyncLimits limits{500ms, 4s, 100ms, 1300ms};
    SharePolicy policy = SharePolicy::Demand;
    Duration length = 12s;
    bool faults = true;
    int gateways = 3;
};

} // namespace quetzalyoke::test

#endif
