#include "Serving/Placement/PlacementLease.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};

// The table's lease row with conditional writes. It can come back from a copy; versions contain the
// era as they do in the platform's client.
struct LeaseTable
{
    static constexpr std::int64_t versionsPerEra = 1'000'000;

    LeaseTable() { setVersion(0); }

    LeaseRow row;
    std::int64_t versions = 0;
    StoreEra era{1};
    std::set<StoreEra> markedEras; // in which the lease was taken over
    struct Copy
    {
        LeaseRow row;
        std::int64_t versions;
        std::set<StoreEra> markedEras;
    };
    std::deque<Copy> copies; // of one step each

    void setVersion(std::int64_t version)
    {
        row.era = era;
        row.version = Version(era.count() * versionsPerEra + version);
    }
    // Compares as the store does: it doesn't know of which era a version is.
    std::optional<Version> write(const LeaseRow &newRow)
    {
        if (newRow.version.count() % versionsPerEra != row.version.count() % versionsPerEra)
            return {};
        if (markedEras.count(newRow.era + StoreEra(1)) > 0)
            return {};
        if (newRow.fencingToken == firstFencingToken(newRow.era)) {
            for (StoreEra it{1}; it <= newRow.era; it += StoreEra(1))
                markedEras.insert(it);
        }
        row = newRow;
        setVersion(++versions);
        return row.version;
    }
    void saveCopy()
    {
        constexpr std::size_t keptSteps = 450;
        copies.push_back({row, versions, markedEras});
        if (copies.size() > keptSteps)
            copies.pop_front();
    }
    void restore(std::size_t steps)
    {
        const auto &copy = copies[copies.size() - 1 - std::min(steps, copies.size() - 1)];
        const std::int64_t version = copy.row.version.count() % versionsPerEra;
        row = copy.row;
        versions = copy.versions;
        markedEras = copy.markedEras;
        era += StoreEra(1);
        setVersion(version);
    }
};

// A pending call of a gateway to the table.
struct Call
{
    bool isWrite = false;
    LeaseRow proposedRow;
    Instant sentAt;
    Instant reachesTableAt;
    Instant respondedAt;
    bool isDone = false;
    bool isLost = false; // the gateway gets no response
    bool isOtherEra = false; // the table compared with a version of another era
    std::optional<Version> result;
    std::optional<LeaseRow> read;
};

struct Gateway
{
    explicit Gateway(int number)
        : name("gateway-" + std::to_string(number)),
          lease(std::make_unique<PlacementLease>(PlacementLease::Settings(), name, Incarnation(1)))
    { }

    InstanceId name;
    std::unique_ptr<PlacementLease> lease;
    std::optional<Call> call;
    bool isSuspended = false;
    bool isCut = false; // from the table; its calls are slow and get no response
    bool isSilent = false; // exchanges no messages with peers
};

} // namespace

TEST(PlacementLeaseTest, isTakenAtOnceIfThereIsNoRow)
{
    PlacementLease lease(PlacementLease::Settings(), InstanceId("a"), Incarnation(1));
    ASSERT_EQ(lease.nextAction(start), PlacementLease::Action::Read);
    lease.onRead(std::nullopt, start);
    ASSERT_EQ(lease.nextAction(start + 1s), PlacementLease::Action::Write);
    EXPECT_EQ(lease.rowToWrite().fencingToken.count(), 1);
    lease.onWritten(Version(4), start + 1s);
    EXPECT_TRUE(lease.mayOrderEngines(start + 1s));
    EXPECT_FALSE(lease.mayOrderEngines(start + 1s + PlacementLease::Settings().validity));
}

TEST(PlacementLeaseTest, expiresAfterTheLastConfirmedRenewal)
{
    const Instant expiredAt = start + 1s + PlacementLease::Settings().validity + 100ms;
    PlacementLease lease(PlacementLease::Settings(), InstanceId("a"), Incarnation(1));
    lease.nextAction(start);
    lease.onRead(std::nullopt, start);
    ASSERT_EQ(lease.nextAction(start + 1s), PlacementLease::Action::Write);
    lease.onWritten(Version(1), start + 1s);
    ASSERT_EQ(lease.nextAction(start + 2s), PlacementLease::Action::Write);
    lease.onCallFailed(start + 2500ms);
    EXPECT_FALSE(lease.mayOrderEngines(start + 1s + PlacementLease::Settings().validity));
    // The renewal whose response was lost took effect: a read shows it, the next renewal confirms
    // it.
    ASSERT_EQ(lease.nextAction(expiredAt), PlacementLease::Action::Read);
    LeaseRow row = lease.rowToWrite();
    row.holder = InstanceId("a");
    row.incarnation = Incarnation(1);
    row.version = Version(2);
    lease.onRead(row, expiredAt);
    EXPECT_FALSE(lease.mayOrderEngines(expiredAt));
    ASSERT_EQ(lease.nextAction(expiredAt), PlacementLease::Action::Write);
    lease.onWritten(Version(3), expiredAt);
    EXPECT_TRUE(lease.mayOrderEngines(expiredAt));
}

