#include "Adapters/Async/AsyncHttpServer.h"
#include "Adapters/Base64.h"
#include "LoopbackSocket.h"
#include "platform/StorePlatform.h"
#include "platform/StoreVersion.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace quetzalyoke;
using namespace quetzalyoke::platform;
using namespace std::chrono_literals;

namespace {

// The platform's store with the responses that the test sends one by one.
class FakeStore
{
public:
    explicit FakeStore(asio::io_context &loop)
        : m_loop(loop), m_server(loop, 16,
                                 {[this](const HttpServerConnection::Pointer &session,
                                         HttpRequest &&request) { onRequest(session, request); },
                                  [] { return HttpServerConnectionLimits(); }, [] { return false; },
                                  [](int, const char *) {}})
    {
        m_server.listen({loopbackHost(), 0});
    }

    Address address() const { return {loopbackHost(), m_server.port()}; }

    /// Waits for a call whose target contains \a part, and sends the response. Returns false if no
    /// such call arrives.
    bool respond(const std::string &part, int status, const std::string &body, int era = 0)
    {
        std::size_t at = 0;
        const bool hasArrived = runUntil(m_loop, [&] {
            for (at = 0; at < m_calls.size(); ++at) {
                if (m_calls[at].first.find(part) != std::string::npos)
                    return true;
            }
            return false;
        });
        if (!hasArrived)
            return false;
        const auto session = m_calls[at].second;
        m_calls.erase(m_calls.begin() + static_cast<std::ptrdiff_t>(at));
        session->sendResponse(
            status, "Content-Type: application/json\r\nStore-Era: " + std::to_string(era) + "\r\n",
            body);
        return true;
    }
    const std::string &lastBody() const { return m_lastBody; }

private:
    void onRequest(const HttpServerConnection::Pointer &session, const HttpRequest &request)
    {
        m_lastBody = request.body;
        m_calls.emplace_back(request.target, session);
    }

    asio::io_context &m_loop;
    AsyncHttpServer m_server;
    std::vector<std::pair<std::string, HttpServerConnection::Pointer>> m_calls;
    std::string m_lastBody;
};

std::string rows(const std::string &list, int version)
{
    return R"({"rows":[)" + list + R"(],"truncated":false,"ver":)" + std::to_string(version)
        + R"(,"now_ms":5})";
}

// base64 of "x"
std::string row(const std::string &key, int version)
{
    return R"({"table":"servers","part":"","key":")" + key + R"(","value":"eA==","ver":)"
        + std::to_string(version) + "}";
}

std::string deletion(const std::string &key, int version)
{
    return R"({"table":"servers","part":"","key":")" + key + R"(","deleted":true,"ver":)"
        + std::to_string(version) + "}";
}

class PlatformStoreTest : public ::testing::Test
{
protected:
    PlatformStoreTest()
        : follower(makeStoreSource(loop, client, "servers"), 5ms,
                   {[this](const StoreRow &change) {
                        appliedRows.push_back((change.isDeleted ? "-" : "+") + change.key);
                    },
                    [this] { ++batches; },
                    [this](bool isReachable, const std::string &) {
                        reachability.push_back(isReachable);
                    }})
    { }

    bool awaitBatches(int n)
    {
        return runUntil(loop, [&] { return batches >= n; });
    }

    asio::io_context loop;
    FakeStore store{loop};
    StoreClient client{loop, store.address()};
    std::vector<std::string> appliedRows;
    std::vector<bool> reachability;
    int batches = 0;
    TableFollower follower;
};

using Strings = std::vector<std::string>;

// Returns the copy of a gateway that has just got all rows.
TableCopy copyOf(const TableCopy &other)
{
    TableCopy copy([](const StoreRow &) {});
    EXPECT_TRUE(copy.applyPeerChanges(other.changesSince({})));
    return copy;
}

} // namespace

