#include "Apps/Entry/PeerNetwork.h"

#include "Adapters/Async/HandlerGuard.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"
#include "Apps/Entry/PeerMessageCheck.h"
#include "Core/Error.h"

namespace quetzalyoke {

namespace {

// Every gateway reads what entries state. Beliefs that come from a peer aren't passed on, since
// they would last longer with each gateway.
bool isColdNews(const ServerState &server)
{
    const ColdSource source = server.coldPeriod.source();
    return (source == ColdSource::Response || source == ColdSource::Start)
        && server.isCold(steadyNow());
}

// Between messages to peers: what a gateway knows of its peers' work is half this old on average.
// The interval grows with the number of peers, so that messages alone do not keep a small instance
// busy.
constexpr std::chrono::milliseconds minMessageInterval{100};
constexpr std::chrono::milliseconds messageIntervalPerPeer{16};

// A peer is silent once more than two messages in a row are missing.
constexpr int silentIntervals = 3;
constexpr std::chrono::milliseconds silenceMargin{150};

// After this time without a message, a peer's work is no longer counted at servers.
constexpr Duration peerWorkLifetime = std::chrono::milliseconds(1500);

// Changes caused by orders are sent repeatedly, in case a datagram is lost, until the platform's
// list shows them.
constexpr Duration changeResendTime = std::chrono::milliseconds(1500);

// An urgent message waits this long, to combine events that occur together.
constexpr std::chrono::milliseconds urgentMessageDelay{2};
constexpr std::chrono::milliseconds urgentMessageDelayPerPeer{1};

// Up to this many peers, all of them receive events on demand and use, so that each is informed
// when it takes over the lease. With more peers only the lease holder receives them.
constexpr std::size_t maxPeersForFullBroadcast = 8;

// Far above the size of a fleet, since anybody who reaches the address can state another name.
constexpr std::size_t maxPeers = 1024;

// Until the gateways are known, this one takes its share as if there were this many.
constexpr std::size_t assumedGatewaysBeforeJoin = 16;

constexpr std::chrono::milliseconds joinRetryDelay{500};

// Spreads the calls of all gateways after the store was restored.
constexpr Duration maxRejoinDelay = std::chrono::milliseconds(2000);

// A gateway that lacks crash records gets them from about this many of its peers at a time.
constexpr double crashRecordSenders = 4;
constexpr Duration crashRecordsInterval = std::chrono::milliseconds(500);

bool isAddress(const std::string &text)
{
    try {
        return Address::parse(text).port > 0;
    } catch (const Error &) {
        return false;
    }
}

StateVersions statedVersions(const wire::PeerNews &message)
{
    return {
        {Version(message.configRow), static_cast<std::uint64_t>(message.configDigest)},
        {Version(message.serversRow), static_cast<std::uint64_t>(message.serversDigest)},
        Version(message.configuration),
    };
}

} // namespace

PeerNetwork::PeerNetwork(EntryState &state, Hooks hooks)
    : m_state(state), m_hooks(std::move(hooks)),
      m_socket(state.loop, state.settings.peerListen,
               [this](wire::PeerNews &&message, const Address &from) {
                   if (isUsable(message, from))
                       onPeerMessage(message, from);
               }),
      m_tickTimer(state.loop), m_joinTimer(state.loop), m_urgentTimer(state.loop),
      m_spending(state,
                 {[this] { return candidates(); },
                  [this](const InstanceId &to, const wire::PeerSpending &spending) {
                      sendSpending(to, spending);
                  }}),
      m_permits(state, permitHooks())
{
    state.onPermitNeeded
        = [this](const ServerName &server) { return m_permits.requestPermit(server); };
    state.crashDetector.setNewsHook([this] { scheduleUrgentMessage(); });
    state.crashDetector.setHolderHook([this] { return m_hooks.heldLease().has_value(); });
    state.isListConfirmedByPeers = [this](Instant time) { return isListConfirmedSince(time); };
    state.onRequestLimitStated
        = [this](const ServerName &server) { m_permits.reportRecentRequests(server); };
}

PermitExchange::Hooks PeerNetwork::permitHooks()
{
    PermitExchange::Hooks hooks;
    hooks.isIssuer = m_hooks.issuesPermits;
    hooks.sendRequest = [this](const wire::PeerPermitRequest &request) {
        const Peer *holder = leaseHolder();
        if (!holder)
            return false;
        wire::PeerNews message = makeMessage(true);
        message.__set_permitRequest(request);
        m_socket.send(PeerSocket::encode(message), holder->address);
        return true;
    };
    hooks.sendReply = [this](const InstanceId &to, const wire::PeerPermitReply &reply) {
        const auto peer = m_peers.find(to);
        if (peer == m_peers.end())
            return;
        wire::PeerNews message = makeMessage(true);
        message.__set_permitReply(reply);
        m_socket.send(PeerSocket::encode(message), peer->second.address);
    };
    return hooks;
}

void PeerNetwork::start()
{
    updateGatewayCount();
    join();
    tick();
    m_spending.start();
}

std::chrono::milliseconds PeerNetwork::messageInterval() const
{
    return std::max(minMessageInterval, messageIntervalPerPeer * static_cast<int>(m_peers.size()));
}

Duration PeerNetwork::silenceTimeout() const
{
    return silentIntervals * messageInterval() + silenceMargin;
}

void PeerNetwork::join()
{
    const ListedGateway self{m_state.settings.instance, m_state.settings.peerListen.text()};
    m_state.platform.join(self, [this](bool ok, const std::vector<ListedGateway> &members) {
        if (!ok) {
            logNotable("join_failed", {{"retry_ms", Duration(joinRetryDelay)}});
            m_joinTimer.expires_after(joinRetryDelay);
            m_joinTimer.async_wait([this](const SystemErrorCode &ec) {
                if (!ec)
                    join();
            });
            return;
        }
        m_hasJoined = true;
        for (const ListedGateway &member : members) {
            if (member.instance == m_state.settings.instance)
                continue;
            try {
                addMember(member.instance, Address::parse(member.address));
            } catch (const Error &e) {
                logNotable("bad_member", {{"peer", member.instance}, {"reason", e.what()}});
            }
        }
        updateGatewayCount();
        logNotable("joined", {{"members", m_peers.size() + 1}});
        broadcastState();
    });
}

void PeerNetwork::addMember(const InstanceId &instance, const Address &address)
{
    const auto [it, isNew] = m_peers.try_emplace(instance);
    it->second.address = address;
    if (isNew)
        updateGatewayCount();
}

void PeerNetwork::updateGatewayCount()
{
    std::size_t n = 1;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isLeaving)
            ++n;
    }
    if (!m_hasJoined)
        n = std::max(n, assumedGatewaysBeforeJoin);
    m_spending.setPeerCount(m_peers.size());
    m_state.setGatewayCount(
        n, m_spending.isRelaying() ? SpendingRelay::Settings().silenceTimeout : silenceTimeout());
}

