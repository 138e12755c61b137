#include "Apps/Entry/StateReplicator.h"

#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// A reader responds within this time, so that one that doesn't is noticed before its last response
// is older than StateFreshness::maxAge.
constexpr std::chrono::milliseconds pollWait{1000};
constexpr std::chrono::milliseconds pollTimeoutMargin{400};

// Until the reader has asked the store again, which it does once another gateway polls it.
constexpr std::chrono::milliseconds firstPollWait{100};

// A gateway without a poll for this long has no followers.
constexpr Duration followerMemory = std::chrono::seconds(3);

// A change that a peer already has may take this long to arrive from the store; after that it is
// fetched from the peer.
constexpr Duration lagTolerance = std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds fetchTimeout{800};

// The store answers at once if anything has changed since the reader's last response.
constexpr Duration firstAnswerTime = std::chrono::milliseconds(250);

constexpr int statusOk = 200;
// While this gateway's own state may be outdated.
constexpr int statusNotFollowing = 503;

} // namespace

StateReplicator::StateReplicator(const Settings &settings, EntryPlatform &platform, Hooks hooks)
    : m_settings(settings), m_platform(platform), m_hooks(std::move(hooks)),
      m_election(StoreReaderElection::Settings(), settings.instance, settings.zone,
                 settings.processorShare),
      m_lagDetector(lagTolerance)
{ }

bool StateReplicator::followsStore() const
{
    return !m_reliesOnReader && m_platform.isReachable();
}

void StateReplicator::tick()
{
    const Instant now = m_hooks.now();
    if (m_reliesOnReader && StateFreshness::isOutdated(m_platform.confirmedAt(), now))
        rejectReader("outdated", {});
    std::vector<GatewayCandidate> candidates;
    for (const StatePeer &peer : m_hooks.peers())
        candidates.push_back(peer.candidate);
    switchSource(m_election.reader(candidates, now));
    fetchIfBehind();
    answerPendingPolls();
    updateHasFollowers();
}

void StateReplicator::updateHasFollowers()
{
    const bool hasFollowers = m_hooks.now() - m_polledAt < followerMemory;
    m_platform.setHasFollowers(followsStore() && hasFollowers);
}

// The store is read until the reader's first response has shown that its state is current.
void StateReplicator::switchSource(const std::optional<InstanceId> &reader)
{
    const bool isSame
        = reader ? m_reader && m_reader->candidate.instance == *reader : !m_reader.has_value();
    if (isSame)
        return;
    logNotable("state_source", {{"from", reader ? reader->text() : std::string("store")}});
    ++m_pollGeneration;
    m_reader.reset();
    m_reliesOnReader = false;
    m_platform.setFollowing(true);
    if (!reader)
        return;
    for (const StatePeer &peer : m_hooks.peers()) {
        if (peer.candidate.instance == *reader)
            m_reader = peer;
    }
    poll();
}

void StateReplicator::poll()
{
    const auto wait = m_reliesOnReader ? pollWait : firstPollWait;
    m_hooks.poll(*m_reader, {m_platform.versions(), wait}, wait + pollTimeoutMargin,
                 [this, generation = m_pollGeneration](const StateResponse &response) {
                     if (generation == m_pollGeneration)
                         onPollResponse(response);
                 });
}

void StateReplicator::onPollResponse(const StateResponse &response)
{
    const char *problem = nullptr;
    if (response.status == statusNotFollowing)
        problem = "store_lost";
    else if (response.status != statusOk)
        problem = "no_response";
    else if (!m_platform.applyChanges(response.changes, response.confirmedAt))
        problem = "invalid";
    else if (StateFreshness::isOutdated(m_platform.confirmedAt(), m_hooks.now()))
        problem = "outdated";
    if (problem) {
        rejectReader(problem, response);
        tick();
        return;
    }
    if (!m_reliesOnReader) {
        m_reliesOnReader = true;
        m_platform.setFollowing(false);
    }
    poll();
}

void StateReplicator::rejectReader(const char *reason, const StateResponse &response)
{
    const Instant now = m_hooks.now();
    const StateTimes confirmedAt = m_platform.confirmedAt();
    logNotable("reader_failed",
               {{"peer", m_reader->candidate.instance},
                {"reason", reason},
                {"status", response.status},
                {"end", response.problem},
                {"timed_out", response.timedOut ? 1 : 0},
                {"config_age_ms", now - confirmedAt.operators},
                {"servers_age_ms", now - confirmedAt.servers}});
    Metrics::incrementCounter("readers_rejected", {{"reason", reason}});
    m_hooks.onUncertain(now + firstAnswerTime);
    m_election.recordFailure(m_reader->candidate.instance, now);
}

