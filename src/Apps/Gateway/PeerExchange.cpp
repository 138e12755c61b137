#include "Apps/Gateway/PeerExchange.h"

#include "Adapters/EventLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/WireConversion.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds longestCall{400};
constexpr int freshnessPerCall = 4; // several rounds fit into the freshness
constexpr std::size_t mostLenders = 3; // asked for one loan

std::chrono::milliseconds callLimit(const GatewaySettings &settings)
{
    return std::min(longestCall, settings.freshness / freshnessPerCall);
}

} // namespace

PeerExchange::PeerExchange(const GatewaySettings &settings, SharedState &state,
                           AccountLimiter &limiter, CrashWatch &crashes)
    : m_settings(settings), m_state(state), m_limiter(limiter), m_crashes(crashes)
{ }

PeerStatus PeerExchange::status() const
{
    PeerStatus status = m_state.status(Process::now());
    status.leaving = m_leaving;
    status.demands = m_limiter.demands();
    return status;
}

std::shared_ptr<PeerExchange::Pool> PeerExchange::poolFor(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<Pool> &pool = m_pools[address];
    if (!pool) {
        const auto limit = callLimit(m_settings);
        pool
            = std::make_shared<Pool>(Address::parse(address), m_settings.fleetSecret, limit, limit);
    }
    return pool;
}

// A kept connection may have died with its process, so a failure on it is tried once more anew.
bool PeerExchange::attempt(const std::string &address,
                           const std::function<void(wire::GatewayClient &)> &call)
{
    const auto pool = poolFor(address);
    try {
        pool->call(call);
        noteAnswer(address, true);
        return true;
    } catch (const std::exception &) {
        Metrics::count("peer_calls_failed_total");
        pool->clear();
        noteAnswer(address, false);
        return false;
    }
}

void PeerExchange::noteAnswer(const std::string &address, bool answered)
{
    const std::lock_guard lock(m_mutex);
    if (answered && m_silent.erase(address) > 0)
        EventLog::record(EventKind::PeerReached, {}, "door=" + address);
    if (!answered && m_silent.insert(address).second)
        EventLog::record(EventKind::PeerLost, {}, "door=" + address);
}

bool PeerExchange::exchange(const std::string &address)
{
    return attempt(address, [this, &address](wire::GatewayClient &client) {
        const Instant startedAt = Process::now();
        wire::PeerDigest question = toWire(status());
        question.suspicions = m_crashes.suspicions();
        question.clock = EventLog::stamp();
        wire::PeerDigest digest;
        client.exchange(digest, question);
        EventLog::observe(digest.clock);
        m_crashes.add(digest.suspicions);
        const PeerStatus answer = fromWire(digest);
        std::vector<wire::StateRow> rows;
        const Version known = m_state.version();
        if (answer.stateVersion > known)
            client.stateRows(rows, known.count());
        const Instant now = Process::now();
        {
            const std::lock_guard lock(m_mutex);
            m_answeredAt[answer.instance] = address;
        }
        m_limiter.notePeer(answer, now);
        m_state.update(now, [&](GatewaySync &sync) {
            sync.onPeerAnswer(answer, fromWire(rows), startedAt, now);
        });
    });
}

void PeerExchange::exchangeAll()
{
    for (const std::string &it : addresses())
        exchange(it);
}

std::vector<std::string> PeerExchange::addresses() const
{
    if (!m_settings.learnsPeers)
        return m_settings.peers;
    std::vector<std::string> found;
    for (const MemberRow &it : m_state.read([](const auto &sync) { return sync.others(); }))
        found.push_back(it.doorAddress);
    return found.empty() ? m_settings.peers : found;
}

void PeerExchange::setOwnDoor(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_ownDoor = address;
}

std::vector<std::string> PeerExchange::knownDoors() const
{
    std::vector<std::string> doors = addresses();
    const std::lock_guard lock(m_mutex);
    if (!m_leaving && !m_ownDoor.empty())
        doors.push_back(m_ownDoor);
    return doors;
}

std::string PeerExchange::addressOf(const InstanceId &instance) const
{
    if (!m_settings.learnsPeers) {
        const std::lock_guard lock(m_mutex);
        const auto it = m_answeredAt.find(instance);
        return it == m_answeredAt.end() ? std::string() : it->second;
    }
    for (const MemberRow &it : m_state.read([](const auto &sync) { return sync.others(); })) {
        if (it.instance == instance)
            return it.doorAddress;
    }
    return {};
}

void PeerExchange::borrow(const AccountLimiter::NeededLoan &loan)
{
    Tokens missing = loan.tokens;
    std::size_t asked = 0;
    for (const InstanceId &it : loan.lenders) {
        const std::string address = addressOf(it);
        if (missing <= Tokens() || asked == mostLenders)
            return;
        if (address.empty())
            continue;
        ++asked;
        attempt(address, [&](wire::GatewayClient &client) {
            const Instant startedAt = Process::now();
            const Tokens granted(client.spendShare(loan.account.text(), missing.count()));
            if (granted <= Tokens())
                return;
            m_limiter.borrow(loan.account, granted, startedAt);
            missing -= granted;
            Metrics::count("share_tokens_borrowed_total", {}, static_cast<double>(granted.count()));
        });
    }
}

std::optional<std::string> PeerExchange::configurationText(Version version)
{
    for (const std::string &it : addresses()) {
        std::string text;
        attempt(it, [&](wire::GatewayClient &client) {
            client.configurationText(text, version.count());
        });
        if (!text.empty())
            return text;
    }
    return std::nullopt;
}

PeerStatus PeerExchange::answer(const PeerStatus &caller)
{
    const Instant now = Process::now();
    m_limiter.notePeer(caller, now);
    m_state.update(now, [&](GatewaySync &sync) { sync.onPeerCall(caller, now); });
    if (caller.stateVersion > m_state.version() && m_onNewerState)
        m_onNewerState();
    return status();
}

Tokens PeerExchange::lend(const AccountId &account, Tokens n)
{
    return m_leaving ? Tokens() : m_limiter.lend(account, n, Process::now());
}

} // namespace quetzalyoke