void PeerNetwork::tick()
{
    callGuarded("peers", [this] {
        broadcastState();
        updatePeerSilence();
        m_hooks.onTakeoverRank(takeoverRank(), messageInterval());
    });
    m_tickTimer.expires_after(messageInterval());
    m_tickTimer.async_wait([this](const SystemErrorCode &ec) {
        if (!ec)
            tick();
    });
}

void PeerNetwork::updatePeerSilence()
{
    const Instant now = steadyNow();
    for (auto &[id, peer] : m_peers) {
        if (!peer.isHeard || now - peer.heardAt < std::max(peerWorkLifetime, silenceTimeout()))
            continue;
        peer.isHeard = false;
        m_state.servers.setPeerWork(id, {});
        logNotable("peer_silent", {{"peer", id}, {"silent_ms", now - peer.heardAt}});
    }
    m_state.hearsPeers = std::any_of(m_peers.begin(), m_peers.end(),
                                     [](const auto &it) { return it.second.isHeard; });
}

void PeerNetwork::sendSpending(const InstanceId &to, const wire::PeerSpending &spending)
{
    const auto peer = m_peers.find(to);
    if (peer == m_peers.end())
        return;
    wire::PeerNews message = makeMessage(true);
    message.__set_spending(spending);
    m_socket.send(PeerSocket::encode(message), peer->second.address);
}