// Random schedules of lost and late calls, suspended and restarted gateways and lost peer messages.
// Orders of two holders must be at least holderChangeInterval apart, and fencing tokens must
// increase.
void expectSeparateHolders(bool hasRestores)
{
    constexpr int schedules = 2000;
    constexpr int gateways = 3;
    const PlacementLease::Settings settings;
    int handovers = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const auto chance = [&random](int n) { return random() % static_cast<unsigned>(n) == 0; };
        LeaseTable table;
        std::vector<Gateway> fleet;
        for (int i = 0; i < gateways; ++i)
            fleet.emplace_back(i);
        std::vector<Call> orphanedCalls; // calls in transit that no gateway waits for any more
        int lastHolder = -1;
        Instant lastOrder;
        FencingToken lastFencing;
        std::vector<std::int64_t> incarnations(gateways, 1);
        for (Instant now = start; now < start + 40s; now += 20ms) {
            table.saveCopy();
            if (hasRestores && chance(400))
                table.restore(random() % 450);
            for (Call &orphan : orphanedCalls) {
                if (!orphan.isDone && orphan.isWrite && now >= orphan.reachesTableAt) {
                    table.write(orphan.proposedRow);
                    orphan.isDone = true;
                }
            }
            for (int i = 0; i < gateways; ++i) {
                Gateway &gateway = fleet[static_cast<std::size_t>(i)];
                if (chance(300))
                    gateway.isSuspended = !gateway.isSuspended;
                if (chance(300))
                    gateway.isCut = !gateway.isCut;
                if (chance(300))
                    gateway.isSilent = !gateway.isSilent;
                if (chance(1500)) {
                    if (gateway.call)
                        orphanedCalls.push_back(*gateway.call);
                    gateway.call.reset();
                    const auto incarnation = ++incarnations[static_cast<std::size_t>(i)];
                    gateway.lease = std::make_unique<PlacementLease>(settings, gateway.name,
                                                                     Incarnation(incarnation));
                }
                if (gateway.call && !gateway.call->isDone && now >= gateway.call->reachesTableAt) {
                    Call &call = *gateway.call;
                    call.isDone = true;
                    call.isOtherEra = call.isWrite && call.proposedRow.era != table.row.era;
                    if (call.isWrite)
                        call.result = table.write(call.proposedRow);
                    else
                        call.read = table.row;
                }
                if (gateway.isSuspended)
                    continue;
                if (gateway.call && now >= gateway.call->respondedAt) {
                    const Call call = *gateway.call;
                    if (call.isLost || !call.isDone || call.isOtherEra) {
                        gateway.lease->onCallFailed(now);
                        if (!call.isDone)
                            orphanedCalls.push_back(call);
                    } else if (call.isWrite) {
                        gateway.lease->onWritten(call.result, call.sentAt);
                    } else {
                        gateway.lease->onRead(call.read, now);
                    }
                    gateway.call.reset();
                }
                if (!gateway.call) {
                    const auto action = gateway.lease->nextAction(now);
                    if (action != PlacementLease::Action::None) {
                        Call call;
                        call.isWrite = action == PlacementLease::Action::Write;
                        call.proposedRow = gateway.lease->rowToWrite();
                        call.sentAt = now;
                        const bool isSlow = gateway.isCut || chance(20);
                        call.reachesTableAt = now
                            + (isSlow ? Duration(std::chrono::milliseconds(random() % 4000))
                                      : Duration(20ms));
                        call.respondedAt = now + (isSlow ? Duration(1s) : Duration(40ms));
                        call.isLost = isSlow;
                        gateway.call = call;
                    }
                }
                if (gateway.lease->isSoleHolder(now)) {
                    const auto soleHolders
                        = std::count_if(fleet.begin(), fleet.end(), [now](const Gateway &it) {
                              return it.lease->isSoleHolder(now);
                          });
                    ASSERT_EQ(soleHolders, 1) << "seed " << seed;
                }
                if (!gateway.lease->mayOrderEngines(now))
                    continue;
                const FencingToken fencing = gateway.lease->fencingToken();
                if (lastHolder >= 0 && lastHolder != i) {
                    ++handovers;
                    ASSERT_GE(now - lastOrder, settings.holderChangeInterval) << "seed " << seed;
                    ASSERT_GT(fencing, lastFencing) << "seed " << seed;
                }
                ASSERT_GE(fencing, lastFencing) << "seed " << seed;
                lastHolder = i;
                lastOrder = now;
                lastFencing = fencing;
                if (gateway.isSilent)
                    continue;
                for (int k = 0; k < gateways; ++k) {
                    Gateway &peer = fleet[static_cast<std::size_t>(k)];
                    if (k != i && !peer.isSuspended && !peer.isSilent)
                        peer.lease->onHolderRenewal(gateway.lease->row(), now);
                }
            }
        }
    }
    // The schedules must contain enough changes of the holder to be a test of them.
    EXPECT_GT(handovers, schedules / 2);
}