TEST_F(PlatformStoreTest, readsATableThenFollowsItsChanges)
{
    follower.start();
    ASSERT_TRUE(store.respond("/rows-get?table=servers", 200, rows(row("a", 3), 7)));
    ASSERT_TRUE(store.respond("after=7", 200, rows(row("b", 8) + "," + deletion("a", 9), 9)));
    ASSERT_TRUE(awaitBatches(2));
    EXPECT_EQ(appliedRows, (Strings{"+a", "+b", "-a"}));
    EXPECT_EQ(follower.copy().version().version, Version(9));
    ASSERT_TRUE(store.respond("after=9", 200, rows("", 12)));
    EXPECT_TRUE(store.respond("after=12", 200, rows("", 12)));
}

TEST_F(PlatformStoreTest, readsAllRowsAgainOnceTheHistoryIsGone)
{
    follower.start();
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 3) + "," + row("b", 4), 7)));
    ASSERT_TRUE(store.respond("after=7", 410, "{}"));
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("b", 4) + "," + row("c", 9), 9)));
    ASSERT_TRUE(awaitBatches(2));
    EXPECT_EQ(appliedRows, (Strings{"+a", "+b", "-a", "+c"}));
}

// A response must not end the process, whatever it contains.
TEST_F(PlatformStoreTest, retriesAfterInvalidResponses)
{
    follower.start();
    for (const char *body : {"", "{}", "[]", "null", "{\"rows\":4,\"ver\":1}",
                             "{\"rows\":[{}],\"ver\":1}", "{\"rows\":[]}", "<html>"}) {
        ASSERT_TRUE(store.respond("/rows-get", 200, body)) << body;
    }
    ASSERT_TRUE(store.respond("/rows-get", 503, ""));
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 3), 7)));
    ASSERT_TRUE(awaitBatches(1));
    EXPECT_EQ(reachability, (std::vector<bool>{false, true}));
}

TEST_F(PlatformStoreTest, ignoresOlderRows)
{
    follower.start();
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 6), 7)));
    ASSERT_TRUE(store.respond("after=7", 200, rows(row("a", 5), 8)));
    ASSERT_TRUE(awaitBatches(2));
    EXPECT_EQ(appliedRows, (Strings{"+a"}));
}

TEST_F(PlatformStoreTest, exchangesChangesWithOtherGateways)
{
    follower.start();
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 3) + "," + row("b", 4), 7)));
    ASSERT_TRUE(store.respond("after=7", 200, rows(row("c", 8) + "," + deletion("a", 9), 9)));
    ASSERT_TRUE(awaitBatches(2));
    const TableChanges changes = follower.copy().changesSince({Version(7), 0});
    EXPECT_EQ(changes.kind, TableChanges::Kind::Changes);
    EXPECT_EQ(changes.rows.size(), 2U);
    // A new gateway gets all rows.
    EXPECT_EQ(follower.copy().changesSince({}).kind, TableChanges::Kind::AllRows);

    follower.pause();
    TableCopy peer = copyOf(follower.copy());
    peer.applyFeed({{"z", "x", Version(10), false}}, Version(9), Version(10));
    const TableChanges older = peer.changesSince(follower.copy().version());
    peer.applyFeed({{"z", "", Version(11), true}, {"b", "", Version(11), true}}, Version(10),
                   Version(11));
    EXPECT_TRUE(follower.copy().applyPeerChanges(peer.changesSince(follower.copy().version())));
    EXPECT_EQ(follower.copy().rows().count("b"), 0U);
    EXPECT_EQ(follower.copy().version(), peer.version());
    EXPECT_TRUE(follower.copy().applyPeerChanges(older)); // a late response of another gateway
    EXPECT_EQ(follower.copy().rows().count("z"), 0U);
    follower.resume();
    EXPECT_TRUE(store.respond("after=11", 200, rows("", 11)));
}