// Returns this gateway's rank among those that may take over the lease from its holder.
std::size_t PeerNetwork::takeoverRank() const
{
    std::vector<GatewayCandidate> others = candidates();
    std::erase_if(others,
                  [this](const GatewayCandidate &it) { return it.instance == m_leaseHolder; });
    return gatewayRank(others, m_state.settings.processorShare, m_state.settings.instance);
}

std::vector<GatewayCandidate> PeerNetwork::candidates() const
{
    std::vector<GatewayCandidate> candidates;
    for (const auto &[id, peer] : m_peers)
        candidates.push_back(candidateFor(id, peer));
    return candidates;
}

GatewayCandidate PeerNetwork::candidateFor(const InstanceId &id, const Peer &peer)
{
    return {id, peer.zone, peer.isHeard && !peer.isLeaving, peer.followsStore, peer.processorShare};
}

void PeerNetwork::announceNeeds()
{
    scheduleUrgentMessage();
}

void PeerNetwork::announceLoadedModelChanges(const std::vector<LoadedModelChange> &changes)
{
    for (const LoadedModelChange &change : changes)
        m_sentChanges.push_back({change, steadyNow() + changeResendTime});
    m_hasNewChanges = m_hasNewChanges || !changes.empty();
    scheduleUrgentMessage();
}

void PeerNetwork::announceServerSignals()
{
    if (!m_state.unsentLeavingServers.empty() || !m_state.unsentLimitChanges.empty())
        scheduleUrgentMessage();
}

void PeerNetwork::scheduleUrgentMessage()
{
    if (m_isUrgentScheduled)
        return;
    m_isUrgentScheduled = true;
    m_urgentTimer.expires_after(urgentMessageDelay
                                + urgentMessageDelayPerPeer * static_cast<int>(m_peers.size()));
    m_urgentTimer.async_wait([this](const SystemErrorCode &ec) {
        m_isUrgentScheduled = false;
        if (!ec)
            sendUrgentMessage();
    });
}

void PeerNetwork::announceLeaving()
{
    m_state.isStopping = true;
    broadcastState();
}

const PeerNetwork::Peer *PeerNetwork::leaseHolder() const
{
    const auto it = m_peers.find(m_leaseHolder);
    return it == m_peers.end() || !it->second.isHeard ? nullptr : &it->second;
}

void PeerNetwork::broadcastState()
{
    const Instant now = steadyNow();
    std::erase_if(m_sentChanges, [now](const SentChange &sent) { return now > sent.resendUntil; });
    if (m_peers.empty())
        return;
    wire::PeerNews message = makeMessage(false);
    addState(message);
    addLoadedModelChanges(message);
    const bool sendsEventsToAll = m_peers.size() <= maxPeersForFullBroadcast;
    if (sendsEventsToAll)
        addEvents(message);
    const std::string bytes = PeerSocket::encode(message);
    for (const auto &[id, peer] : m_peers)
        m_socket.send(bytes, peer.address);
    if (sendsEventsToAll)
        return;
    wire::PeerNews events = makeMessage(true);
    addEvents(events);
    const bool hasEvents = !events.wanted.empty() || !events.used.empty() || !events.demand.empty();
    const Peer *holderPeer = leaseHolder();
    if (holderPeer && hasEvents)
        m_socket.send(PeerSocket::encode(events), holderPeer->address);
}