TEST(PlacementLeaseTest, separatesTheOrdersOfTwoHolders)
{
    expectSeparateHolders(false);
}

// A fencing token that was issued must not be issued again, nor a lower one.
TEST(PlacementLeaseTest, separatesTheOrdersOfTwoHoldersWhenTheTableIsRestored)
{
    expectSeparateHolders(true);
}

TEST(PlacementLeaseTest, countsATableOutageTowardsTheTakeoverDelay)
{
    const PlacementLease::Settings settings;
    const LeaseRow row{InstanceId("gone"), Incarnation(1), FencingToken(4), Version(9)};
    PlacementLease lease(settings, InstanceId("a"), Incarnation(1));
    ASSERT_EQ(lease.nextAction(start), PlacementLease::Action::Read);
    lease.onRead(row, start);
    Instant now = start;
    for (; now < start + 6s; now += 100ms) {
        if (lease.nextAction(now) != PlacementLease::Action::None)
            lease.onCallFailed(now); // the table is unreachable
    }
    while (lease.nextAction(now) != PlacementLease::Action::Read)
        now += 50ms;
    lease.onRead(row, now);
    while (lease.nextAction(now) != PlacementLease::Action::Write) {
        now += 50ms;
        ASSERT_LT(now, start + 8s);
    }
    EXPECT_EQ(lease.rowToWrite().fencingToken, FencingToken(5));
}

TEST(PlacementLeaseTest, isTakenBackAtOnceByTheNextIncarnationOfItsHolder)
{
    PlacementLease lease(PlacementLease::Settings(), InstanceId("a"), Incarnation(2));
    ASSERT_EQ(lease.nextAction(start), PlacementLease::Action::Read);
    lease.onRead(LeaseRow{InstanceId("a"), Incarnation(1), FencingToken(4), Version(9)}, start);
    Instant now = start;
    while (lease.nextAction(now) != PlacementLease::Action::Write) {
        now += 50ms;
        ASSERT_LT(now, start + 1200ms);
    }
    EXPECT_EQ(lease.rowToWrite().fencingToken, FencingToken(5));
}

// Load pattern: hundreds of gateways that get a message about the holder every second or less
// often. The calls to the table must not grow with their number, nor burst after the loss of the
// holder.
TEST(PlacementLeaseTest, limitsTableCallsForAnyNumberOfGateways)
{
    constexpr Duration messageIntervalPerPeer = 16ms;
    constexpr double maxCallsPerSecond = 6;
    constexpr int maxCallsOfHandover = 30;
    const PlacementLease::Settings settings;
    for (const int gateways : {31, 68, 300, 470}) {
        const Duration interval = messageIntervalPerPeer * (gateways - 1);
        std::mt19937_64 random(7);
        LeaseTable table;
        std::vector<Gateway> fleet;
        for (int i = 0; i < gateways; ++i) {
            fleet.emplace_back(i);
            // The first one takes the free lease; the others take over in the order of their ranks.
            fleet.back().lease->setTakeoverRank(static_cast<std::size_t>(std::max(0, i - 1)),
                                                interval);
        }
        int calls = 0;
        Instant nextMessageAt = start;
        const auto holder = [&](Instant now) {
            for (Gateway &gateway : fleet) {
                if (!gateway.isSuspended && gateway.lease->mayOrderEngines(now))
                    return &gateway;
            }
            return static_cast<Gateway *>(nullptr);
        };
        const auto step = [&](Instant now) {
            for (Gateway &gateway : fleet) {
                if (gateway.isSuspended)
                    continue;
                switch (gateway.lease->nextAction(now)) {
                case PlacementLease::Action::None:
                    break;
                case PlacementLease::Action::Read:
                    ++calls;
                    gateway.lease->onRead(table.row, now);
                    break;
                case PlacementLease::Action::Write:
                    ++calls;
                    gateway.lease->onWritten(table.write(gateway.lease->rowToWrite()), now);
                    break;
                }
            }
            if (now < nextMessageAt)
                return;
            nextMessageAt = now + interval;
            const Gateway *sender = holder(now);
            for (Gateway &gateway : fleet) {
                // One datagram in fifty is lost.
                if (sender && &gateway != sender && random() % 50 != 0)
                    gateway.lease->onHolderRenewal(sender->lease->row(), now);
            }
        };
        Instant now = start;
        for (; now < start + 30s; now += 50ms)
            step(now);
        calls = 0;
        for (; now < start + 90s; now += 50ms)
            step(now);
        EXPECT_LE(calls / 60.0, maxCallsPerSecond) << gateways << " gateways";
        Gateway *lost = holder(now);
        ASSERT_NE(lost, nullptr) << gateways;
        lost->isSuspended = true;
        calls = 0;
        const Instant lostAt = now;
        while (!holder(now) && now < lostAt + 30s) {
            step(now);
            now += 50ms;
        }
        // The time that keeps two holders apart, plus a read of the row and a call or two.
        EXPECT_LE(now - lostAt,
                  settings.validity + settings.holderChangeInterval + settings.takeoverMargin
                      + Duration(2500ms))
            << gateways;
        for (const Instant end = now + 2s; now < end; now += 50ms)
            step(now);
        EXPECT_LE(calls, maxCallsOfHandover + 2 * gateways / 50) << gateways;
    }
}

