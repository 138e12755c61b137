// Copies of one table at several gateways: random changes, restarts, cuts, dropped histories,
// restores and hand-overs on a virtual clock.
#include "FakeTableStore.h"

#include <gtest/gtest.h>

#include <random>

using namespace quetzalyoke;
using namespace quetzalyoke::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t gatewayCount = 4;
constexpr std::size_t readPartSize = 3; // rows in a response, so that reads take several
constexpr auto callTimeout = 1000ms;
constexpr auto maxLatency = 30ms;

class Fleet
{
public:
    explicit Fleet(unsigned seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < gatewayCount; ++i)
            start(i);
    }

    void step()
    {
        act();
        run(std::chrono::milliseconds(number(60)));
    }
    /// Ends all disruptions and lets every gateway read the store.
    void settle()
    {
        for (Gateway &it : m_gateways) {
            it.isCut = false;
            it.follower->resume();
        }
        run(12s);
    }
    void checkThatAllAreCurrent() const
    {
        for (std::size_t i = 0; i < gatewayCount; ++i)
            EXPECT_EQ(rowsOf(i), m_store.rows()) << "gateway " << i;
    }

private:
    struct Gateway
    {
        std::unique_ptr<TableFollower> follower;
        int incarnation = 0;
        bool isCut = false; // from the store
    };

    int number(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(m_random); }
    std::string anyKey() { return std::string(1, static_cast<char>('a' + number(8))); }
    Duration latency()
    {
        return std::chrono::milliseconds(1 + number(static_cast<int>(maxLatency.count())));
    }
    void run(Duration time)
    {
        m_loop.runFor(time, [this] { checkStatedVersions(); });
        checkStatedVersions();
    }

    void act()
    {
        const std::size_t i = static_cast<std::size_t>(number(gatewayCount));
        Gateway &gateway = m_gateways[i];
        switch (number(24)) {
        case 0:
            m_store.dropHistory();
            break;
        case 1:
            m_store.saveCopy();
            break;
        case 2:
            if (number(3) == 0)
                m_store.restore();
            break;
        case 3:
            start(i);
            break;
        case 4:
            gateway.isCut = true;
            break;
        case 5:
        case 6:
            gateway.isCut = false;
            break;
        case 7:
            gateway.follower->pause();
            break;
        case 8:
            gateway.follower->resume();
            break;
        case 9:
            if (number(2) == 0)
                gateway.follower->restart();
            else
                gateway.follower->confirmNow([](bool) {});
            break;
        case 10:
        case 11:
            m_store.touchOtherTable();
            break;
        case 12:
        case 13:
        case 14:
        case 15:
            m_store.remove(anyKey());
            break;
        case 16:
        case 17:
        case 18:
        case 19:
            m_store.put(anyKey());
            break;
        default:
            handOver(static_cast<std::size_t>(number(gatewayCount)), i);
        }
    }

    void start(std::size_t i)
    {
        Gateway &gateway = m_gateways[i];
        ++gateway.incarnation;
        gateway.follower = std::make_unique<TableFollower>(
            sourceOf(i, gateway.incarnation), 50ms,
            TableFollower::Hooks{[](const StoreRow &) {}, [] {}, [](bool, const std::string &) {}});
        gateway.follower->start();
    }

    TableSource sourceOf(std::size_t i, int incarnation)
    {
        TableSource source;
        source.now = [this] { return m_loop.now(); };
        const auto isAlive
            = [this, i, incarnation] { return m_gateways[i].incarnation == incarnation; };
        const auto answer = [this, i, isAlive](const TableSource::ReadHook &done) {
            return [this, i, isAlive, done](const StoreReadResult &result) {
                m_loop.after(latency(), [this, i, isAlive, result, done] {
                    if (isAlive())
                        done(m_gateways[i].isCut ? StoreReadResult() : result);
                });
            };
        };
        const auto call
            = [this, i, isAlive](std::function<void()> action, const TableSource::ReadHook &done) {
                  m_loop.after(latency(), [this, i, isAlive, action = std::move(action), done] {
                      if (!m_gateways[i].isCut) {
                          action();
                          return;
                      }
                      m_loop.after(callTimeout, [isAlive, done] {
                          if (isAlive())
                              done(StoreReadResult());
                      });
                  });
              };
        source.readRows = [this, answer, call](const std::string &from,
                                               const TableSource::ReadHook &done) {
            call([this, from, reply = answer(done)] { reply(m_store.read(from, readPartSize)); },
                 done);
        };
        source.pollChanges = [this, answer, call](Version since, std::chrono::milliseconds wait,
                                                  const TableSource::ReadHook &done) {
            call([this, since, wait, reply = answer(done)] { m_store.poll(since, wait, reply); },
                 done);
        };
        source.schedule
            = [this, isAlive](std::chrono::milliseconds delay, std::function<void()> action) {
                  m_loop.after(delay, [isAlive, action = std::move(action)] {
                      if (isAlive())
                          action();
                  });
              };
        return source;
    }

    // The receiver's request, the other gateway's response and their delays.
    void handOver(std::size_t from, std::size_t to)
    {
        const int incarnation = m_gateways[to].incarnation;
        const TableVersion known = m_gateways[to].follower->copy().version();
        m_loop.after(latency(), [this, from, to, known, incarnation] {
            const TableFollower &sender = *m_gateways[from].follower;
            const TableChanges changes = sender.copy().changesSince(known);
            const Instant confirmedAt = sender.confirmedAt();
            m_loop.after(latency(), [this, to, changes, confirmedAt, incarnation] {
                Gateway &receiver = m_gateways[to];
                if (receiver.incarnation != incarnation)
                    return;
                TableCopy &copy = receiver.follower->copy();
                EXPECT_TRUE(copy.applyPeerChanges(changes));
                if (changes.newest.version.count() > 0 && !copy.version().isBehind(changes.newest))
                    receiver.follower->confirm(confirmedAt);
            });
        });
    }

    FakeTableStore::Rows rowsOf(std::size_t i) const
    {
        FakeTableStore::Rows rows;
        for (const auto &[key, row] : m_gateways[i].follower->copy().rows())
            rows[key] = row.version;
        return rows;
    }

    // Who states a version holds exactly the store's rows at that version.
    void checkStatedVersions() const
    {
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            const Version stated = m_gateways[i].follower->copy().version().version;
            if (stated.count() == 0)
                continue;
            const FakeTableStore::Rows *expected = m_store.rowsAt(stated);
            ASSERT_TRUE(expected) << "gateway " << i << " states " << stated.count();
            ASSERT_EQ(rowsOf(i), *expected) << "gateway " << i << " states " << stated.count();
            // A response with changes counts as of its arrival.
            const Instant known = m_gateways[i].follower->confirmedAt() - maxLatency;
            ASSERT_GE(stated, m_store.lastChangeBefore(known))
                << "gateway " << i << " takes its rows for current";
        }
    }

    VirtualLoop m_loop;
    FakeTableStore m_store{m_loop};
    std::mt19937 m_random;
    std::array<Gateway, gatewayCount> m_gateways;
};

} // namespace

// Guards against a server or key that stays in use since its deletion was not handed on (DRAIN).
TEST(TableHandOverScheduleTest, whoStatesAVersionHasExactlyItsRows)
{
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Fleet fleet(seed);
        for (int i = 0; i < 150 && !HasFatalFailure(); ++i)
            fleet.step();
        fleet.settle();
        fleet.checkThatAllAreCurrent();
        if (HasFailure())
            return;
    }
}
