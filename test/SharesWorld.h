#ifndef QUETZALYOKE_TEST_SHARESWORLD_H
#define QUETZALYOKE_TEST_SHARESWORLD_H

#include "SharesFleet.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace quetzalyoke::test {

using namespace std::chrono_literals;

/// \brief Simulates gateways, their table and the network between them on a virtual clock, with
/// random faults from a seed. Violated guarantees are recorded in \c violations.
class SharesSimulation
{
public:
    SharesSimulation(unsigned seed, const SimulationSettings &settings)
        : m_settings(settings), m_random(seed)
    {
        m_entries[testAccount] = {testAccount, testRate, testBurst, 0};
        for (int i = 0; i < keyCount; ++i)
            table.commit({keyRowName(i), keyRowValue(i, false), Version()});
        commitConfiguration();
        m_gateways.resize(static_cast<std::size_t>(settings.gatewayCount) + 1);
        m_frozenUntil.resize(m_gateways.size());
        m_incarnations.resize(m_gateways.size());
        for (int i = 0; i < settings.gatewayCount; ++i)
            start(i);
        if (settings.injectFaults) {
            scheduleAt(randomDuration(500ms, 8s), [this] { start(m_settings.gatewayCount); });
            scheduleAt(randomDuration(0s, 1s), [this] { injectFault(); });
        }
        scheduleAt(1s, [this] { scheduleOperatorChanges(); });
    }

