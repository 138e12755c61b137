// Gateways that get the state from the reader of their zone, on a virtual clock. Each disruption
// comes at every moment; the gateways without a disruption must know of a change in time.
#include "Apps/Entry/StateReplicator.h"
#include "FakePlatform.h"
#include "FakeTableStore.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace quetzalyoke::platform;
using namespace std::chrono_literals;

namespace {

// The platform's bounds for changes of the configuration and of servers.
constexpr auto applyTime = 2000ms;

constexpr auto linkLatency = 2ms;
constexpr auto tickInterval = 50ms;
constexpr auto peerMessageInterval = 100ms;
constexpr auto peerSilence = 1500ms;
constexpr auto pollTimeoutMargin = 600ms; // of StoreClient
constexpr auto readTimeout = 1000ms;
constexpr auto stallThreshold = 700ms;

enum class Disruption {
    None,
    CutFromStore, ///< Calls and responses are lost.
    CutOneWay, ///< Only the store's responses are lost.
    Rejected, ///< The store turns the calls away.
    Frozen,
    Slow, ///< Everything is 0.3 s late.
    CutThenFrozen,
    SlowThenCut,
};

const char *text(Disruption disruption)
{
    constexpr const char *texts[]
        = {"none", "cut from the store", "cut one way",   "rejected", "frozen",
           "slow", "cut, then frozen",   "slow, then cut"};
    return texts[static_cast<int>(disruption)];
}

struct Tables
{
    explicit Tables(VirtualLoop &loop) : operators(loop), servers(loop)
    {
        operators.put("config");
        for (const char *name : {"a", "b", "c"})
            servers.put(name);
    }
    FakeTableStore operators;
    FakeTableStore servers;
};

class Fleet;

// A gateway's platform: followers of both tables, and changes that are passed on as objects.
class VirtualPlatform : public FakePlatform
{
public:
    VirtualPlatform(TableSource operators, TableSource servers,
                    const std::function<void()> &onBatch)
        : m_operators(std::move(operators), 50ms, hooks(onBatch)),
          m_servers(std::move(servers), 250ms, hooks(onBatch))
    { }

    void start()
    {
        m_operators.start();
        m_servers.start();
    }
    void refresh() override
    {
        m_operators.restart();
        m_servers.restart();
    }
    bool isReachable() const override
    {
        return m_operators.isReachable() && m_servers.isReachable();
    }
    StateVersions versions() const override
    {
        return {m_operators.copy().version(), m_servers.copy().version(), Version()};
    }
    StateTimes confirmedAt() const override
    {
        return {m_operators.confirmedAt(), m_servers.confirmedAt()};
    }
    void setFollowing(bool isFollowing) override
    {
        for (auto *table : {&m_operators, &m_servers})
            isFollowing ? table->resume() : table->pause();
    }
    void setHasFollowers(bool hasFollowers) override
    {
        for (auto *table : {&m_operators, &m_servers})
            table->setPollWait(hasFollowers ? StateFreshness::readerPollWait
                                            : TableFollower::defaultPollWait);
    }
    std::string changesSince(const StateVersions &known) const override
    {
        passedOn().push_back({m_operators.copy().changesSince(known.operators),
                              m_servers.copy().changesSince(known.servers)});
        return std::to_string(passedOn().size() - 1);
    }
    bool applyChanges(const std::string &changes, const StateTimes &confirmedAt) override
    {
        const auto &[operators, servers] = passedOn().at(std::stoul(changes));
        return apply(operators, confirmedAt.operators, m_operators)
            && apply(servers, confirmedAt.servers, m_servers);
    }

    const TableCopy &operators() const { return m_operators.copy(); }
    const TableCopy &servers() const { return m_servers.copy(); }

private:
    using Both = std::pair<TableChanges, TableChanges>;

    static std::vector<Both> &passedOn()
    {
        static std::vector<Both> changes;
        return changes;
    }
    static TableFollower::Hooks hooks(const std::function<void()> &onBatch)
    {
        return {[](const StoreRow &) {}, onBatch, [](bool, const std::string &) {}};
    }
    static bool apply(const TableChanges &changes, Instant confirmedAt, TableFollower &table)
    {
        if (!table.copy().applyPeerChanges(changes))
            return false;
        if (changes.newest.version.count() > 0 && !table.copy().version().isBehind(changes.newest))
            table.confirm(confirmedAt);
        return true;
    }