void PeerNetwork::sendUrgentMessage()
{
    sendCrashNewsToHolder();
    wire::PeerNews message = makeMessage(true);
    addEvents(message);
    if (std::exchange(m_hasNewChanges, false))
        addLoadedModelChanges(message);
    addLeavingServers(std::exchange(m_state.unsentLeavingServers, {}), message);
    addCrashNews(m_state.crashDetector.broadcastQueue().nextUrgentBatch(), message);
    for (const ServerName &name : std::exchange(m_state.unsentLimitChanges, {})) {
        if (const ServerState *server = m_state.servers.find(name))
            addRequestLimit(*server, message);
    }
    const bool hasNews = !message.wanted.empty() || !message.used.empty() || !message.demand.empty()
        || !message.notices.empty() || !message.serverSignals.empty() || !message.crashes.empty();
    if (!hasNews)
        return;
    const std::string bytes = PeerSocket::encode(message);
    const Peer *holderPeer = leaseHolder();
    if (holderPeer && message.notices.empty() && message.serverSignals.empty()
        && message.crashes.empty()) {
        m_socket.send(bytes, holderPeer->address);
        return;
    }
    for (const auto &[id, peer] : m_peers)
        m_socket.send(bytes, peer.address);
}

void PeerNetwork::sendCrashNewsToHolder()
{
    const Peer *holderPeer = leaseHolder();
    CrashBroadcastQueue &queue = m_state.crashDetector.broadcastQueue();
    while (holderPeer && queue.hasHolderNews()) {
        wire::PeerNews message = makeMessage(true);
        addCrashNews(queue.nextHolderBatch(), message);
        m_socket.send(PeerSocket::encode(message), holderPeer->address);
    }
}

wire::PeerNews PeerNetwork::makeMessage(bool isUrgent)
{
    wire::PeerNews message;
    message.instance = m_state.settings.instance.text();
    message.incarnation = Process::incarnation().count();
    message.sequence = ++m_sequence;
    message.isUrgent = isUrgent;
    return message;
}

void PeerNetwork::addState(wire::PeerNews &message)
{
    message.leaving = m_state.isStopping;
    message.http = m_state.settings.peerListen.text();
    message.zone = m_state.settings.zone.text();
    message.followsStore = m_hooks.followsStore();
    message.processorShare = m_state.settings.processorShare;
    const StateVersions versions = m_state.platform.versions();
    message.configRow = versions.operators.version.count();
    message.__set_configDigest(static_cast<std::int64_t>(versions.operators.digest));
    message.serversRow = versions.servers.version.count();
    message.__set_serversDigest(static_cast<std::int64_t>(versions.servers.digest));
    message.configuration = versions.configuration.count();
    if (const auto row = m_hooks.heldLease()) {
        message.leaseFencing = row->fencingToken.count();
        message.leaseRow = row->version.count();
        message.leaseEra = row->era.count();
    }
    for (const auto &[id, server] : m_state.servers.servers()) {
        if (server.ownWork.requestsInFlight == 0)
            continue;
        wire::PeerWork work;
        work.server = server.idHash;
        work.running = server.ownWork.requestsInFlight;
        work.prefillTokens = server.ownWork.prefillTokens;
        work.memoryTokens = server.ownWork.kvCacheTokens;
        message.work.push_back(work);
    }
    if (!m_spending.isRelaying())
        message.spent = encodeSpending(m_state.quotas.spending());
    addCrashNews(m_state.crashDetector.broadcastQueue().nextBatch(), message);
    message.__set_crashDigest(static_cast<std::int64_t>(m_state.crashDetector.digest()));
    addLeavingServers(m_state.servers.unlistedLeavingServers(), message);
    addPauses(message);
    for (const auto &[id, server] : m_state.servers.servers()) {
        if (server.requestLimit.version() > 0 || isColdNews(server))
            addRequestLimit(server, message);
    }
}

void PeerNetwork::addRequestLimit(const ServerState &server, wire::PeerNews &message)
{
    wire::PeerServerSignal signal;
    signal.server = server.listed.id.text();
    signal.incarnation = server.listed.incarnation.count();
    signal.limitVersion = server.requestLimit.version();
    if (const auto &limit = server.requestLimit.limit())
        signal.__set_requestsPerSecond(limit->perSecond());
    if (isColdNews(server))
        signal.__set_coldMs(static_cast<std::int32_t>(
            std::chrono::ceil<std::chrono::milliseconds>(server.coldPeriod.remaining(steadyNow()))
                .count()));
    message.serverSignals.push_back(std::move(signal));
}