TEST_F(PlatformStoreTest, writesConditionallyAndReportsTheThreeOutcomes)
{
    std::vector<StoreClient::WriteStatus> outcomes;
    const auto record
        = [&outcomes](StoreClient::WriteStatus status, Version) { outcomes.push_back(status); };
    const StoreWrite write{"t", "k", "x", Version(4), {}, {}};
    client.writeRow(write, 1s, record);
    ASSERT_TRUE(store.respond("/rows-tx", 200, R"({"ver":5,"now_ms":1})"));
    EXPECT_NE(store.lastBody().find("\"eA==\""), std::string::npos);
    client.writeRow(write, 1s, record);
    ASSERT_TRUE(store.respond("/rows-tx", 412, "{}"));
    client.writeRow(write, 1s, record);
    ASSERT_TRUE(store.respond("/rows-tx", 200, "{}"));
    ASSERT_TRUE(runUntil(loop, [&] { return outcomes.size() == 3; }));
    EXPECT_EQ(outcomes[0], StoreClient::WriteStatus::Done);
    EXPECT_EQ(outcomes[1], StoreClient::WriteStatus::Conflict);
    EXPECT_EQ(outcomes[2], StoreClient::WriteStatus::Failed);
}

// After a restore the store gives out versions again that it gave out before.
TEST_F(PlatformStoreTest, readsAllRowsAgainOnceTheStoreWasRestored)
{
    follower.start();
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 3) + "," + row("b", 6), 7)));
    // Version 7 exists again, with another content.
    ASSERT_TRUE(store.respond("after=7", 200, rows(row("c", 8), 8), 2));
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 3) + "," + row("d", 5), 8), 2));
    ASSERT_TRUE(runUntil(loop, [&] { return follower.copy().rows().count("d") == 1; }));
    EXPECT_EQ(follower.copy().rows().count("b"), 0U);
    ASSERT_TRUE(store.respond("after=8", 200, rows(row("b", 9), 9), 2));
    EXPECT_TRUE(runUntil(loop, [&] { return follower.copy().rows().count("b") == 1; }));
}

TEST_F(PlatformStoreTest, appliesRowsWithLowerVersionsAfterARestore)
{
    follower.start();
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 60), 70)));
    ASSERT_TRUE(store.respond("after=70", 410, "{}", 2));
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 30), 40), 2));
    ASSERT_TRUE(awaitBatches(2));
    ASSERT_TRUE(store.respond("after=40", 200, rows(row("a", 41), 41), 2));
    ASSERT_TRUE(awaitBatches(3));
    EXPECT_EQ(appliedRows, (Strings{"+a", "+a", "+a"}));
}

TEST_F(PlatformStoreTest, ignoresAResponseFromBeforeARestore)
{
    follower.start();
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 3), 7), 2));
    ASSERT_TRUE(store.respond("after=7", 200, rows(row("z", 90), 90), 1));
    ASSERT_TRUE(store.respond("after=7", 200, rows(row("b", 8), 8), 2));
    ASSERT_TRUE(awaitBatches(2));
    EXPECT_EQ(appliedRows, (Strings{"+a", "+b"}));
}

TEST_F(PlatformStoreTest, givesGatewaysThatKnowAnEarlierEraAllRows)
{
    follower.start();
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 60) + "," + row("b", 65), 70)));
    ASSERT_TRUE(awaitBatches(1));
    const TableVersion before = follower.copy().version();
    TableCopy peer = copyOf(follower.copy());
    EXPECT_EQ(peer.rows().size(), 2U);
    ASSERT_TRUE(store.respond("after=70", 410, "{}", 2));
    ASSERT_TRUE(store.respond("/rows-get", 200, rows(row("a", 30), 40), 2));
    ASSERT_TRUE(awaitBatches(2));
    EXPECT_GT(follower.copy().version().version, before.version);
    EXPECT_EQ(follower.copy().changesSince(before).kind, TableChanges::Kind::AllRows);
    // What a peer sent before it learned of the restore.
    peer.applyFeed({}, before.version, Version(before.version.count() + 1));
    EXPECT_TRUE(follower.copy().applyPeerChanges(peer.changesSince(before)));
    EXPECT_TRUE(follower.copy().applyPeerChanges(peer.changesSince({})));
    EXPECT_EQ(follower.copy().rows().count("b"), 0U);
    // A peer that still has the earlier era takes the rows of the new one.
    EXPECT_TRUE(peer.applyPeerChanges(follower.copy().changesSince(peer.version())));
    EXPECT_EQ(peer.rows().size(), 1U);
    EXPECT_EQ(peer.version(), follower.copy().version());
}