    TableFollower m_operators;
    TableFollower m_servers;
};

struct Gateway
{
    InstanceId instance;
    ZoneName zone;
    bool isCutFromStore = false;
    bool losesResponses = false;
    bool isRejected = false;
    bool isFrozen = false;
    Duration delay{0}; // of everything that it does
    std::vector<std::function<void()>> deferred; // while it is frozen
    Instant frozenAt;
    std::unique_ptr<VirtualPlatform> platform;
    std::unique_ptr<StateReplicator> replicator;
    struct Heard
    {
        StatePeer peer;
        Instant at;
    };
    std::map<InstanceId, Heard> peers;
};

class Fleet
{
public:
    /// Zones of three gateways each.
    explicit Fleet(int zones)
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < 3; ++i) {
                m_gateways.push_back(std::make_unique<Gateway>());
                m_gateways.back()->instance
                    = InstanceId("z" + std::to_string(zone) + "-" + std::to_string(i));
                m_gateways.back()->zone = ZoneName("z" + std::to_string(zone));
            }
        }
        for (const auto &it : m_gateways)
            start(*it);
    }

    void runFor(Duration time) { m_loop.runFor(time); }
    Instant now() const { return m_loop.now(); }
    Tables &tables() { return m_tables; }
    const std::vector<std::unique_ptr<Gateway>> &gateways() const { return m_gateways; }
    /// Returns the gateways that read the store for others: the first of each zone.
    std::vector<Gateway *> readers() const
    {
        std::vector<Gateway *> readers;
        for (const auto &it : m_gateways) {
            if (it->instance.text().ends_with("-0"))
                readers.push_back(it.get());
        }
        return readers;
    }
    std::int64_t storeCalls() const { return m_storeCalls; }

    void disrupt(Gateway &gateway, Disruption disruption)
    {
        switch (disruption) {
        case Disruption::None:
            break;
        case Disruption::CutFromStore:
            gateway.isCutFromStore = true;
            break;
        case Disruption::CutOneWay:
            gateway.losesResponses = true;
            break;
        case Disruption::Rejected:
            gateway.isRejected = true;
            break;
        case Disruption::Frozen:
            freeze(gateway);
            break;
        case Disruption::Slow:
            gateway.delay = 300ms;
            break;
        case Disruption::CutThenFrozen:
            gateway.isCutFromStore = true;
            m_loop.after(1300ms, [this, &gateway] { freeze(gateway); });
            break;
        case Disruption::SlowThenCut:
            gateway.delay = 300ms;
            m_loop.after(400ms, [&gateway] { gateway.isCutFromStore = true; });
            break;
        }
    }
    void heal(Gateway &gateway)
    {
        gateway.isCutFromStore = gateway.losesResponses = gateway.isRejected = false;
        gateway.delay = Duration(0);
        if (!std::exchange(gateway.isFrozen, false))
            return;
        const bool isStall = m_loop.now() - gateway.frozenAt >= stallThreshold;
        for (const auto &action : std::exchange(gateway.deferred, {}))
            m_loop.after(Duration(0), action);
        if (!isStall)
            return;
        gateway.platform->refresh();
        gateway.replicator->onResumed();
    }

