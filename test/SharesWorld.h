#ifndef QUETZALYOKE_TEST_SHARESWORLD_H
#define QUETZALYOKE_TEST_SHARESWORLD_H

#include "SharesFleet.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace quetzalyoke::test {

using namespace std::chrono_literals;

/// \brief Gateways, their table and the network between them on a virtual clock, with faults drawn
/// from a seed. What breaks a promise is noted in \c violations.
class World
{
public:
    World(unsigned seed, const Plan &plan) : m_plan(plan), m_random(seed)
    {
        m_entries[account] = {account, rate, burst, 0};
        for (int i = 0; i < keyCount; ++i)
            table.commit({keyName(i), keyValue(i, false), Version()});
        commitConfiguration();
        m_gateways.resize(static_cast<std::size_t>(plan.gateways) + 1);
        m_frozenUntil.resize(m_gateways.size());
        m_incarnations.resize(m_gateways.size());
        for (int i = 0; i < plan.gateways; ++i)
            start(i);
        if (plan.faults) {
            at(pick(500ms, 8s), [this] { start(m_plan.gateways); });
            at(pick(0s, 1s), [this] { breakSomething(); });
        }
        at(1s, [this] { operate(); });
    }

    void run()
    {
        while (!m_events.empty() && m_events.begin()->first.first < Instant(m_plan.length)) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key().first;
            event.mapped()();
        }
    }

    FakeTable table;
    std::vector<std::string> violations;
    std::int64_t delivered = 0;
    std::int64_t accepted = 0;
    std::int64_t acknowledged = 0;
    std::int64_t refusedStale = 0;
    std::function<void(int gateway)> traffic = [this](int gateway) { randomTraffic(gateway); };

    Instant now() const { return m_now; }
    std::mt19937_64 &random() { return m_random; }
    Gateway *gateway(int number) { return m_gateways[static_cast<std::size_t>(number)].get(); }
    bool chance(double p) { return std::bernoulli_distribution(p)(m_random); }
    Duration pick(Duration least, Duration most)
    {
        return Duration(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    }
    void after(Duration wait, std::function<void()> run)
    {
        at(m_now - Instant() + wait, std::move(run));
    }

    // Hands out tokens where the gateway's own rules let it, and checks them over all gateways.
    Duration charge(int number, Tokens n)
    {
        const Duration wait = gateway(number)->shares.charge(account, n, m_now);
        if (wait > Duration::zero())
            return wait;
        delivered += n.count();
        const double elapsed = std::chrono::duration<double>(m_now - m_filledAt).count();
        m_filledAt = m_now;
        m_level = std::min<double>(static_cast<double>(burst.count()),
                                   m_level + elapsed * static_cast<double>(rate.count()));
        m_level -= static_cast<double>(n.count());
        if (m_level < -0.01)
            violations.push_back("a window got more than rate and burst");
        return wait;
    }

    void borrow(int number)
    {
        Gateway &own = *gateway(number);
        for (const auto &[id, n] : own.shares.missing(m_now)) {
            const auto lenders = own.planner.lenders(id, m_now);
            if (lenders.empty())
                continue;
            const int lender = std::stoi(lenders.front().text().substr(1));
            const Instant startedAt = m_now;
            call(number, lender,
                 [this, number, lender, n = n, startedAt]() -> std::function<void()> {
                     const Tokens granted = gateway(lender)->shares.lend(account, n, m_now);
                     return [this, number, granted, startedAt] {
                         gateway(number)->shares.borrow(account, granted, startedAt);
                     };
                 });
        }
    }

private:
    void at(Duration time, std::function<void()> run)
    {
        m_events.emplace(std::pair(Instant(time), m_order++), std::move(run));
    }

    // A process: the gateway's number and which of its incarnations.
    using Identity = std::pair<int, int>;

    Identity identity(int number) const
    {
        return {number, m_incarnations[static_cast<std::size_t>(number)]};
    }
    bool isAlive(const Identity &process)
    {
        return gateway(process.first) != nullptr && identity(process.first) == process;
    }

    // Runs on a process: late where it is frozen, never where it has died in between.
    void on(const Identity &process, Duration wait, std::function<void()> run)
    {
        after(wait, [this, process, run = std::move(run)] {
            if (!isAlive(process))
                return;
            const Instant until = m_frozenUntil[static_cast<std::size_t>(process.first)];
            if (until > m_now)
                on(process, until - m_now, run);
            else
                run();
        });
    }
    void on(int number, Duration wait, std::function<void()> run)
    {
        if (gateway(number) != nullptr)
            on(identity(number), wait, std::move(run));
    }

    Duration latency() { return chance(0.02) ? pick(10ms, 450ms) : pick(200us, 5ms); }

    bool isCut(int a, int b) const { return m_cuts.contains(std::minmax(a, b)); }

    // Runs \a serve on \a to; what it returns runs on \a from as the answer.
    void call(int from, int to, std::function<std::function<void()>()> serve)
    {
        if (isCut(from, to) || gateway(to) == nullptr)
            return;
        const Identity caller = identity(from);
        on(to, latency(), [this, caller, to, serve = std::move(serve)] {
            auto answer = serve();
            if (!isCut(caller.first, to))
                on(caller, latency(), std::move(answer));
        });
    }

    void start(int number)
    {
        const auto index = static_cast<std::size_t>(number);
        if (m_gateways[index])
            return;
        ++m_incarnations[index];
        m_frozenUntil[index] = m_now;
        m_gateways[index] = std::make_unique<Gateway>(number, m_incarnations[index], m_plan.limits,
                                                      m_plan.policy);
        gateway(number)->shares.configure(m_entries, m_now);
        poll(number);
        on(number, pick(0ms, 300ms), [this, number] { beat(number); });
        on(number, pick(0ms, 500ms), [this, number] { exchangeAll(number); });
        on(number, pick(0ms, 500ms), [this, number] { divide(number); });
        on(number, pick(0ms, 50ms), [this, number] { serve(number); });
    }

    void readTable(int number, std::function<void()> then)
    {
        if (table.out || isCut(number, tableNumber))
            return;
        const Instant startedAt = m_now;
        const Version known = gateway(number)->sync.state().version();
        const Identity reader = identity(number);
        after(latency(), [this, number, reader, known, startedAt, then = std::move(then)] {
            if (table.out)
                return;
            const auto rows = table.after(known);
            on(reader, latency(), [this, number, rows, startedAt, then] {
                gateway(number)->sync.onTableRead(rows, startedAt, m_now);
                publish(number);
                then();
            });
        });
    }

    void poll(int number)
    {
        readTable(number, [] {});
        on(number, 150ms, [this, number] { poll(number); });
    }

    enum class Result { Done, Conflict, NotSent, Unknown };

    // The answer may be lost, and the write may take effect long after its sender gave up.
    void commit(int number, const ConditionalWrite &write,
                const std::function<void(Result, Version)> &then)
    {
        if (table.out || isCut(number, tableNumber)) {
            on(number, 1ms, [then] { then(Result::NotSent, {}); });
            return;
        }
        const bool lost = m_plan.faults && chance(0.05);
        const Duration delay = lost && chance(0.5) ? pick(100ms, 1500ms) : latency();
        const Identity writer = identity(number);
        after(delay, [this, writer, write, lost, then] {
            const bool out = table.out;
            const auto version = out ? std::nullopt : table.commit(write);
            if (lost)
                return;
            const Result result = out ? Result::NotSent : version ? Result::Done : Result::Conflict;
            on(writer, latency(),
               [result, version, then] { then(result, version.value_or(Version())); });
        });
        if (lost)
            on(number, 50ms, [then] { then(Result::Unknown, {}); });
    }

    void beat(int number)
    {
        const Instant startedAt = m_now;
        commit(number, gateway(number)->sync.heartbeatWrite(false),
               [this, number, startedAt](Result result, Version) {
                   if (result == Result::Done)
                       gateway(number)->sync.onHeartbeatWritten(startedAt);
               });
        const auto removal = gateway(number)->sync.removalWrite(m_now);
        if (removal)
            commit(number, *removal, [](Result, Version) {});
        on(number, 400ms, [this, number] { beat(number); });
    }

    void exchangeAll(int number)
    {
        for (const MemberRow &it : gateway(number)->sync.others())
            exchange(number, std::stoi(it.instance.text().substr(1)));
        if (gateway(number)->sync.others().empty())
            exchange(number, 0); // as a seed from the settings
        on(number, 250ms, [this, number] { exchangeAll(number); });
    }

    void exchange(int from, int to)
    {
        if (from == to)
            return;
        const Instant startedAt = m_now;
        const Version known = gateway(from)->sync.state().version();
        const PeerStatus caller = gateway(from)->sync.status(m_now);
        call(from, to, [this, from, to, startedAt, known, caller]() -> std::function<void()> {
            gateway(to)->sync.onPeerCall(caller, m_now);
            PeerStatus status = gateway(to)->sync.status(m_now);
            status.demands = gateway(to)->shares.demands();
            const auto rows = gateway(to)->sync.state().rowsAfter(known);
            return [this, from, status, rows, startedAt] {
                gateway(from)->sync.onPeerAnswer(status, rows, startedAt, m_now);
                gateway(from)->planner.notePeer(status, m_now);
                publish(from);
            };
        });
    }

    void publish(int number)
    {
        Gateway &own = *gateway(number);
        own.publish(m_now);
        const Version configuration = own.sync.state().configurationVersion();
        if (configuration < own.configuration)
            violations.push_back("a configuration reverted");
        own.configuration = configuration;
    }

    void divide(int number)
    {
        Gateway &own = *gateway(number);
        own.shares.measureDemand(m_now);
        for (const ShareWrite &it :
             own.planner.plan(own.sync, own.shares, m_entries, m_now, m_random)) {
            if (it.shrinkTo)
                own.shares.beginShrink(it.account, *it.shrinkTo, it.expected, m_now);
            commit(number, it.toWrite(), [this, number, it](Result result, Version) {
                if (it.shrinkTo && (result == Result::Conflict || result == Result::NotSent))
                    gateway(number)->shares.cancelShrink(it.account, m_now);
            });
        }
        on(number, 300ms, [this, number] { divide(number); });
    }

    void serve(int number)
    {
        Gateway &own = *gateway(number);
        own.shares.setFreshUntil(own.sync.freshUntil(m_now));
        traffic(number);
        borrow(number);
        on(number, pick(5ms, 90ms), [this, number] { serve(number); });
    }

    void randomTraffic(int number)
    {
        // Answers under way go on, fresh or not; now and then a flood, so the bound is reached.
        const bool flood = chance(0.3);
        const Tokens n(std::uniform_int_distribution(1, 12)(m_random));
        while (charge(number, n) == Duration::zero() && flood)
            continue;
        const Gateway &own = *gateway(number);
        if (!own.sync.isFresh(m_now)) {
            ++refusedStale;
            return;
        }
        const int key = std::uniform_int_distribution(0, keyCount - 1)(m_random);
        const auto record = own.sync.state().findKey(KeyId(std::to_string(key)));
        if (record && !record->withdrawn) {
            ++accepted;
            if (m_withdrawnAt.contains(key))
                violations.push_back("a withdrawn key was accepted after the acknowledgement");
        }
        if (own.configuration < m_configurationInForce)
            violations.push_back("an acknowledged configuration was not in force");
    }

    void commitConfiguration()
    {
        const auto it = table.rows.find(StateCache::configurationKey);
        const Version expected = it == table.rows.end() ? Version() : it->second.version;
        table.commit({StateCache::configurationKey,
                      ConfigurationPointer{"text", "operator", {}}.toJson(), expected});
    }

    // Operators race: each changes a key or the configuration through any gateway.
    void operate()
    {
        after(pick(100ms, 1200ms), [this] { operate(); });
        const int number = std::uniform_int_distribution(0, m_plan.gateways)(m_random);
        if (gateway(number) != nullptr)
            on(number, 0ms, [this, number] { change(number); });
    }

    void change(int number)
    {
        const GatewaySync &sync = gateway(number)->sync;
        if (!sync.mayAccept(m_now))
            return;
        const int key = std::uniform_int_distribution(0, keyCount * 2)(m_random);
        const bool isKey = key < keyCount;
        const std::string name = isKey ? keyName(key) : StateCache::configurationKey;
        const std::string value
            = isKey ? keyValue(key, true) : ConfigurationPointer{"text", "operator", {}}.toJson();
        const auto row = table.rows.find(name);
        const ConditionalWrite write{name, value, row->second.version};
        commit(number, write, [this, number, isKey, key](Result result, Version version) {
            if (result != Result::Done)
                return;
            readTable(number, [this, number, isKey, key, version] {
                const auto change = gateway(number)->sync.confirm(version, m_now);
                if (change)
                    awaitInForce(number, *change, isKey ? key : -1);
            });
        });
    }

    void awaitInForce(int number, const GatewaySync::AcceptedChange &change, int key)
    {
        if (!gateway(number)->sync.isInForce(change, m_now)) {
            on(number, 50ms, [this, number, change, key] { awaitInForce(number, change, key); });
            return;
        }
        ++acknowledged;
        if (key >= 0)
            m_withdrawnAt.emplace(key, m_now);
        else
            m_configurationInForce = std::max(m_configurationInForce, change.version);
    }

    void breakSomething()
    {
        after(pick(50ms, 1500ms), [this] { breakSomething(); });
        const int number = std::uniform_int_distribution(0, m_plan.gateways)(m_random);
        const auto index = static_cast<std::size_t>(number);
        const int other = std::uniform_int_distribution(0, m_plan.gateways)(m_random);
        switch (std::uniform_int_distribution(0, 5)(m_random)) {
        case 0:
            m_frozenUntil[index] = m_now + pick(50ms, 4500ms);
            break;
        case 1:
            m_gateways[index] = nullptr;
            after(pick(10ms, 3s), [this, number] { start(number); });
            break;
        case 2:
            cut(number, tableNumber, pick(100ms, 6s));
            break;
        case 3:
            cut(number, other, pick(100ms, 4500ms));
            break;
        case 4:
            table.out = true;
            after(pick(100ms, 3500ms), [this] { table.out = false; });
            break;
        default:
            break;
        }
    }

    void cut(int a, int b, Duration length)
    {
        const std::pair<int, int> link = std::minmax(a, b);
        if (a == b || !m_cuts.insert(link).second)
            return;
        after(length, [this, link] { m_cuts.erase(link); });
    }

    static constexpr int tableNumber = 1000;

    const Plan m_plan;
    std::mt19937_64 m_random;
    Instant m_now;
    std::map<std::pair<Instant, std::int64_t>, std::function<void()>> m_events; // by time, order
    std::int64_t m_order = 0;
    std::map<AccountId, AccountEntry> m_entries;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<Instant> m_frozenUntil;
    std::vector<int> m_incarnations;
    std::set<std::pair<int, int>> m_cuts;
    std::map<int, Instant> m_withdrawnAt; // keys whose withdrawal has been acknowledged
    Version m_configurationInForce;
    double m_level = static_cast<double>(burst.count()); // of one bucket for the whole fleet
    Instant m_filledAt;
};

} // namespace quetzalyoke::test

#endif