void PeerNetwork::addLeavingServers(const std::vector<LeavingServer> &leavingServers,
                                    wire::PeerNews &message)
{
    for (const LeavingServer &leavingServer : leavingServers) {
        wire::PeerServerSignal signal;
        signal.server = leavingServer.server.text();
        signal.incarnation = leavingServer.incarnation.count();
        signal.leaving = true;
        message.serverSignals.push_back(std::move(signal));
    }
}

void PeerNetwork::addPauses(wire::PeerNews &message) const
{
    const Instant now = steadyNow();
    for (const auto &[id, server] : m_state.servers.servers()) {
        if (!server.isPaused(now))
            continue;
        wire::PeerServerSignal signal;
        signal.server = id.text();
        signal.incarnation = server.listed.incarnation.count();
        signal.pauseMs = static_cast<std::int32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(server.pausedUntil - now)
                .count());
        message.serverSignals.push_back(std::move(signal));
    }
}

void PeerNetwork::addCrashNews(const std::vector<CrashNews> &news, wire::PeerNews &message)
{
    for (const CrashNews &it : news) {
        wire::PeerCrash crash;
        crash.fingerprint = it.record.suspect.text();
        crash.incident = it.isSurvived ? std::string() : it.record.incident;
        crash.reporter = it.record.reporter.text();
        message.crashes.push_back(std::move(crash));
    }
}

// A gateway that has just started, was suspended or has missed messages lacks records. A few of its
// peers send it theirs.
void PeerNetwork::sendCrashRecordsIfDifferent(Peer &peer, const wire::PeerNews &message)
{
    const Instant now = steadyNow();
    const bool isDifferent = message.__isset.crashDigest
        && message.crashDigest != static_cast<std::int64_t>(m_state.crashDetector.digest());
    if (!isDifferent || now - peer.crashRecordsSentAt < crashRecordsInterval
        || m_state.random() * static_cast<double>(m_peers.size()) > crashRecordSenders)
        return;
    peer.crashRecordsSentAt = now;
    const auto records = m_state.crashDetector.refusedRecords();
    for (const auto &batch : m_state.crashDetector.broadcastQueue().splitIntoBatches(records)) {
        wire::PeerNews reply = makeMessage(true);
        addCrashNews(batch, reply);
        m_socket.send(PeerSocket::encode(reply), peer.address);
    }
}

void PeerNetwork::addEvents(wire::PeerNews &message)
{
    for (const auto &[model, tokens] : std::exchange(m_state.unsentDemand, {})) {
        wire::PeerDemand demand;
        demand.model = model.text();
        demand.tokens = tokens;
        message.demand.push_back(std::move(demand));
    }
    for (const auto &[server, model, adapter] : std::exchange(m_state.unsentNeeds, {})) {
        wire::PeerAdapter needed;
        needed.server = server.text();
        needed.model = model.text();
        needed.adapter = adapter.text();
        message.wanted.push_back(std::move(needed));
    }
    for (const auto &[location, busy] : std::exchange(m_state.unsentAdapterUses, {})) {
        const auto &[server, model, adapter] = location;
        wire::PeerAdapter used;
        used.busyMs = static_cast<std::int32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(busy).count());
        used.server = server.text();
        used.model = model.text();
        used.adapter = adapter.text();
        message.used.push_back(std::move(used));
    }
}

void PeerNetwork::addLoadedModelChanges(wire::PeerNews &message) const
{
    for (const SentChange &sent : m_sentChanges) {
        wire::PeerNotice notice;
        notice.server = sent.change.server.text();
        notice.incarnation = sent.change.incarnation.count();
        notice.orders = sent.change.acceptedOrders;
        notice.model = sent.change.model.text();
        notice.adapter = sent.change.adapter.text();
        notice.isLoad = sent.change.isLoad;
        message.notices.push_back(std::move(notice));
    }
}