private:
    void freeze(Gateway &gateway)
    {
        gateway.isFrozen = true;
        gateway.frozenAt = m_loop.now();
    }

    // Runs \a action at \a gateway after \a delay, when it is not frozen.
    void at(Gateway &gateway, Duration delay, std::function<void()> action)
    {
        m_loop.after(delay + gateway.delay, [this, &gateway, action = std::move(action)] {
            if (gateway.isFrozen)
                gateway.deferred.push_back(action);
            else
                action();
        });
    }

    void start(Gateway &gateway)
    {
        gateway.platform = std::make_unique<VirtualPlatform>(
            sourceOf(gateway, m_tables.operators), sourceOf(gateway, m_tables.servers), [&gateway] {
                if (gateway.replicator)
                    gateway.replicator->onStateChanged();
            });
        gateway.replicator = std::make_unique<StateReplicator>(
            StateReplicator::Settings{gateway.instance, gateway.zone, 0.2}, *gateway.platform,
            hooksOf(gateway));
        gateway.platform->start();
        tick(gateway);
        sendPeerMessages(gateway);
    }

    void tick(Gateway &gateway)
    {
        gateway.replicator->tick();
        at(gateway, tickInterval, [this, &gateway] { tick(gateway); });
    }

    void sendPeerMessages(Gateway &gateway)
    {
        const StatePeer message{
            {gateway.instance, gateway.zone, true, gateway.replicator->followsStore(), 0.2},
            gateway.instance.text(),
            gateway.platform->versions()};
        for (const auto &it : m_gateways) {
            Gateway &other = *it;
            if (&other == &gateway)
                continue;
            at(other, linkLatency, [this, &other, message] {
                other.peers[message.candidate.instance] = {message, m_loop.now()};
            });
        }
        at(gateway, peerMessageInterval, [this, &gateway] { sendPeerMessages(gateway); });
    }

    StateReplicator::Hooks hooksOf(Gateway &gateway)
    {
        StateReplicator::Hooks hooks;
        hooks.now = [this] { return m_loop.now(); };
        hooks.random = [] { return 0.5; };
        hooks.onUncertain = [](Instant) {};
        hooks.peers = [this, &gateway] {
            std::vector<StatePeer> peers;
            for (const auto &[id, heard] : gateway.peers) {
                peers.push_back(heard.peer);
                peers.back().candidate.isAlive = m_loop.now() - heard.at < peerSilence;
            }
            return peers;
        };
        hooks.poll = hooks.fetch
            = [this, &gateway](const StatePeer &peer, const StateRequest &request,
                               std::chrono::milliseconds timeout,
                               StateReplicator::ResponseHook done) {
                  callPeer(gateway, peer, request, timeout, std::move(done));
              };
        return hooks;
    }

    void callPeer(Gateway &caller, const StatePeer &peer, const StateRequest &request,
                  std::chrono::milliseconds timeout, StateReplicator::ResponseHook done)
    {
        Gateway *callee = nullptr;
        for (const auto &it : m_gateways) {
            if (it->instance == peer.candidate.instance)
                callee = it.get();
        }
        const auto once = std::make_shared<StateReplicator::ResponseHook>(std::move(done));
        const auto finish = [once](const StateResponse &response) {
            if (auto hook = std::exchange(*once, nullptr))
                hook(response);
        };
        at(caller, timeout, [finish] { finish({0, {}, {}, "incomplete", true}); });
        const auto respond = [this, &caller, finish](const StateResponse &response) {
            // Ages cross the wire, times do not.
            const Instant sentAt = m_loop.now();
            at(caller, linkLatency, [this, finish, response, sentAt] {
                StateResponse received = response;
                received.confirmedAt.operators += m_loop.now() - sentAt;
                received.confirmedAt.servers += m_loop.now() - sentAt;
                finish(received);
            });
        };
        at(*callee, linkLatency,
           [callee, request, respond] { callee->replicator->handleRequest(request, respond); });
    }

    TableSource sourceOf(Gateway &gateway, FakeTableStore &table)
    {
        TableSource source;
        source.now = [this] { return m_loop.now(); };
        source.schedule
            = [this, &gateway](std::chrono::milliseconds delay, std::function<void()> action) {
                  at(gateway, delay, std::move(action));
              };
        source.readRows
            = [this, &gateway, &table](const std::string &from, TableSource::ReadHook done) {
                  callStore(gateway, readTimeout, std::move(done),
                            [&table, from](const auto &reply) { reply(table.read(from, 500)); });
              };
        source.pollChanges = [this, &gateway, &table](Version since, std::chrono::milliseconds wait,
                                                      TableSource::ReadHook done) {
            callStore(gateway, wait + pollTimeoutMargin, std::move(done),
                      [&table, since, wait](const auto &reply) { table.poll(since, wait, reply); });
        };
        return source;
    }

    void callStore(Gateway &gateway, std::chrono::milliseconds timeout, TableSource::ReadHook done,
                   std::function<void(const TableSource::ReadHook &)> call)
    {
        ++m_storeCalls;
        const auto once = std::make_shared<TableSource::ReadHook>(std::move(done));
        const auto finish = [once](const StoreReadResult &result) {
            if (auto hook = std::exchange(*once, nullptr))
                hook(result);
        };
        at(gateway, timeout, [finish] { finish(StoreReadResult()); });
        m_loop.after(linkLatency, [this, &gateway, finish, call = std::move(call)] {
            if (gateway.isCutFromStore)
                return;
            if (gateway.isRejected) {
                at(gateway, linkLatency, [finish] { finish(StoreReadResult()); });
                return;
            }
            call([this, &gateway, finish](const StoreReadResult &result) {
                if (gateway.isCutFromStore || gateway.losesResponses)
                    return;
                at(gateway, linkLatency, [finish, result] { finish(result); });
            });
        });
    }

    VirtualLoop m_loop;
    Tables m_tables{m_loop};
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::int64_t m_storeCalls = 0;
};