namespace {

std::string configurationRow(int configuration, int version)
{
    const std::string text = "{\"version\":" + std::to_string(configuration)
        + R"(,"routes":[],"services":[],"tenants":[],"limits":{"max_header_bytes":16384,)"
          R"("max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    return R"({"table":"op","part":"","key":"config","value":")" + encodeBase64(text)
        + R"(","ver":)" + std::to_string(version) + "}";
}

} // namespace

// The copy may have an older configuration than the one in force, until the operators write it
// again.
TEST_F(PlatformStoreTest, keepsTheConfigurationInForceAndGivesItToPeersAfterARestore)
{
    const auto hooksFor = [](std::vector<std::int64_t> &versions) {
        EntryPlatform::Hooks hooks;
        hooks.onConfigChanged = [&versions](const ServingConfigPtr &config) {
            versions.push_back(config->version.count());
        };
        hooks.onBatchApplied = [] {};
        hooks.onReachabilityChanged = [](bool, const std::string &) {};
        hooks.onStoreRestored = [](StoreEra) {};
        hooks.onInvalidEntry = [](const std::string &key, const std::string &problem) {
            ADD_FAILURE() << key << ": " << problem;
        };
        return hooks;
    };
    std::vector<std::int64_t> inForce;
    StorePlatform reader(loop, store.address());
    reader.start(hooksFor(inForce));
    ASSERT_TRUE(store.respond("/rows-get?table=op", 200, rows(configurationRow(16, 90), 90), 1));
    ASSERT_TRUE(store.respond("/rows-feed?table=op", 410, "{}", 2));
    ASSERT_TRUE(store.respond("/rows-get?table=op", 200, rows(configurationRow(12, 50), 60), 2));
    ASSERT_TRUE(store.respond("/rows-feed?table=op&after=60", 200, rows("", 60), 2));
    EXPECT_EQ(inForce, (std::vector<std::int64_t>{16}));
    // A gateway that has just started has read the copy only.
    std::vector<std::int64_t> inForceAtNewcomer;
    StorePlatform newcomer(loop, store.address());
    newcomer.start(hooksFor(inForceAtNewcomer));
    newcomer.setFollowing(false);
    EXPECT_TRUE(newcomer.applyChanges(
        R"({"operators":{"newest":)" + std::to_string(reader.versions().operators.version.count())
            + R"(,"digest":1,"rows":[]},"servers":{"newest":0,"digest":0,"rows":[]}})",
        StateTimes()));
    EXPECT_NE(newcomer.versions(), reader.versions());
    EXPECT_TRUE(
        newcomer.applyChanges(reader.changesSince(newcomer.versions()), reader.confirmedAt()));
    EXPECT_EQ(inForceAtNewcomer, (std::vector<std::int64_t>{16}));
    EXPECT_EQ(newcomer.versions().configuration, Version(16));
    // The operators' next change has a lower version of the store.
    ASSERT_TRUE(
        store.respond("/rows-feed?table=op&after=60", 200, rows(configurationRow(18, 61), 61), 2));
    EXPECT_TRUE(runUntil(loop, [&inForce] { return inForce.size() == 2; }));
    reader.stop();
}

namespace {

std::string evacuationRow(const std::string &zone, int version)
{
    return R"({"table":"op","part":"","key":"evacuate/)" + zone + R"(","value":"e30=","ver":)"
        + std::to_string(version) + "}";
}

std::string evacuationDeletion(const std::string &zone, int version)
{
    return R"({"table":"op","part":"","key":"evacuate/)" + zone + R"(","deleted":true,"ver":)"
        + std::to_string(version) + "}";
}

// A gateway's platform that records the changes of evacuations, such as "+east" and "-east", and
// "?east" for a row that was lost.
class EvacuationObserver
{
public:
    EvacuationObserver(asio::io_context &loop, const Address &store, bool isFollowing)
        : platform(loop, store)
    {
        platform.setFollowing(isFollowing);
        EntryPlatform::Hooks hooks;
        hooks.onConfigChanged = [](const ServingConfigPtr &) {};
        hooks.onEvacuationChanged = [this](const ZoneName &zone, EvacuationChange change) {
            const bool isBegun = change == EvacuationChange::Begun;
            changes.push_back((isBegun                                ? "+"
                                   : change == EvacuationChange::Lost ? "?"
                                                                      : "-")
                              + zone.text());
        };
        hooks.onBatchApplied = [this] { ++batches; };
        hooks.onReachabilityChanged = [](bool, const std::string &) {};
        hooks.onStoreRestored = [](StoreEra) {};
        hooks.onInvalidEntry
            = [this](const std::string &key, const std::string &) { invalid.push_back(key); };
        platform.start(hooks);
    }