// Removes what can't be used of \a message. Its names may become parts of orders, records and
// headers.
bool PeerNetwork::isUsable(wire::PeerNews &message, const Address &from)
{
    const PeerMessageVerdict verdict = checkPeerMessage(message);
    if (!verdict.isUsable || verdict.invalidEntries > 0) {
        logNotable("bad_peer_message",
                   {{"address", from.text()},
                    {"used", verdict.isUsable ? 1 : 0},
                    {"invalid_entries", verdict.invalidEntries}});
        Metrics::incrementCounter("bad_peer_messages");
    }
    return verdict.isUsable;
}

void PeerNetwork::onPeerMessage(const wire::PeerNews &message, const Address &from)
{
    const InstanceId instance(message.instance);
    if (instance == m_state.settings.instance || instance.isEmpty())
        return;
    const bool isNew = m_peers.count(instance) == 0;
    if (isNew && m_peers.size() >= maxPeers)
        return;
    addMember(instance, from);
    Peer &peer = m_peers[instance];
    const Incarnation incarnation(message.incarnation);
    if (incarnation < peer.incarnation)
        return;
    if (message.__isset.spending) {
        m_spending.onPeerMessage(message);
        return;
    }
    if (message.__isset.permitRequest) {
        m_permits.onRequest(instance, message.permitRequest);
        return;
    }
    if (message.__isset.permitReply) {
        m_permits.onReply(message.permitReply);
        return;
    }
    applyServerSignals(instance, message);
    if (message.isUrgent) {
        applyEvents(message);
        return;
    }
    if (incarnation == peer.incarnation && message.sequence <= peer.sequence)
        return;
    if (!isAddress(message.http)) {
        logNotable("bad_member", {{"peer", instance}, {"reason", "its address is invalid"}});
        return;
    }
    if (isNew || !peer.isHeard || incarnation != peer.incarnation) {
        logNotable("peer_heard",
                   {{"peer", instance}, {"incarnation", incarnation}, {"address", from.text()}});
    }
    peer.incarnation = incarnation;
    peer.sequence = message.sequence;
    peer.heardAt = steadyNow();
    peer.isHeard = true;
    peer.httpAddress = message.http;
    peer.zone = ZoneName(message.zone);
    // A peer of a build that states no digests passes on changes in another form.
    const bool hasDigests = message.__isset.configDigest && message.__isset.serversDigest;
    peer.followsStore = message.followsStore && hasDigests;
    peer.processorShare = message.processorShare;
    peer.versions = hasDigests ? statedVersions(message) : StateVersions();
    if (peer.isLeaving != message.leaving) {
        peer.isLeaving = message.leaving;
        updateGatewayCount();
    }
    applyState(instance, message);
    applyEvents(message);
    sendCrashRecordsIfDifferent(peer, message);
}

void PeerNetwork::applyState(const InstanceId &from, const wire::PeerNews &message)
{
    const Instant now = steadyNow();
    std::map<std::int32_t, ServerWork> work;
    for (const wire::PeerWork &entry : message.work)
        work[entry.server] = {entry.running, entry.prefillTokens, entry.memoryTokens};
    m_state.servers.setPeerWork(from, work, steadyNow());
    if (!m_spending.isRelaying()) {
        m_state.quotas.updatePeerSpending(from, Incarnation(message.incarnation),
                                          decodeSpending(message.spent), now);
    }
    if (message.leaseFencing <= 0)
        return;
    m_leaseHolder = from;
    m_hooks.onHolderRenewal({from, Incarnation(message.incarnation),
                             FencingToken(message.leaseFencing), Version(message.leaseRow),
                             StoreEra(message.leaseEra)});
}

