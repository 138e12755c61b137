#include "Apps/Gateway/PeerExchange.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Adapters/WireConversion.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds maxCallTimeout{400};
constexpr int callsPerFreshness = 4; // several rounds fit into the freshness period
constexpr std::size_t maxLenders = 3; // contacted for one loan

std::chrono::milliseconds callTimeoutFor(const GatewaySettings &settings)
{
    return std::min(maxCallTimeout, settings.freshness / callsPerFreshness);
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
        const auto timeout = callTimeoutFor(m_settings);
        pool = std::make_shared<Pool>(Address::parse(address), m_settings.fleetSecret, timeout,
                                      timeout);
    }
    return pool;
}

// After a failure all idle connections are closed, since they may belong to a process that has
// ended; the next call then opens a new connection.
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

void PeerExchange::recordReachability(const std::string &address, bool succeeded)
{
    const std::lock_guard lock(m_mutex);
    if (succeeded && m_unreachableAddresses.erase(address) > 0)
        ProcessTimeline::record(TimelineEventKind::PeerReached, {}, "door=" + address);
    if (!succeeded && m_unreachableAddresses.insert(address).second)
        ProcessTimeline::record(TimelineEventKind::PeerLost, {}, "door=" + address);
}

bool PeerExchange::exchangeWith(const std::string &address)
{
    return callPeer(address, [this, &address](wire::GatewayClient &client) {
        const Instant startedAt = Process::now();
        wire::PeerDigest request = toWire(status());
        request.suspicions = m_crashes.suspicions();
        request.clock = ProcessTimeline::nextTimestamp();
        wire::PeerDigest digest;
        client.exchange(digest, request);
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
        m_state.update(now, [&](ClusterView &cluster) {
            cluster.onPeerResponse(response, fromWire(rows), startedAt, now);
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
    std::vector<std::string> addresses;
    for (const MemberRow &it :
         m_state.read([](const auto &cluster) { return cluster.activePeers(); }))
        addresses.push_back(it.thriftAddress);
    return addresses.empty() ? m_settings.peerAddresses : addresses;
}

void PeerExchange::setOwnThriftAddress(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_ownThriftAddress = address;
}

std::vector<std::string> PeerExchange::knownThriftAddresses() const
{
    std::vector<std::string> addresses = peerThriftAddresses();
    const std::lock_guard lock(m_mutex);
    if (!m_leaving && !m_ownThriftAddress.empty())
        addresses.push_back(m_ownThriftAddress);
    return addresses;
}

std::string PeerExchange::addressOf(const InstanceId &instance) const
{
    if (!m_settings.discoversPeers) {
        const std::lock_guard lock(m_mutex);
        const auto it = m_addressByInstance.find(instance);
        return it == m_addressByInstance.end() ? std::string() : it->second;
    }
    for (const MemberRow &it :
         m_state.read([](const auto &cluster) { return cluster.activePeers(); })) {
        if (it.instance == instance)
            return it.thriftAddress;
    }
    return {};
}

void PeerExchange::borrow(const AccountLimiter::NeededLoan &loan)
{
    Tokens missing = loan.tokens;
    std::size_t contacted = 0;
    for (const InstanceId &it : loan.lenders) {
        const std::string address = addressOf(it);
        if (missing <= Tokens() || contacted == maxLenders)
            return;
        if (address.empty())
            continue;
        ++contacted;
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
    m_state.update(now, [&](ClusterView &cluster) { cluster.onPeerCall(caller, now); });
    if (caller.stateVersion > m_state.version() && m_onNewerState)
        m_onNewerState();
    return status();
}

Tokens PeerExchange::lend(const AccountId &account, Tokens n)
{
    return m_leaving ? Tokens() : m_limiter.lend(account, n, Process::now());
}

} // namespace quetzalyoke