// A gateway that the store refuses to serve gets changes from a peer that the store serves.
void StateReplicator::fetchIfBehind()
{
    const std::vector<StatePeer> peers = m_hooks.peers();
    const auto isOlder
        = [](const TableVersion &a, const TableVersion &b) { return a.version < b.version; };
    StateVersions newest;
    for (const StatePeer &peer : peers) {
        if (!peer.candidate.isAlive)
            continue;
        newest.operators = std::max(newest.operators, peer.versions.operators, isOlder);
        newest.servers = std::max(newest.servers, peer.versions.servers, isOlder);
        newest.configuration = std::max(newest.configuration, peer.versions.configuration);
    }
    if (m_isFetching || !m_lagDetector.isOverdue(m_platform.versions(), newest, m_hooks.now()))
        return;
    if (const StatePeer *peer = choosePeerAhead(peers, newest))
        fetch(*peer);
}

// Chooses at random among the peers with newer state, so that not all gateways ask the same one;
// peers of this zone come first. A missing configuration matters more than missing servers.
const StatePeer *StateReplicator::choosePeerAhead(const std::vector<StatePeer> &peers,
                                                  const StateVersions &newest)
{
    const StateVersions own = m_platform.versions();
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
                || (peer.candidate.zone == m_settings.zone) != isSameZone)
                continue;
            ++candidateCount;
            if (m_hooks.random() * candidateCount < 1)
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
    const auto onFetched = [this,
                            instance = peer.candidate.instance](const StateResponse &response) {
        m_isFetching = false;
        if (response.status != statusOk) {
            logNotable(
                "state_not_fetched",
                {{"peer", instance}, {"status", response.status}, {"problem", response.problem}});
            return;
        }
        Metrics::incrementCounter("states_fetched");
        m_platform.applyChanges(response.changes, response.confirmedAt);
        const StateVersions versions = m_platform.versions();
        logNotable("state_fetched",
                   {{"peer", instance},
                    {"config_row", versions.operators.version},
                    {"servers_row", versions.servers.version}});
    };
    m_hooks.fetch(peer, {m_platform.versions(), std::chrono::milliseconds(0)}, fetchTimeout,
                  onFetched);
}

bool StateReplicator::hasNewerThan(const StateVersions &known) const
{
    return !isAtLeastAsNew(known, m_platform.versions());
}

StateResponse StateReplicator::currentState(const StateVersions &known) const
{
    return {statusOk, m_platform.confirmedAt(), m_platform.changesSince(known), {}, false};
}

void StateReplicator::handleRequest(const StateRequest &request, ResponseHook respond)
{
    if (request.wait.count() <= 0) {
        respond(currentState(request.known));
        return;
    }
    const Instant now = m_hooks.now();
    const StateTimes confirmedAt = m_platform.confirmedAt();
    m_polledAt = now;
    updateHasFollowers();
    m_pendingPolls.push_back({std::move(respond), request.known, confirmedAt, now,
                              now + std::min(request.wait, pollWait)});
    answerPendingPolls();
}

void StateReplicator::answerPendingPolls()
{
    const Instant now = m_hooks.now();
    const bool isFollowing = followsStore();
    const StateTimes confirmedAt = m_platform.confirmedAt();
    std::vector<PendingPoll> ready;
    std::erase_if(m_pendingPolls, [&](const PendingPoll &pending) {
        if (isFollowing && now < pending.until && !hasNewerThan(pending.known)
            && !StateFreshness::isReportDue(pending.confirmedAt, confirmedAt, pending.receivedAt,
                                            now))
            return false;
        ready.push_back(pending);
        return true;
    });
    for (const PendingPoll &pending : ready) {
        if (isFollowing)
            pending.respond(currentState(pending.known));
        else
            pending.respond({statusNotFollowing, {}, {}, "the store is not followed", false});
    }
}

void StateReplicator::onResumed()
{
    if (!m_reader)
        return;
    // Until messages from the peers arrive again, the store has the newest state.
    m_election.recordFailure(m_reader->candidate.instance, m_hooks.now());
    tick();
}

} // namespace quetzalyoke