    bool takes(const EvacuationObserver &other)
    {
        return platform.applyChanges(other.platform.changesSince(platform.versions()),
                                     other.platform.confirmedAt());
    }

    StorePlatform platform;
    Strings changes;
    Strings invalid;
    int batches = 0;
};

} // namespace

TEST_F(PlatformStoreTest, followsTheEvacuationsOfZones)
{
    EvacuationObserver reader(loop, store.address(), true);
    ASSERT_TRUE(store.respond("/rows-get?table=op", 200,
                              rows(configurationRow(16, 90) + "," + evacuationRow("east", 80), 90),
                              1));
    ASSERT_TRUE(store.respond("/rows-feed?table=op&after=90", 200,
                              rows(evacuationRow("west", 91) + "," + evacuationRow("", 92), 92),
                              1));
    ASSERT_TRUE(runUntil(loop, [&] { return reader.batches >= 2; }));
    EXPECT_EQ(reader.changes, (Strings{"+east", "+west"}));
    EXPECT_EQ(reader.invalid, Strings{"evacuate/"});
    // A gateway that gets the state from the reader, and one that starts while the store is away.
    EvacuationObserver newcomer(loop, store.address(), false);
    EXPECT_TRUE(newcomer.takes(reader));
    std::sort(newcomer.changes.begin(), newcomer.changes.end());
    EXPECT_EQ(newcomer.changes, (Strings{"+east", "+west"}));
    ASSERT_TRUE(store.respond("/rows-feed?table=op&after=92", 200,
                              rows(evacuationDeletion("east", 93), 93), 1));
    ASSERT_TRUE(runUntil(loop, [&] { return reader.batches >= 3; }));
    EXPECT_EQ(reader.changes.back(), "-east");
    EXPECT_TRUE(newcomer.takes(reader));
    EXPECT_EQ(newcomer.changes.back(), "-east");
    // The other row was removed while the history was lost: all rows are read again.
    ASSERT_TRUE(store.respond("/rows-feed?table=op&after=93", 410, "{}", 1));
    ASSERT_TRUE(store.respond("/rows-get?table=op", 200, rows(configurationRow(16, 90), 95), 1));
    ASSERT_TRUE(runUntil(loop, [&] { return reader.batches >= 4; }));
    EXPECT_EQ(reader.changes.back(), "-west");
    EXPECT_TRUE(newcomer.takes(reader));
    EXPECT_EQ(newcomer.changes.back(), "-west");
    EXPECT_EQ(newcomer.changes.size(), 4U);
    reader.platform.stop();
    newcomer.platform.stop();
}

