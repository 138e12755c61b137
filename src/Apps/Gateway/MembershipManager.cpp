#include "Apps/Gateway/MembershipManager.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Core/Error.h"

#include <glog/logging.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds maxExchangeInterval{500};
constexpr int exchangesPerFreshness = 4;
constexpr std::chrono::milliseconds rebalanceInterval{1000};
constexpr std::chrono::milliseconds borrowInterval{20};
constexpr std::chrono::milliseconds shortageTimeout{200};
constexpr std::chrono::milliseconds retryInterval{50};
constexpr std::size_t peersPerExchange = 3; // contacted in each round while the table can be read

} // namespace

MembershipManager::MembershipManager(const GatewaySettings &settings, TableStore &table,
                                     GatewayState &state, StatePoller &statePoller,
                                     AccountLimiter &limiter, PeerExchange &peers)
    : m_settings(settings), m_table(table), m_state(state), m_statePoller(statePoller),
      m_limiter(limiter), m_peers(peers), m_random(std::random_device()())
{ }

MembershipManager::~MembershipManager()
{
    leave();
}

void MembershipManager::start(const std::string &thriftAddress, const std::string &httpAddress)
{
    m_state.update(Process::now(),
                   [&](ClusterView &cluster) { cluster.setAddresses(thriftAddress, httpAddress); });
    runPeriodically(m_settings.heartbeatInterval, [this] {
        writeHeartbeat();
        removeDeadMember();
    });
    runPeriodically(std::min(maxExchangeInterval, m_settings.freshness / exchangesPerFreshness),
                    [this] { exchangeWithPeers(); });
    runPeriodically(borrowInterval, [this] { borrowTokens(); });
    runPeriodically(rebalanceInterval, [this] { rebalanceShares(); });
}

void MembershipManager::runPeriodically(std::chrono::milliseconds interval,
                                        std::function<void()> work)
{
    m_threads.emplace_back([this, interval, work = std::move(work)] {
        do {
            try {
                work();
            } catch (const Error &e) {
                Metrics::incrementCounter("member_work_failed_total");
            }
        } while (!waitForStop(interval));
    });
}

bool MembershipManager::waitForStop(std::chrono::milliseconds time)
{
    std::unique_lock lock(m_mutex);
    return m_stopped.wait_for(lock, time, [this] { return m_stopping; });
}

// The first heartbeat is written after the first read of the table, so that it reports only what
// this gateway has really read.
void MembershipManager::writeHeartbeat()
{
    const bool hasRead = m_state.read(
        [](const auto &cluster) { return cluster.hasRecentTableRead(Process::now()); });
    if (!hasRead)
        m_statePoller.refresh();
    const Instant startedAt = Process::now();
    const auto heartbeat
        = m_state.read([](const auto &cluster) { return cluster.heartbeatWrite(false); });
    if (!m_table.commit({heartbeat}))
        return m_statePoller
            .refresh(); // another writer changed the row; the next heartbeat replaces it
    m_state.update(startedAt,
                   [startedAt](ClusterView &cluster) { cluster.onHeartbeatWritten(startedAt); });
    const bool joined
        = m_state.read([](const auto &cluster) { return cluster.joinVersion().has_value(); });
    if (!joined)
        m_statePoller.refresh();
}

void MembershipManager::removeDeadMember()
{
    const auto removal = m_state.read(
        [](const auto &cluster) { return cluster.memberRemovalWrite(Process::now()); });
    if (!removal || !m_table.commit({*removal}))
        return;
    LOG(WARNING) << "event=gateway_removed row=" << removal->key;
}

// While the table can be read, a few peers per round suffice to spread the demand. While it can't,
// only the responses of all peers show that nothing has changed.
void MembershipManager::exchangeWithPeers()
{
    std::vector<std::string> addresses = m_peers.peerThriftAddresses();
    const Instant now = Process::now();
    const bool fewPeersSuffice = m_state.read([now](const auto &cluster) {
        return cluster.hasRecentTableRead(now) && cluster.joinVersion();
    });
    if (fewPeersSuffice && addresses.size() > peersPerExchange) {
        std::shuffle(addresses.begin(), addresses.end(), m_random);
        addresses.resize(peersPerExchange);
    }
    for (const std::string &it : addresses)
        m_peers.exchangeWith(it);
    m_state.update(Process::now(), [](ClusterView &) {});
}