void PeerNetwork::applyServerSignals(const InstanceId &from, const wire::PeerNews &message)
{
    bool isChanged = false;
    for (const wire::PeerServerSignal &signal : message.serverSignals) {
        const ServerName server(signal.server);
        const Incarnation incarnation(signal.incarnation);
        if (signal.pauseMs > 0) {
            m_state.servers.recordPeerPause(
                server, incarnation, steadyNow() + std::chrono::milliseconds(signal.pauseMs));
        }
        if (signal.limitVersion > 0) {
            std::optional<RequestRate> limit;
            if (signal.__isset.requestsPerSecond)
                limit = RequestRate(signal.requestsPerSecond);
            m_state.applyPeerRequestLimit(server, incarnation, limit, signal.limitVersion,
                                          from.text());
        }
        if (signal.__isset.coldMs)
            m_state.coldServers.applyPeer(server, incarnation,
                                          std::chrono::milliseconds(std::max(0, signal.coldMs)),
                                          from.text());
        if (!signal.leaving || !m_state.servers.recordLeaving(server, incarnation))
            continue;
        isChanged = true;
        logNotable("server",
                   {{"server", server},
                    {"incarnation", incarnation},
                    {"state", "leaving"},
                    {"source", from}});
    }
    if (isChanged && m_state.onServerSignal)
        m_state.onServerSignal();
}

void PeerNetwork::applyEvents(const wire::PeerNews &message)
{
    const Instant now = steadyNow();
    for (const wire::PeerDemand &entry : message.demand)
        m_state.replicaController.recordPromptTokens(ModelName(entry.model), entry.tokens, now);
    for (const wire::PeerAdapter &entry : message.wanted) {
        const ModelName model(entry.model);
        const AdapterName adapter(entry.adapter);
        if (entry.server.empty())
            m_state.replicaController.recordWaitingRequest(model, adapter, now);
        else
            m_state.replicaController.proposeAdapterReplica(ServerName(entry.server), model,
                                                            adapter, now);
    }
    for (const wire::PeerAdapter &entry : message.used) {
        m_state.replicaController.recordAdapterUse(ServerName(entry.server), ModelName(entry.model),
                                                   AdapterName(entry.adapter),
                                                   now + std::chrono::milliseconds(entry.busyMs));
    }
    for (const wire::PeerCrash &entry : message.crashes) {
        const CrashRecord record{Fingerprint(entry.fingerprint), entry.incident,
                                 InstanceId(entry.reporter)};
        m_state.crashDetector.applyPeerNews({record, entry.incident.empty()}, now);
    }
    for (const wire::PeerNotice &entry : message.notices) {
        LoadedModelChange change;
        change.server = ServerName(entry.server);
        change.incarnation = Incarnation(entry.incarnation);
        change.acceptedOrders = entry.orders;
        change.model = ModelName(entry.model);
        change.adapter = AdapterName(entry.adapter);
        change.isLoad = entry.isLoad;
        m_state.servers.addLoadedModelChange(change, now);
    }
    if (!message.notices.empty())
        m_state.waitQueue.retryDispatches();
    if (!message.wanted.empty() && m_state.onRequestWaiting)
        m_state.onRequestWaiting();
}

// Returns whether all peers that are heard have stated their versions since \a time, and none has a
// later list of servers.
bool PeerNetwork::isListConfirmedSince(Instant time) const
{
    const TableVersion own = m_state.platform.versions().servers;
    bool isAnyHeard = false;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isHeard || peer.isLeaving)
            continue;
        isAnyHeard = true;
        const TableVersion &stated = peer.versions.servers;
        if (peer.heardAt < time || stated.version.count() == 0 || own.isBehind(stated))
            return false;
    }
    return isAnyHeard;
}

std::vector<StatePeer> PeerNetwork::statePeers() const
{
    std::vector<StatePeer> peers;
    for (const auto &[id, peer] : m_peers) {
        peers.push_back({candidateFor(id, peer), peer.httpAddress, peer.versions});
    }
    return peers;
}

// This gateway's row in the list of members may be lost, and so may others that were added lately.
void PeerNetwork::onStoreRestored()
{
    m_joinTimer.expires_after(scaled(maxRejoinDelay, m_state.random()));
    m_joinTimer.async_wait([this](const SystemErrorCode &ec) {
        if (!ec)
            join();
    });
}

void PeerNetwork::onResumed()
{
    const Instant now = steadyNow();
    for (auto &[id, peer] : m_peers)
        peer.heardAt = std::min(peer.heardAt, now - silenceTimeout());
    m_spending.onResumed();
}

} // namespace quetzalyoke