// A copy of the store may lack an evacuation, which the operators have not revoked, and have one
// that they revoked since.
TEST_F(PlatformStoreTest, tellsEvacuationsThatWereLostWithARestoreFromRevokedOnes)
{
    EvacuationObserver reader(loop, store.address(), true);
    ASSERT_TRUE(store.respond("/rows-get?table=op", 200,
                              rows(configurationRow(16, 90) + "," + evacuationRow("east", 80), 90),
                              1));
    ASSERT_TRUE(runUntil(loop, [&] { return reader.batches >= 1; }));
    EvacuationObserver newcomer(loop, store.address(), false);
    EXPECT_TRUE(newcomer.takes(reader));
    ASSERT_TRUE(store.respond("/rows-feed?table=op", 410, "{}", 2));
    ASSERT_TRUE(store.respond("/rows-get?table=op", 200,
                              rows(configurationRow(16, 50) + "," + evacuationRow("west", 40), 60),
                              2));
    ASSERT_TRUE(runUntil(loop, [&] { return reader.batches >= 2; }));
    EXPECT_EQ(reader.changes, (Strings{"+east", "?east", "+west"}));
    EXPECT_TRUE(newcomer.takes(reader));
    EXPECT_EQ(newcomer.changes, (Strings{"+east", "?east", "+west"}));
    // Written again, then revoked.
    ASSERT_TRUE(
        store.respond("/rows-feed?table=op&after=60", 200, rows(evacuationRow("east", 61), 61), 2));
    ASSERT_TRUE(store.respond("/rows-feed?table=op&after=61", 200,
                              rows(evacuationDeletion("east", 62), 62), 2));
    ASSERT_TRUE(runUntil(loop, [&] { return reader.batches >= 4; }));
    EXPECT_EQ(reader.changes, (Strings{"+east", "?east", "+west", "+east", "-east"}));
    reader.platform.stop();
    newcomer.platform.stop();
}

// The store compares with a version that it may have given out again.
TEST_F(PlatformStoreTest, takesNoWriteThatExpectsAVersionOfAnotherEraForDone)
{
    StorePlatform platform(loop, store.address());
    EntryPlatform::Hooks hooks;
    hooks.onStoreRestored = [](StoreEra) {};
    platform.start(hooks);
    platform.setFollowing(false);
    LeaseRow row{InstanceId("a"), Incarnation(1), FencingToken(1), Version(4), StoreEra(0)};
    std::vector<EntryPlatform::WriteOutcome> outcomes;
    const auto record = [&outcomes](EntryPlatform::WriteOutcome outcome, Version) {
        outcomes.push_back(outcome);
    };
    platform.writeLease(row, record);
    ASSERT_TRUE(store.respond("/rows-tx", 200, R"({"ver":5,"now_ms":1})", 1));
    ASSERT_TRUE(runUntil(loop, [&outcomes] { return outcomes.size() == 1; }));
    EXPECT_EQ(outcomes[0], EntryPlatform::WriteOutcome::Failed);
    // From now on such a write is not even sent.
    platform.writeLease(row, record);
    ASSERT_TRUE(runUntil(loop, [&outcomes] { return outcomes.size() == 2; }));
    EXPECT_EQ(outcomes[1], EntryPlatform::WriteOutcome::Failed);
    EXPECT_FALSE(store.respond("/rows-tx", 200, R"({"ver":5,"now_ms":1})", 1));
}

// The grace period of entries counts from the last call that failed, not from the first: a server
// whose entry was lost in a long outage needs it after the outage.
TEST(TableFollowerTest, reportsEachFailedCall)
{
    TableSource source;
    std::function<void()> next;
    bool isAvailable = false;
    const auto respond = [&isAvailable](const TableSource::ReadHook &done) {
        StoreReadResult result;
        result.version = Version(1);
        if (isAvailable)
            result.status = StoreReadResult::Status::Ok;
        done(result);
    };
    int polls = 0;
    source.readRows
        = [&](const std::string &, const TableSource::ReadHook &done) { respond(done); };
    source.pollChanges
        = [&](Version, std::chrono::milliseconds, const TableSource::ReadHook &done) {
              if (!isAvailable || polls++ == 0)
                  respond(done);
          };
    source.schedule = [&next](std::chrono::milliseconds, std::function<void()> action) {
        next = std::move(action);
    };
    source.now = [] { return Instant(); };
    int failures = 0;
    int changes = 0;
    TableFollower follower(source, std::chrono::milliseconds(1),
                           {[](const StoreRow &) {}, [] {},
                            [&](bool, const std::string &) { ++changes; }, [&] { ++failures; }});
    follower.start();
    for (int i = 1; i < 5; ++i) {
        EXPECT_EQ(failures, i);
        std::exchange(next, nullptr)();
    }
    isAvailable = true;
    std::exchange(next, nullptr)();
    EXPECT_EQ(failures, 5);
    EXPECT_EQ(changes, 2);
}
