#include "Apps/Entry/PeerNetwork.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"
#include "Core/Error.h"

namespace quetzalyoke {

namespace {

// Between news; what a gateway knows of its peers' work is half of it old on average. Grows with
// the peers, so that a small instance is not kept busy by news alone.
constexpr std::chrono::milliseconds shortestInterval{100};
constexpr std::chrono::milliseconds intervalPerPeer{16};

// Two news in a row are lost, or the peer is.
constexpr int intervalsOfSilence = 3;
constexpr std::chrono::milliseconds silenceMargin{150};

// Work of a silent peer is no longer counted at servers.
constexpr Duration workLifetime = std::chrono::milliseconds(1500);

// Changes by orders are repeated in case a datagram is lost, until the platform's list shows them.
constexpr Duration noticeLifetime = std::chrono::milliseconds(1500);

// Urgent news that come together travel together.
constexpr std::chrono::milliseconds urgentDelay{2};
constexpr std::chrono::milliseconds urgentDelayPerPeer{1};

// Up to here all peers hear of demand and use, so that any of them can take over the lease well
// informed; beyond, only the holder does.
constexpr std::size_t peersToldEverything = 8;

// Until the members are known, this gateway takes no more than one of so many would.
constexpr std::size_t gatewaysBeforeJoining = 16;

constexpr std::chrono::milliseconds joinRetry{500};

} // namespace

PeerNetwork::PeerNetwork(EntryState &state, Hooks hooks)
    : m_state(state), m_hooks(std::move(hooks)),
      m_socket(
          state.loop, state.settings.peerListen,
          [this](const wire::PeerNews &news, const Address &from) { onPeerMessage(news, from); }),
      m_tick(state.loop), m_joinTimer(state.loop), m_urgentTimer(state.loop),
      m_spending(state,
                 {[this] { return candidates(); },
                  [this](const InstanceId &to, const wire::PeerSpending &spending) {
                      sendSpending(to, spending);
                  }})
{ }

void PeerNetwork::start()
{
    updateGatewayCount();
    join();
    tick();
    m_spending.start();
}

std::chrono::milliseconds PeerNetwork::messageInterval() const
{
    return std::max(shortestInterval, intervalPerPeer * static_cast<int>(m_peers.size()));
}

Duration PeerNetwork::silenceTimeout() const
{
    return intervalsOfSilence * messageInterval() + silenceMargin;
}

void PeerNetwork::join()
{
    const ListedGateway self{m_state.settings.instance, m_state.settings.peerListen.text()};
    m_state.platform.join(self, [this](bool ok, const std::vector<ListedGateway> &members) {
        if (!ok) {
            logNotable("join_failed", {{"retry_ms", Duration(joinRetry)}});
            m_joinTimer.expires_after(joinRetry);
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
        n = std::max(n, gatewaysBeforeJoining);
    m_spending.setPeerCount(m_peers.size());
    m_state.setGatewayCount(
        n, m_spending.isRelaying() ? SpendingRelay::Settings().silenceTimeout : silenceTimeout());
}

void PeerNetwork::tick()
{
    broadcastState();
    const Instant now = steadyNow();
    for (auto &[id, peer] : m_peers) {
        if (!peer.isHeard || now - peer.heardAt < std::max(workLifetime, silenceTimeout()))
            continue;
        peer.isHeard = false;
        m_state.servers.setPeerWork(id, {});
        logNotable("peer_silent", {{"peer", id}, {"silent_ms", now - peer.heardAt}});
    }
    m_hooks.onTakeoverRank(takeoverRank(), messageInterval());
    m_tick.expires_after(messageInterval());
    m_tick.async_wait([this](const SystemErrorCode &ec) {
        if (!ec)
            tick();
    });
}

void PeerNetwork::sendSpending(const InstanceId &to, const wire::PeerSpending &spending)
{
    const auto peer = m_peers.find(to);
    if (peer == m_peers.end())
        return;
    wire::PeerNews news = makeMessage(true);
    news.__set_spending(spending);
    m_socket.send(PeerSocket::encode(news), peer->second.address);
}

// Among those that may take over from the holder of the lease.
std::size_t PeerNetwork::takeoverRank() const
{
    std::vector<GatewayCandidate> others = candidates();
    std::erase_if(others, [this](const GatewayCandidate &it) { return it.instance == m_holder; });
    return gatewayRank(others, m_state.settings.processorShare, m_state.settings.instance);
}

std::vector<GatewayCandidate> PeerNetwork::candidates() const
{
    std::vector<GatewayCandidate> candidates;
    for (const auto &[id, peer] : m_peers)
        candidates.push_back(candidate(id, peer));
    return candidates;
}

GatewayCandidate PeerNetwork::candidate(const InstanceId &id, const Peer &peer)
{
    return {id, peer.zone, peer.isHeard && !peer.isLeaving, peer.followsStore, peer.processorShare};
}

void PeerNetwork::announceNeeds()
{
    scheduleUrgentMessage();
}

void PeerNetwork::announceLoadedModelChanges(const std::vector<LoadedModelChange> &notices)
{
    for (const LoadedModelChange &notice : notices)
        m_sentChanges.push_back({notice, steadyNow() + noticeLifetime});
    m_hasNewChanges = m_hasNewChanges || !notices.empty();
    scheduleUrgentMessage();
}

void PeerNetwork::announceLeavingServers()
{
    if (!m_state.unsentLeavingServers.empty())
        scheduleUrgentMessage();
}

void PeerNetwork::scheduleUrgentMessage()
{
    if (m_isUrgentScheduled)
        return;
    m_isUrgentScheduled = true;
    m_urgentTimer.expires_after(urgentDelay
                                + urgentDelayPerPeer * static_cast<int>(m_peers.size()));
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

const PeerNetwork::Peer *PeerNetwork::holder() const
{
    const auto it = m_peers.find(m_holder);
    return it == m_peers.end() || !it->second.isHeard ? nullptr : &it->second;
}

void PeerNetwork::broadcastState()
{
    const Instant now = steadyNow();
    std::erase_if(m_sentChanges, [now](const SentChange &sent) { return now > sent.resendUntil; });
    if (m_peers.empty())
        return;
    wire::PeerNews news = makeMessage(false);
    addState(news);
    addLoadedModelChanges(news);
    const bool tellsEverything = m_peers.size() <= peersToldEverything;
    if (tellsEverything)
        addEvents(news);
    const std::string bytes = PeerSocket::encode(news);
    for (const auto &[id, peer] : m_peers)
        m_socket.send(bytes, peer.address);
    if (tellsEverything)
        return;
    wire::PeerNews events = makeMessage(true);
    addEvents(events);
    const bool hasEvents = !events.wanted.empty() || !events.used.empty() || !events.demand.empty();
    const Peer *told = holder();
    if (told && hasEvents)
        m_socket.send(PeerSocket::encode(events), told->address);
}

void PeerNetwork::sendUrgentMessage()
{
    wire::PeerNews news = makeMessage(true);
    addEvents(news);
    if (std::exchange(m_hasNewChanges, false))
        addLoadedModelChanges(news);
    addLeavingServers(std::exchange(m_state.unsentLeavingServers, {}), news);
    const std::string bytes = PeerSocket::encode(news);
    const Peer *told = holder();
    if (told && news.notices.empty() && news.serverSignals.empty()) {
        m_socket.send(bytes, told->address);
        return;
    }
    for (const auto &[id, peer] : m_peers)
        m_socket.send(bytes, peer.address);
}

wire::PeerNews PeerNetwork::makeMessage(bool isUrgent)
{
    wire::PeerNews news;
    news.instance = m_state.settings.instance.text();
    news.incarnation = Process::incarnation().count();
    news.sequence = ++m_sequence;
    news.isUrgent = isUrgent;
    return news;
}

void PeerNetwork::addState(wire::PeerNews &news)
{
    news.leaving = m_state.isStopping;
    news.http = m_state.settings.peerListen.text();
    news.zone = m_state.settings.zone.text();
    news.followsStore = m_hooks.followsStore();
    news.processorShare = m_state.settings.processorShare;
    const StateVersions versions = m_state.platform.versions();
    news.configRow = versions.config.count();
    news.serversRow = versions.servers.count();
    if (const auto row = m_hooks.heldLease()) {
        news.leaseFencing = row->fencingToken.count();
        news.leaseRow = row->version.count();
    }
    for (const auto &[id, server] : m_state.servers.servers()) {
        if (server.ownWork.requestsInFlight == 0)
            continue;
        wire::PeerWork work;
        work.server = server.idHash;
        work.running = server.ownWork.requestsInFlight;
        work.prefillTokens = server.ownWork.prefillTokens;
        work.memoryTokens = server.ownWork.kvCacheTokens;
        news.work.push_back(work);
    }
    if (!m_spending.isRelaying())
        news.spent = encodeSpending(m_state.quotas.spending());
    addCrashSuspicions(m_state.crashDetector.broadcastQueue().nextBatch(), news);
    addLeavingServers(m_state.servers.unlistedLeavingServers(), news);
    addPauses(news);
}

void PeerNetwork::addLeavingServers(const std::vector<LeavingServer> &departures,
                                    wire::PeerNews &news)
{
    for (const LeavingServer &departure : departures) {
        wire::PeerServerSignal signal;
        signal.server = departure.server.text();
        signal.incarnation = departure.incarnation.count();
        signal.leaving = true;
        news.serverSignals.push_back(std::move(signal));
    }
}

void PeerNetwork::addPauses(wire::PeerNews &news) const
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
        news.serverSignals.push_back(std::move(signal));
    }
}

void PeerNetwork::addCrashSuspicions(const std::vector<Suspicion> &suspicions, wire::PeerNews &news)
{
    for (const Suspicion &suspicion : suspicions) {
        for (const std::string &incident : suspicion.incidents) {
            wire::PeerCrash crash;
            crash.fingerprint = suspicion.fingerprint.text();
            crash.incident = incident;
            news.crashes.push_back(std::move(crash));
        }
    }
}

// A gateway that has just started, or was cut off, missed what was told. Of those that hear each
// other the first by name tells it all.
void PeerNetwork::sendCrashSuspicions(const InstanceId &instance, const Address &address)
{
    for (const auto &[id, peer] : m_peers) {
        if (peer.isHeard && id != instance && id < m_state.settings.instance)
            return;
    }
    const auto known = m_state.crashDetector.suspicions(steadyNow());
    for (const auto &part : m_state.crashDetector.broadcastQueue().splitIntoBatches(known)) {
        wire::PeerNews news = makeMessage(true);
        addCrashSuspicions(part, news);
        m_socket.send(PeerSocket::encode(news), address);
    }
}

void PeerNetwork::addEvents(wire::PeerNews &news)
{
    for (const auto &[model, tokens] : std::exchange(m_state.unsentDemand, {})) {
        wire::PeerDemand demand;
        demand.model = model.text();
        demand.tokens = tokens;
        news.demand.push_back(std::move(demand));
    }
    for (const auto &[server, model, adapter] : std::exchange(m_state.unsentNeeds, {})) {
        wire::PeerAdapter wanted;
        wanted.server = server.text();
        wanted.model = model.text();
        wanted.adapter = adapter.text();
        news.wanted.push_back(std::move(wanted));
    }
    for (const auto &[place, busy] : std::exchange(m_state.unsentAdapterUses, {})) {
        const auto &[server, model, adapter] = place;
        wire::PeerAdapter used;
        used.busyMs = static_cast<std::int32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(busy).count());
        used.server = server.text();
        used.model = model.text();
        used.adapter = adapter.text();
        news.used.push_back(std::move(used));
    }
}

void PeerNetwork::addLoadedModelChanges(wire::PeerNews &news) const
{
    for (const SentChange &sent : m_sentChanges) {
        wire::PeerNotice notice;
        notice.server = sent.change.server.text();
        notice.incarnation = sent.change.incarnation.count();
        notice.orders = sent.change.acceptedOrders;
        notice.model = sent.change.model.text();
        notice.adapter = sent.change.adapter.text();
        notice.isLoad = sent.change.isLoad;
        news.notices.push_back(std::move(notice));
    }
}

void PeerNetwork::onPeerMessage(const wire::PeerNews &news, const Address &from)
{
    const InstanceId instance(news.instance);
    if (instance == m_state.settings.instance || instance.isEmpty())
        return;
    const bool isNew = m_peers.count(instance) == 0;
    addMember(instance, from);
    Peer &peer = m_peers[instance];
    const Incarnation incarnation(news.incarnation);
    if (incarnation < peer.incarnation)
        return;
    if (news.__isset.spending) {
        m_spending.onPeerMessage(news);
        return;
    }
    applyServerSignals(instance, news);
    if (news.isUrgent) {
        applyEvents(news);
        return;
    }
    if (incarnation == peer.incarnation && news.sequence <= peer.sequence)
        return;
    if (isNew || !peer.isHeard || incarnation != peer.incarnation) {
        logNotable("peer_heard",
                   {{"peer", instance}, {"incarnation", incarnation}, {"address", from.text()}});
        sendCrashSuspicions(instance, from);
    }
    peer.incarnation = incarnation;
    peer.sequence = news.sequence;
    peer.heardAt = steadyNow();
    peer.isHeard = true;
    peer.httpAddress = news.http;
    peer.zone = ZoneName(news.zone);
    peer.followsStore = news.followsStore;
    peer.processorShare = news.processorShare;
    peer.versions = {Version(news.configRow), Version(news.serversRow)};
    if (peer.isLeaving != news.leaving) {
        peer.isLeaving = news.leaving;
        updateGatewayCount();
    }
    applyState(instance, news);
    applyEvents(news);
}

void PeerNetwork::applyState(const InstanceId &from, const wire::PeerNews &news)
{
    const Instant now = steadyNow();
    std::map<std::int32_t, ServerWork> work;
    for (const wire::PeerWork &entry : news.work)
        work[entry.server] = {entry.running, entry.prefillTokens, entry.memoryTokens};
    m_state.servers.setPeerWork(from, work);
    if (!m_spending.isRelaying()) {
        m_state.quotas.updatePeerSpending(from, Incarnation(news.incarnation),
                                          decodeSpending(news.spent), now);
    }
    if (news.leaseFencing <= 0)
        return;
    m_holder = from;
    m_hooks.onHolderRenewal({from, Incarnation(news.incarnation), FencingToken(news.leaseFencing),
                             Version(news.leaseRow)});
}

void PeerNetwork::applyServerSignals(const InstanceId &from, const wire::PeerNews &news)
{
    bool isChanged = false;
    for (const wire::PeerServerSignal &signal : news.serverSignals) {
        const ServerName server(signal.server);
        const Incarnation incarnation(signal.incarnation);
        if (signal.pauseMs > 0) {
            m_state.servers.recordPeerPause(
                server, incarnation, steadyNow() + std::chrono::milliseconds(signal.pauseMs));
        }
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

void PeerNetwork::applyEvents(const wire::PeerNews &news)
{
    const Instant now = steadyNow();
    for (const wire::PeerDemand &entry : news.demand)
        m_state.replicaController.recordPromptTokens(ModelName(entry.model), entry.tokens, now);
    for (const wire::PeerAdapter &entry : news.wanted) {
        const ModelName model(entry.model);
        const AdapterName adapter(entry.adapter);
        if (entry.server.empty())
            m_state.replicaController.recordWaitingRequest(model, adapter, now);
        else
            m_state.replicaController.proposeAdapterReplica(ServerName(entry.server), model,
                                                            adapter, now);
    }
    for (const wire::PeerAdapter &entry : news.used) {
        m_state.replicaController.recordAdapterUse(ServerName(entry.server), ModelName(entry.model),
                                                   AdapterName(entry.adapter),
                                                   now + std::chrono::milliseconds(entry.busyMs));
    }
    for (const wire::PeerCrash &entry : news.crashes)
        m_state.crashDetector.addPeerSuspicion({Fingerprint(entry.fingerprint), {entry.incident}},
                                               now);
    for (const wire::PeerNotice &entry : news.notices) {
        LoadedModelChange notice;
        notice.server = ServerName(entry.server);
        notice.incarnation = Incarnation(entry.incarnation);
        notice.acceptedOrders = entry.orders;
        notice.model = ModelName(entry.model);
        notice.adapter = AdapterName(entry.adapter);
        notice.isLoad = entry.isLoad;
        m_state.servers.addLoadedModelChange(notice, now);
    }
    if (!news.notices.empty())
        m_state.waitQueue.retryDispatches();
    if (!news.wanted.empty() && m_state.onRequestWaiting)
        m_state.onRequestWaiting();
}

std::vector<StatePeer> PeerNetwork::statePeers() const
{
    std::vector<StatePeer> peers;
    for (const auto &[id, peer] : m_peers) {
        peers.push_back({candidate(id, peer), peer.httpAddress, peer.versions});
    }
    return peers;
}

void PeerNetwork::onResumed()
{
    const Instant now = steadyNow();
    for (auto &[id, peer] : m_peers)
        peer.heardAt = std::min(peer.heardAt, now - silenceTimeout());
    m_spending.onResumed();
}

} // namespace quetzalyoke