void MembershipManager::borrowTokens()
{
    if (!m_limiter.waitForShortage(shortageTimeout))
        return;
    for (const auto &it : m_limiter.neededLoans(Process::now()))
        m_peers.borrow(it);
}

void MembershipManager::rebalanceShares()
{
    const auto configuration = m_state.configuration();
    if (!configuration || m_peers.isLeaving())
        return;
    const Instant now = Process::now();
    const auto writes = m_state.read([&](const ClusterView &cluster) {
        return m_limiter.planShareWrites(cluster, configuration->serviceList, now);
    });
    for (const ShareWrite &it : writes)
        writeShare(it);
    if (!writes.empty())
        m_statePoller.refresh();
}

void MembershipManager::writeShare(const ShareWrite &write)
{
    try {
        if (!m_table.commit({write.toConditionalWrite()}))
            m_limiter.cancelShrink(write, Process::now());
        else
            Metrics::incrementCounter("share_rows_written_total");
    } catch (const Error &e) {
        // If the response was lost, this gateway's share stays reduced until the row shows the
        // outcome.
        if (e.kind() == ErrorKind::PlatformUnavailable)
            m_limiter.cancelShrink(write, Process::now());
    }
}

bool MembershipManager::mayAccept() const
{
    const Instant now = Process::now();
    return m_state.read([now](const auto &cluster) { return cluster.mayAcceptChanges(now); });
}

void MembershipManager::requireMayAccept()
{
    if (m_peers.isLeaving()) {
        throw Error(ErrorKind::PlatformUnavailable,
                    "this gateway is stopping; retry the change at another one");
    }
    m_statePoller.refresh();
    const Instant end = Process::now() + m_settings.freshness;
    while (!mayAccept()) {
        if (Process::now() > end || waitForStop(retryInterval)) {
            throw Error(ErrorKind::PlatformUnavailable,
                        "another gateway may not know this one yet, or has stopped without "
                        "leaving; retry the change at a gateway that has run for longer");
        }
        m_peers.exchangeWithAll();
    }
}

void MembershipManager::waitUntilInForce(Version version)
{
    std::optional<ClusterView::AcceptedChange> change;
    const Instant end = Process::now() + m_settings.freshness;
    while (!change) {
        const Instant now = Process::now();
        change = m_state.read(
            [&](const auto &cluster) { return cluster.confirmCommit(version, now); });
        if (change)
            break;
        if (now > end || waitForStop(retryInterval)) {
            throw Error(ErrorKind::OutcomeUnknown,
                        "the change is written, but a gateway may not know of it yet; retry it "
                        "to be sure");
        }
        m_statePoller.refresh();
        m_peers.exchangeWithAll();
    }
    const auto inForce = [&] {
        const Instant now = Process::now();
        return m_state.read(
            [&](const auto &cluster) { return cluster.isEffectiveEverywhere(*change, now); });
    };
    while (!inForce()) {
        m_peers.exchangeWithAll();
        if (inForce())
            return;
        waitForStop(retryInterval);
    }
}

void MembershipManager::beginLeaving()
{
    m_peers.setLeaving();
}

void MembershipManager::leave()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_stopping = true;
    }
    m_stopped.notify_all();
    for (std::thread &it : m_threads)
        it.join();
    if (!m_threads.empty())
        announceLeaving();
}

void MembershipManager::announceLeaving()
{
    try {
        const auto row
            = m_state.read([](const auto &cluster) { return cluster.heartbeatWrite(true); });
        m_table.commit({row});
    } catch (const Error &e) {
        LOG(WARNING) << "event=leave_not_written reason=\"" << e.what() << '"';
    }
    m_peers.exchangeWithAll();
}

} // namespace quetzalyoke
