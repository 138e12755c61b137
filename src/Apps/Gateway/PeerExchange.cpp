#include "Apps/Gateway/PeerExchange.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
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

PeerExchange::PeerExchange(const GatewaySettings &settings, GatewayState &state,
                           AccountLimiter &limiter, SharedCrashingRequestTracker &crashes)
    : m_settings(settings), m_state(state), m_limiter(limiter), m_crashes(crashes)
{ }

PeerStatus PeerExchange::status() const
{
    PeerStatus status = m_state.status(Process::now());
    status.hasLeft = m_leaving;
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
bool PeerExchange::callPeer(const std::string &address,
                            const std::function<void(wire::GatewayClient &)> &call)
{
    const auto pool = poolFor(address);
    try {
        pool->call(call);
        recordReachability(address, true);
        return true;
    } catch (const std::exception &) {
        Metrics::incrementCounter("peer_calls_failed_total");
        pool->closeIdleConnections();
        recordReachability(address, false);
        return false;
    }
}

void PeerExchange::recordReachability(const std::string &address, bool answered)
{
    const std::lock_guard lock(m_mutex);
    if (answered && m_unreachableAddresses.erase(address) > 0)
        ProcessTimeline::record(TimelineEventKind::PeerReached, {}, "door=" + address);
    if (!answered && m_unreachableAddresses.insert(address).second)
        ProcessTimeline::record(TimelineEventKind::PeerLost, {}, "door=" + address);
}

bool PeerExchange::exchangeWith(const std::string &address)
{
    return callPeer(address, [this, &address](wire::GatewayClient &client) {
        const Instant startedAt = Process::now();
        wire::PeerDigest question = toWire(status());
        question.suspicions = m_crashes.suspicions();
        question.clock = ProcessTimeline::nextTimestamp();
        wire::PeerDigest digest;
        client.exchange(digest, question);
        ProcessTimeline::mergeTimestamp(digest.clock);
        m_crashes.addSuspicions(digest.suspicions);
        const PeerStatus response = fromWire(digest);
        std::vector<wire::StateRow> rows;
        const Version known = m_state.version();
        if (response.stateVersion > known)
            client.stateRows(rows, known.count());
        const Instant now = Process::now();
        {
            const std::lock_guard lock(m_mutex);
            m_addressByInstance[response.instance] = address;
        }
        m_limiter.recordPeerStatus(response, now);
        m_state.update(now, [&](ClusterView &sync) {
            sync.onPeerResponse(response, fromWire(rows), startedAt, now);
        });
    });
}

void PeerExchange::exchangeWithAll()
{
    for (const std::string &it : peerThriftAddresses())
        exchangeWith(it);
}

std::vector<std::string> PeerExchange::peerThriftAddresses() const
{
    if (!m_settings.discoversPeers)
        return m_settings.peerAddresses;
    std::vector<std::string> found;
    for (const MemberRow &it : m_state.read([](const auto &sync) { return sync.activePeers(); }))
        found.push_back(it.thriftAddress);
    return found.empty() ? m_settings.peerAddresses : found;
}

void PeerExchange::setOwnThriftAddress(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_ownThriftAddress = address;
}

std::vector<std::string> PeerExchange::knownThriftAddresses() const
{
    std::vector<std::string> doors = peerThriftAddresses();
    const std::lock_guard lock(m_mutex);
    if (!m_leaving && !m_ownThriftAddress.empty())
        doors.push_back(m_ownThriftAddress);
    return doors;
}

std::string PeerExchange::addressOf(const InstanceId &instance) const
{
    if (!m_settings.discoversPeers) {
        const std::lock_guard lock(m_mutex);
        const auto it = m_addressByInstance.find(instance);
        return it == m_addressByInstance.end() ? std::string() : it->second;
    }
    for (const MemberRow &it : m_state.read([](const auto &sync) { return sync.activePeers(); })) {
        if (it.instance == instance)
            return it.thriftAddress;
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
        callPeer(address, [&](wire::GatewayClient &client) {
            const Instant startedAt = Process::now();
            const Tokens granted(client.spendShare(loan.account.text(), missing.count()));
            if (granted <= Tokens())
                return;
            m_limiter.borrow(loan.account, granted, startedAt);
            missing -= granted;
            Metrics::incrementCounter("share_tokens_borrowed_total", {},
                                      static_cast<double>(granted.count()));
        });
    }
}

std::optional<std::string> PeerExchange::configurationText(Version version)
{
    for (const std::string &it : peerThriftAddresses()) {
        std::string text;
        callPeer(it, [&](wire::GatewayClient &client) {
            client.configurationText(text, version.count());
        });
        if (!text.empty())
            return text;
    }
    return std::nullopt;
}

PeerStatus PeerExchange::handleExchange(const PeerStatus &caller)
{
    const Instant now = Process::now();
    m_limiter.recordPeerStatus(caller, now);
    m_state.update(now, [&](ClusterView &sync) { sync.onPeerCall(caller, now); });
    if (caller.stateVersion > m_state.version() && m_onNewerState)
        m_onNewerState();
    return status();
}

Tokens PeerExchange::lend(const AccountId &account, Tokens n)
{
    return m_leaving ? Tokens() : m_limiter.lend(account, n, Process::now());
}

} // namespace quetzalyoke
