#include "Apps/Entry/StateReplicator.h"

#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"

#include <boost/asio/post.hpp>

#include <charconv>

namespace quetzalyoke {

namespace {

// As long as a long poll of the store itself.
constexpr std::chrono::milliseconds pollWait{2000};
constexpr std::chrono::milliseconds pollTimeoutMargin{500};

// A change that a peer already has may take this long to arrive from the store; after that it is
// fetched from the peer.
constexpr Duration lagTolerance = std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds fetchTimeout{800};

// The store answers at once if anything has changed since the reader's last response.
constexpr Duration firstAnswerTime = std::chrono::milliseconds(250);
constexpr HttpClientConnection::Limits connectionLimits{std::chrono::milliseconds(300),
                                                        std::chrono::milliseconds(1000)};

// Returns 0 if \a target has no such parameter.
template<typename Number = std::int64_t>
Number queryNumber(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return 0;
    Number n = 0;
    const char *begin = target.data() + at + name.size() + 1;
    std::from_chars(begin, target.data() + target.size(), n);
    return n;
}

TableVersion queryTableVersion(const std::string &target, const std::string &name)
{
    return {Version(queryNumber(target, name)),
            queryNumber<std::uint64_t>(target, name + "_digest")};
}

std::string queryText(const std::string &name, const TableVersion &known)
{
    return name + "=" + std::to_string(known.version.count()) + "&" + name
        + "_digest=" + std::to_string(known.digest);
}

} // namespace

StateReplicator::StateReplicator(EntryState &state, PeersProvider peers)
    : m_state(state), m_peers(std::move(peers)),
      m_election(StoreReaderElection::Settings(), state.settings.instance, state.settings.zone,
                 state.settings.processorShare),
      m_lagDetector(lagTolerance)
{ }

bool StateReplicator::followsStore() const
{
    return !m_reader && m_state.platform.isReachable();
}

void StateReplicator::tick()
{
    m_retiredClients.clear();
    const Instant now = steadyNow();
    const std::vector<StatePeer> peers = m_peers();
    std::vector<GatewayCandidate> candidates;
    for (const StatePeer &peer : peers)
        candidates.push_back(peer.candidate);
    switchSource(m_election.reader(candidates, now), peers);
    fetchIfBehind(peers, now);
    std::vector<PendingPoll> expired;
    std::erase_if(m_pendingPolls, [&](const PendingPoll &pending) {
        if (now < pending.until)
            return false;
        expired.push_back(pending);
        return true;
    });
    for (const PendingPoll &pending : expired) {
        pending.connection->sendResponse(200, "Content-Type: application/json\r\n",
                                         m_state.platform.changesSince(pending.known));
    }
}

void StateReplicator::switchSource(const std::optional<InstanceId> &reader,
                                   const std::vector<StatePeer> &peers)
{
    if (reader == m_reader)
        return;
    m_reader = reader;
    if (m_pollClient)
        m_retiredClients.push_back(std::move(m_pollClient));
    logNotable("state_source", {{"from", reader ? reader->text() : std::string("store")}});
    m_state.platform.setFollowing(!reader);
    if (!reader)
        return;
    for (const StatePeer &peer : peers) {
        if (peer.candidate.instance != *reader)
            continue;
        m_pollClient = std::make_unique<HttpClient>(m_state.loop, Address::parse(peer.httpAddress),
                                                    connectionLimits);
    }
    poll();
}

std::string StateReplicator::stateRequestText(const std::string &host,
                                              std::chrono::milliseconds wait) const
{
    const StateVersions known = m_state.platform.versions();
    return "GET /state?" + queryText("config", known.operators) + "&"
        + queryText("servers", known.servers)
        + "&in_force=" + std::to_string(known.configuration.count())
        + "&wait_ms=" + std::to_string(wait.count()) + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
}

void StateReplicator::poll()
{
    m_pollClient->call(stateRequestText(m_pollClient->peer().text(), pollWait),
                       pollWait + pollTimeoutMargin,
                       [this](const HttpCallResult &result) { onPollResponse(result); });
}

void StateReplicator::onPollResponse(const HttpCallResult &result)
{
    if (!m_reader)
        return;
    const bool hasChanges = result.hasResponse() && result.status == 200;
    if (hasChanges && m_state.platform.applyChanges(result.body)) {
        if (m_pollClient)
            poll();
        return;
    }
    logNotable("reader_failed",
               {{"peer", *m_reader},
                {"end", exchangeOutcomeText(result.outcome)},
                {"status", result.status},
                {"timed_out", result.timedOut ? 1 : 0}});
    const Instant now = steadyNow();
    m_state.listUncertainUntil = std::max(m_state.listUncertainUntil, now + firstAnswerTime);
    m_election.recordFailure(*m_reader, now);
    asio::post(m_state.loop, [this] { tick(); });
}

// A gateway that the store refuses to serve gets changes from a peer that the store serves.
void StateReplicator::fetchIfBehind(const std::vector<StatePeer> &peers, Instant now)
{
    StateVersions newest;
    for (const StatePeer &peer : peers) {
        if (!peer.candidate.isAlive)
            continue;
        const auto isOlder
            = [](const TableVersion &a, const TableVersion &b) { return a.version < b.version; };
        newest.operators = std::max(newest.operators, peer.versions.operators, isOlder);
        newest.servers = std::max(newest.servers, peer.versions.servers, isOlder);
        newest.configuration = std::max(newest.configuration, peer.versions.configuration);
    }
    if (m_isFetching || !m_lagDetector.isOverdue(m_state.platform.versions(), newest, now))
        return;
    if (const StatePeer *peer = choosePeerAhead(peers, newest))
        fetch(*peer);
}

// Chooses at random among the peers with newer state, so that not all gateways ask the same one;
// peers of this zone come first. A missing configuration matters more than missing servers.
const StatePeer *StateReplicator::choosePeerAhead(const std::vector<StatePeer> &peers,
                                                  const StateVersions &newest)
{
    const StateVersions own = m_state.platform.versions();
    const bool lacksConfiguration = newest.configuration > own.configuration;
    const bool lacksOperators = own.operators.isBehind(newest.operators);
    const StatePeer *chosen = nullptr;
    int candidateCount = 0;
    for (const bool isSameZone : {true, false}) {
        for (const StatePeer &peer : peers) {
            const bool isAhead = lacksConfiguration
                ? peer.versions.configuration > own.configuration
                : lacksOperators ? own.operators.isBehind(peer.versions.operators)
                                 : own.servers.isBehind(peer.versions.servers);
            if (!peer.candidate.isAlive || !isAhead
                || (peer.candidate.zone == m_state.settings.zone) != isSameZone)
                continue;
            ++candidateCount;
            if (m_state.random() * candidateCount < 1)
                chosen = &peer;
        }
        if (chosen)
            break;
    }
    return chosen;
}

void StateReplicator::fetch(const StatePeer &peer)
{
    m_isFetching = true;
    if (!m_fetchClient || m_fetchClient->peer().text() != peer.httpAddress) {
        if (m_fetchClient)
            m_retiredClients.push_back(std::move(m_fetchClient));
        m_fetchClient = std::make_unique<HttpClient>(m_state.loop, Address::parse(peer.httpAddress),
                                                     connectionLimits);
    }
    const auto onFetched
        = [this, instance = peer.candidate.instance](const HttpCallResult &result) {
              m_isFetching = false;
              if (!result.hasResponse() || result.status != 200) {
                  logNotable("state_not_fetched",
                             {{"peer", instance}, {"end", exchangeOutcomeText(result.outcome)}});
                  return;
              }
              Metrics::incrementCounter("states_fetched");
              m_state.platform.applyChanges(result.body);
              const StateVersions versions = m_state.platform.versions();
              logNotable("state_fetched",
                         {{"peer", instance},
                          {"config_row", versions.operators.version},
                          {"servers_row", versions.servers.version}});
          };
    m_fetchClient->call(stateRequestText(peer.httpAddress, std::chrono::milliseconds(0)),
                        fetchTimeout, onFetched);
}

bool StateReplicator::hasNewerThan(const StateVersions &known) const
{
    return !isAtLeastAsNew(known, m_state.platform.versions());
}

void StateReplicator::handleStateRequest(const HttpServerConnection::Pointer &connection,
                                         const std::string &target)
{
    const StateVersions known{queryTableVersion(target, "config"),
                              queryTableVersion(target, "servers"),
                              Version(queryNumber(target, "in_force"))};
    const Duration wait = std::chrono::milliseconds(
        std::min<std::int64_t>(queryNumber(target, "wait_ms"), pollWait.count()));
    if (wait.count() > 0 && !hasNewerThan(known)) {
        m_pendingPolls.push_back({connection, known, steadyNow() + wait});
        return;
    }
    connection->sendResponse(200, "Content-Type: application/json\r\n",
                             m_state.platform.changesSince(known));
}

void StateReplicator::onStateChanged()
{
    std::vector<PendingPoll> ready;
    std::erase_if(m_pendingPolls, [&](const PendingPoll &pending) {
        if (!hasNewerThan(pending.known))
            return false;
        ready.push_back(pending);
        return true;
    });
    for (const PendingPoll &pending : ready) {
        pending.connection->sendResponse(200, "Content-Type: application/json\r\n",
                                         m_state.platform.changesSince(pending.known));
    }
}

void StateReplicator::onResumed()
{
    if (!m_reader)
        return;
    // Until messages from the peers arrive again, the store has the newest state.
    m_election.recordFailure(*m_reader, steadyNow());
    tick();
}

} // namespace quetzalyoke