    void run()
    {
        while (!m_events.empty() && m_events.begin()->first.first < Instant(m_settings.duration)) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key().first;
            event.mapped()();
        }
    }

    SimulatedTable table;
    std::vector<std::string> violations;
    std::int64_t chargedTokens = 0;
    std::int64_t acceptedRequests = 0;
    std::int64_t acknowledgedChanges = 0;
    std::int64_t rejectedWhileStale = 0;
    std::function<void(int gateway)> generateTraffic
        = [this](int gateway) { generateRandomTraffic(gateway); };

    Instant now() const { return m_now; }
    std::mt19937_64 &random() { return m_random; }
    SimulatedGateway *gateway(int number)
    {
        return m_gateways[static_cast<std::size_t>(number)].get();
    }
    bool chance(double p) { return std::bernoulli_distribution(p)(m_random); }
    Duration randomDuration(Duration least, Duration most)
    {
        return Duration(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    }
    void scheduleAfter(Duration wait, std::function<void()> run)
    {
        scheduleAt(m_now - Instant() + wait, std::move(run));
    }

    // Charges tokens if the gateway allows it, and checks the total over all gateways against the
    // quota.
    Duration charge(int number, Tokens n)
    {
        const Duration wait = gateway(number)->shares.charge(testAccount, n, m_now);
        if (wait > Duration::zero())
            return wait;
        chargedTokens += n.count();
        const double elapsed = std::chrono::duration<double>(m_now - m_filledAt).count();
        m_filledAt = m_now;
        m_level = std::min<double>(static_cast<double>(testBurst.count()),
                                   m_level + elapsed * static_cast<double>(testRate.count()));
        m_level -= static_cast<double>(n.count());
        if (m_level < -0.01)
            violations.push_back("a time window received more than rate and burst");
        return wait;
    }

    void borrow(int number)
    {
        SimulatedGateway &own = *gateway(number);
        for (const auto &[id, n] : own.shares.tokenShortages(m_now)) {
            const auto lenders = own.planner.possibleLenders(id, m_now);
            if (lenders.empty())
                continue;
            const int lender = std::stoi(lenders.front().text().substr(1));
            const Instant startedAt = m_now;
            call(number, lender,
                 [this, number, lender, n = n, startedAt]() -> std::function<void()> {
                     const Tokens granted = gateway(lender)->shares.lend(testAccount, n, m_now);
                     return [this, number, granted, startedAt] {
                         gateway(number)->shares.borrow(testAccount, granted, startedAt);
                     };
                 });
        }
    }

private:
    void scheduleAt(Duration time, std::function<void()> run)
    {
        m_events.emplace(std::pair(Instant(time), m_nextEventNumber++), std::move(run));
    }

    // A process, identified by the gateway's number and its incarnation.
    using ProcessIdentity = std::pair<int, int>;

    ProcessIdentity identityOf(int number) const
    {
        return {number, m_incarnations[static_cast<std::size_t>(number)]};
    }
    bool isAlive(const ProcessIdentity &process)
    {
        return gateway(process.first) != nullptr && identityOf(process.first) == process;
    }

    // Runs a function on a process: later if the process is frozen, never if it has ended before.
    void scheduleOn(const ProcessIdentity &process, Duration wait, std::function<void()> run)
    {
        scheduleAfter(wait, [this, process, run = std::move(run)] {
            if (!isAlive(process))
                return;
            const Instant until = m_frozenUntil[static_cast<std::size_t>(process.first)];
            if (until > m_now)
                scheduleOn(process, until - m_now, run);
            else
                run();
        });
    }
    void scheduleOn(int number, Duration wait, std::function<void()> run)
    {
        if (gateway(number) != nullptr)
            scheduleOn(identityOf(number), wait, std::move(run));
    }

    Duration latency()
    {
        return chance(0.02) ? randomDuration(10ms, 450ms) : randomDuration(200us, 5ms);
    }

    bool isPartitioned(int a, int b) const { return m_partitions.contains(std::minmax(a, b)); }

    // Runs \a serve on \a to. The function that it returns runs on \a from as the response.
    void call(int from, int to, std::function<std::function<void()>()> serve)
    {
        if (isPartitioned(from, to) || gateway(to) == nullptr)
            return;
        const ProcessIdentity caller = identityOf(from);
        scheduleOn(to, latency(), [this, caller, to, serve = std::move(serve)] {
            auto response = serve();
            if (!isPartitioned(caller.first, to))
                scheduleOn(caller, latency(), std::move(response));
        });
    }

    void start(int number)
    {
        const auto index = static_cast<std::size_t>(number);
        if (m_gateways[index])
            return;
        ++m_incarnations[index];
        m_frozenUntil[index] = m_now;
        m_gateways[index] = std::make_unique<SimulatedGateway>(
            number, m_incarnations[index], m_settings.timeouts, m_settings.policy);
        gateway(number)->shares.configure(m_entries, m_now);
        poll(number);
        scheduleOn(number, randomDuration(0ms, 300ms), [this, number] { writeHeartbeat(number); });
        scheduleOn(number, randomDuration(0ms, 500ms), [this, number] { exchangeAll(number); });
        scheduleOn(number, randomDuration(0ms, 500ms), [this, number] { planShares(number); });
        scheduleOn(number, randomDuration(0ms, 50ms), [this, number] { serve(number); });
    }

    void readTable(int number, std::function<void()> callback)
    {
        if (table.isUnavailable || isPartitioned(number, tableNumber))
            return;
        const Instant startedAt = m_now;
        const Version knownVersion = gateway(number)->view.state().version();
        const ProcessIdentity reader = identityOf(number);
        scheduleAfter(
            latency(),
            [this, number, reader, knownVersion, startedAt, callback = std::move(callback)] {
                if (table.isUnavailable)
                    return;
                const auto rows = table.rowsAfter(knownVersion);
                scheduleOn(reader, latency(), [this, number, rows, startedAt, callback] {
                    gateway(number)->view.onTableRead(rows, startedAt, m_now);
                    applyState(number);
                    callback();
                });
            });
    }

    void poll(int number)
    {
        readTable(number, [] {});
        scheduleOn(number, 150ms, [this, number] { poll(number); });
    }

    enum class CommitResult { Done, Conflict, NotSent, Unknown };

    // The response may be lost, and the write may take effect long after its sender's timeout.
    void commit(int number, const ConditionalWrite &write,
                const std::function<void(CommitResult, Version)> &callback)
    {
        if (table.isUnavailable || isPartitioned(number, tableNumber)) {
            scheduleOn(number, 1ms, [callback] { callback(CommitResult::NotSent, {}); });
            return;
        }
        const bool isLost = m_settings.injectFaults && chance(0.05);
        const Duration delay = isLost && chance(0.5) ? randomDuration(100ms, 1500ms) : latency();
        const ProcessIdentity writer = identityOf(number);
        scheduleAfter(delay, [this, writer, write, isLost, callback] {
            const bool tableUnavailable = table.isUnavailable;
            const auto version = tableUnavailable ? std::nullopt : table.commit(write);
            if (isLost)
                return;
            const CommitResult result = tableUnavailable ? CommitResult::NotSent
                : version                                ? CommitResult::Done
                                                         : CommitResult::Conflict;
            scheduleOn(writer, latency(), [result, version, callback] {
                callback(result, version.value_or(Version()));
            });
        });
        if (isLost)
            scheduleOn(number, 50ms, [callback] { callback(CommitResult::Unknown, {}); });
    }

    void writeHeartbeat(int number)
    {
        const Instant startedAt = m_now;
        commit(number, gateway(number)->view.heartbeatWrite(false),
               [this, number, startedAt](CommitResult result, Version) {
                   if (result == CommitResult::Done)
                       gateway(number)->view.onHeartbeatWritten(startedAt);
               });
        const auto removal = gateway(number)->view.memberRemovalWrite(m_now);
        if (removal)
            commit(number, *removal, [](CommitResult, Version) {});
        scheduleOn(number, 400ms, [this, number] { writeHeartbeat(number); });
    }

    void exchangeAll(int number)
    {
        for (const MemberRow &it : gateway(number)->view.activePeers())
            exchange(number, std::stoi(it.instance.text().substr(1)));
        if (gateway(number)->view.activePeers().empty())
            exchange(number, 0); // gateway 0 acts as the peer from the settings
        scheduleOn(number, 250ms, [this, number] { exchangeAll(number); });
    }

    void exchange(int from, int to)
    {
        if (from == to)
            return;
        const Instant startedAt = m_now;
        const Version knownVersion = gateway(from)->view.state().version();
        const PeerStatus caller = gateway(from)->view.status(m_now);
        call(from, to,
             [this, from, to, startedAt, knownVersion, caller]() -> std::function<void()> {
                 gateway(to)->view.onPeerCall(caller, m_now);
                 PeerStatus status = gateway(to)->view.status(m_now);
                 status.demands = gateway(to)->shares.demands();
                 const auto rows = gateway(to)->view.state().rowsAfter(knownVersion);
                 return [this, from, status, rows, startedAt] {
                     gateway(from)->view.onPeerResponse(status, rows, startedAt, m_now);
                     gateway(from)->planner.updatePeer(status, m_now);
                     applyState(from);
                 };
             });
    }

    void applyState(int number)
    {
        SimulatedGateway &own = *gateway(number);
        own.applyShares(m_now);
        const Version configuration = own.view.state().configurationVersion();
        if (configuration < own.appliedConfiguration)
            violations.push_back("a configuration reverted");
        own.appliedConfiguration = configuration;
    }

    void planShares(int number)
    {
        SimulatedGateway &own = *gateway(number);
        own.shares.measureDemand(m_now);
        for (const ShareWrite &it :
             own.planner.planWrites(own.view, own.shares, m_entries, m_now, m_random)) {
            if (it.shrinkTo)
                own.shares.beginShrink(it.account, *it.shrinkTo, it.expectedVersion, m_now);
            commit(number, it.toConditionalWrite(),
                   [this, number, it](CommitResult result, Version) {
                       if (it.shrinkTo
                           && (result == CommitResult::Conflict || result == CommitResult::NotSent))
                           gateway(number)->shares.cancelShrink(it.account, m_now);
                   });
        }
        scheduleOn(number, 300ms, [this, number] { planShares(number); });
    }

    void serve(int number)
    {
        SimulatedGateway &own = *gateway(number);
        own.shares.setFreshUntil(own.view.freshUntil(m_now));
        generateTraffic(number);
        borrow(number);
        scheduleOn(number, randomDuration(5ms, 90ms), [this, number] { serve(number); });
    }

    void generateRandomTraffic(int number)
    {
        // Running responses continue to be charged, fresh or not. Occasional floods reach the
        // limit.
        const bool flood = chance(0.3);
        const Tokens n(std::uniform_int_distribution(1, 12)(m_random));
        while (charge(number, n) == Duration::zero() && flood)
            continue;
        const SimulatedGateway &own = *gateway(number);
        if (!own.view.isFresh(m_now)) {
            ++rejectedWhileStale;
            return;
        }
        const int key = std::uniform_int_distribution(0, keyCount - 1)(m_random);
        const auto record = own.view.state().findApiKey(ApiKeyId(std::to_string(key)));
        if (record && !record->withdrawn) {
            ++acceptedRequests;
            if (m_withdrawnAt.contains(key))
                violations.push_back("a withdrawn key was accepted after the acknowledgement");
        }
        if (own.appliedConfiguration < m_configurationInForce)
            violations.push_back("an acknowledged configuration was not in force");
    }

    void commitConfiguration()
    {
        const auto it = table.rows.find(StateCache::configurationRowKey);
        const Version expected = it == table.rows.end() ? Version() : it->second.version;
        table.commit({StateCache::configurationRowKey,
                      ConfigurationRow{"text", "operator", {}}.toJson(), expected});
    }

    // Concurrent operators each change a key or the configuration through a random gateway.
    void scheduleOperatorChanges()
    {
        scheduleAfter(randomDuration(100ms, 1200ms), [this] { scheduleOperatorChanges(); });
        const int number = std::uniform_int_distribution(0, m_settings.gatewayCount)(m_random);
        if (gateway(number) != nullptr)
            scheduleOn(number, 0ms, [this, number] { submitChange(number); });
    }

    void submitChange(int number)
    {
        const ClusterView &view = gateway(number)->view;
        if (!view.mayAcceptChanges(m_now))
            return;
        const int key = std::uniform_int_distribution(0, keyCount * 2)(m_random);
        const bool isKey = key < keyCount;
        const std::string name = isKey ? keyRowName(key) : StateCache::configurationRowKey;
        const std::string value
            = isKey ? keyRowValue(key, true) : ConfigurationRow{"text", "operator", {}}.toJson();
        const auto row = table.rows.find(name);
        const ConditionalWrite write{name, value, row->second.version};
        commit(number, write, [this, number, isKey, key](CommitResult result, Version version) {
            if (result != CommitResult::Done)
                return;
            readTable(number, [this, number, isKey, key, version] {
                const auto change = gateway(number)->view.confirmCommit(version, m_now);
                if (change)
                    waitUntilInForce(number, *change, isKey ? key : -1);
            });
        });
    }

    void waitUntilInForce(int number, const ClusterView::AcceptedChange &change, int key)
    {
        if (!gateway(number)->view.isEffectiveEverywhere(change, m_now)) {
            scheduleOn(number, 50ms,
                       [this, number, change, key] { waitUntilInForce(number, change, key); });
            return;
        }
        ++acknowledgedChanges;
        if (key >= 0)
            m_withdrawnAt.emplace(key, m_now);
        else
            m_configurationInForce = std::max(m_configurationInForce, change.version);
    }

    void injectFault()
    {
        scheduleAfter(randomDuration(50ms, 1500ms), [this] { injectFault(); });
        const int number = std::uniform_int_distribution(0, m_settings.gatewayCount)(m_random);
        const auto index = static_cast<std::size_t>(number);
        const int other = std::uniform_int_distribution(0, m_settings.gatewayCount)(m_random);
        switch (std::uniform_int_distribution(0, 5)(m_random)) {
        case 0:
            m_frozenUntil[index] = m_now + randomDuration(50ms, 4500ms);
            break;
        case 1:
            m_gateways[index] = nullptr;
            scheduleAfter(randomDuration(10ms, 3s), [this, number] { start(number); });
            break;
        case 2:
            partition(number, tableNumber, randomDuration(100ms, 6s));
            break;
        case 3:
            partition(number, other, randomDuration(100ms, 4500ms));
            break;
        case 4:
            table.isUnavailable = true;
            scheduleAfter(randomDuration(100ms, 3500ms), [this] { table.isUnavailable = false; });
            break;
        default:
            break;
        }
    }

    void partition(int a, int b, Duration length)
    {
        const std::pair<int, int> link = std::minmax(a, b);
        if (a == b || !m_partitions.insert(link).second)
            return;
        scheduleAfter(length, [this, link] { m_partitions.erase(link); });
    }

    static constexpr int tableNumber = 1000;

    const SimulationSettings m_settings;
    std::mt19937_64 m_random;
    Instant m_now;
    std::map<std::pair<Instant, std::int64_t>, std::function<void()>> m_events; // by time, number
    std::int64_t m_nextEventNumber = 0;
    std::map<AccountId, AccountEntry> m_entries;
    std::vector<std::unique_ptr<SimulatedGateway>> m_gateways;
    std::vector<Instant> m_frozenUntil;
    std::vector<int> m_incarnations;
    std::set<std::pair<int, int>> m_partitions;
    std::map<int, Instant> m_withdrawnAt; // keys whose withdrawal was acknowledged
    Version m_configurationInForce;
    double m_level = static_cast<double>(testBurst.count()); // of one bucket for all gateways
    Instant m_filledAt;
};

} // namespace quetzalyoke::test

#endif