namespace {

// A row that a copy of the table has brought back in era 2.
LeaseRow rowFromCopy(const char *holder, std::int64_t incarnation)
{
    return {InstanceId(holder), Incarnation(incarnation), firstFencingToken(StoreEra(1)),
            Version(1'000), StoreEra(2)};
}

} // namespace

// The copy names a holder that another one has replaced since.
TEST(PlacementLeaseTest, givesTheHolderOfARowFromACopyNoRights)
{
    const PlacementLease::Settings settings;
    PlacementLease lease(settings, InstanceId("a"), Incarnation(1));
    Instant now = start;
    for (auto action = lease.nextAction(now); action != PlacementLease::Action::Write;
         action = lease.nextAction(now)) {
        if (action == PlacementLease::Action::Read)
            lease.onRead(rowFromCopy("a", 1), now);
        EXPECT_FALSE(lease.mayOrderEngines(now));
        now += 50ms;
        ASSERT_LT(now, start + 10s);
    }
    EXPECT_GE(now - start,
              settings.validity + settings.holderChangeInterval + settings.takeoverMargin);
    EXPECT_EQ(lease.rowToWrite().fencingToken, firstFencingToken(StoreEra(2)));
}

TEST(PlacementLeaseTest, isRenewedAtOnceByItsHolderAfterARestore)
{
    PlacementLease lease(PlacementLease::Settings(), InstanceId("a"), Incarnation(1));
    lease.nextAction(start);
    LeaseRow none;
    none.era = StoreEra(1);
    none.version = Version(500);
    lease.onRead(none, start);
    ASSERT_EQ(lease.nextAction(start + 1s), PlacementLease::Action::Write);
    lease.onWritten(Version(510), start + 1s);
    const FencingToken before = lease.fencingToken();
    ASSERT_EQ(lease.nextAction(start + 2s), PlacementLease::Action::Write);
    lease.onCallFailed(start + 2s); // the condition was on a version of the earlier era
    Instant now = start + 2s;
    while (lease.nextAction(now) != PlacementLease::Action::Read)
        now += 50ms;
    lease.onRead(rowFromCopy("b", 1), now);
    while (lease.nextAction(now) != PlacementLease::Action::Write) {
        now += 50ms;
        ASSERT_LT(now, start + 4s);
    }
    EXPECT_GT(lease.rowToWrite().fencingToken, before);
    EXPECT_EQ(lease.rowToWrite().version, Version(1'000));
}

// After a restore the row may be missing although a gateway still holds the lease.
TEST(PlacementLeaseTest, waitsIfTheRowIsMissingAfterARestore)
{
    const PlacementLease::Settings settings;
    PlacementLease lease(settings, InstanceId("b"), Incarnation(1));
    LeaseRow none;
    none.era = StoreEra(2);
    none.version = Version(1'000);
    Instant now = start;
    ASSERT_EQ(lease.nextAction(now), PlacementLease::Action::Read);
    lease.onRead(none, now);
    for (auto action = lease.nextAction(now); action != PlacementLease::Action::Write;
         action = lease.nextAction(now)) {
        if (action == PlacementLease::Action::Read)
            lease.onRead(none, now);
        now += 50ms;
        ASSERT_LT(now, start + 10s);
    }
    EXPECT_GE(now - start, settings.validity + settings.holderChangeInterval);
}