FakeTableStore::Rows rowsOf(const TableCopy &copy)
{
    FakeTableStore::Rows rows;
    for (const auto &[key, row] : copy.rows())
        rows[key] = row.version;
    return rows;
}

// Disrupts the readers of all zones at \a moment after the fleet has settled; \a delay later the
// operators change the configuration and a server is removed. Returns the number of gateways
// without a disruption that have not got both within the bound.
int lateGateways(int zones, Disruption disruption, Duration moment, Duration delay)
{
    Fleet fleet(zones);
    fleet.runFor(6s + moment);
    const std::vector<Gateway *> readers = fleet.readers();
    for (Gateway *reader : readers)
        fleet.disrupt(*reader, disruption);
    fleet.runFor(delay);
    fleet.tables().operators.put("config");
    fleet.tables().servers.remove("b");
    fleet.runFor(applyTime);
    int late = 0;
    for (const auto &gateway : fleet.gateways()) {
        if (std::count(readers.begin(), readers.end(), gateway.get()) > 0)
            continue;
        const bool isCurrent
            = rowsOf(gateway->platform->operators()) == fleet.tables().operators.rows()
            && rowsOf(gateway->platform->servers()) == fleet.tables().servers.rows();
        late += isCurrent ? 0 : 1;
    }
    for (Gateway *reader : readers)
        fleet.heal(*reader);
    fleet.runFor(9s);
    for (const auto &gateway : fleet.gateways()) {
        EXPECT_EQ(rowsOf(gateway->platform->servers()), fleet.tables().servers.rows())
            << gateway->instance.text() << " has not caught up";
        const bool isReader = std::count(readers.begin(), readers.end(), gateway.get()) > 0;
        EXPECT_EQ(gateway->replicator->followsStore(), isReader)
            << gateway->instance.text() << " has not got its source back";
    }
    return late;
}

class StateFreshnessScheduleTest : public ::testing::TestWithParam<Disruption>
{ };

} // namespace

// Guards against a withdrawn key or a leaving server that is in use at gateways whose reader no
// longer hears the store (CONFIG, DRAIN).
TEST_P(StateFreshnessScheduleTest, gatewaysInTouchKnowChangesInTimeAtEveryMoment)
{
    int runs = 0;
    for (const int zones : {1, 2}) {
        for (auto moment = 0ms; moment < 2000ms; moment += 50ms) {
            for (const auto delay : {1ms, 50ms, 700ms}) {
                ++runs;
                EXPECT_EQ(lateGateways(zones, GetParam(), moment, delay), 0)
                    << zones << " zones, disruption after " << moment.count() << " ms, change "
                    << delay.count() << " ms later";
            }
        }
    }
    std::printf("%d runs: %s\n", runs, text(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Disruptions, StateFreshnessScheduleTest,
                         ::testing::Values(Disruption::None, Disruption::CutFromStore,
                                           Disruption::CutOneWay, Disruption::Rejected,
                                           Disruption::Frozen, Disruption::Slow,
                                           Disruption::CutThenFrozen, Disruption::SlowThenCut));

// The calls of a quiet fleet: both tables at most every StateFreshness::readerPollWait a zone.
TEST(StateFreshnessTest, onlyTheReadersOfTheZonesCallTheStore)
{
    Fleet fleet(2);
    fleet.runFor(10s);
    const std::int64_t before = fleet.storeCalls();
    fleet.runFor(20s);
    EXPECT_LE(fleet.storeCalls() - before, 2 * 2 * (20'000 / 800 + 1));
}
