#include "Apps/Entry/PeerNetwork.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
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
      m_socket(state.loop, state.settings.peers,
               [this](const wire::PeerNews &news, const Address &from) { onNews(news, from); }),
      m_tick(state.loop), m_joinTimer(state.loop), m_urgentTimer(state.loop),
      m_spending(state,
                 {[this] { return candidates(); },
                  [this](const InstanceId &to, const wire::PeerSpending &spending) {
                      sendSpending(to, spending);
                  }})
{ }

void PeerNetwork::start()
{
    updateCount();
    join();
    tick();
    m_spending.start();
}

std::chrono::milliseconds PeerNetwork::interval() const
{
    return std::max(shortestInterval, intervalPerPeer * static_cast<int>(m_peers.size()));
}

Duration PeerNetwork::silence() const
{
    return intervalsOfSilence * interval() + silenceMargin;
}

void PeerNetwork::join()
{
    const MemberEntry self{m_state.settings.instance, m_state.settings.peers.text()};
    m_state.platform.join(self, [this](bool ok, const std::vector<MemberEntry> &members) {
        if (!ok) {
            logNotable("join_failed", {{"retry_ms", Duration(joinRetry)}});
            m_joinTimer.expires_after(joinRetry);
            m_joinTimer.async_wait([this](const SystemError &ec) {
                if (!ec)
                    join();
            });
            return;
        }
        m_hasJoined = true;
        for (const MemberEntry &member : members) {
            if (member.instance == m_state.settings.instance)
                continue;
            try {
                addMember(member.instance, Address::parse(member.address));
            } catch (const Error &e) {
                logNotable("bad_member", {{"peer", member.instance}, {"reason", e.what()}});
            }
        }
        updateCount();
        logNotable("joined", {{"members", m_peers.size() + 1}});
        tellAll();
    });
}

void PeerNetwork::addMember(const InstanceId &instance, const Address &address)
{
    const auto [it, isNew] = m_peers.try_emplace(instance);
    it->second.address = address;
    if (isNew)
        updateCount();
}

void PeerNetwork::updateCount()
{
    std::size_t n = 1;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isLeaving)
            ++n;
    }
    if (!m_hasJoined)
        n = std::max(n, gatewaysBeforeJoining);
    m_spending.setPeers(m_peers.size());
    m_state.setGateways(n, m_spending.isRelaying() ? SpendingRelay::Settings().silence : silence());
}

void PeerNetwork::tick()
{
    tellAll();
    const Instant now = loopNow();
    for (auto &[id, peer] : m_peers) {
        if (!peer.isHeard || now - peer.heardAt < std::max(workLifetime, silence()))
            continue;
        peer.isHeard = false;
        m_state.book.setPeerWork(id, {});
        logNotable("peer_silent", {{"peer", id}, {"silent_ms", now - peer.heardAt}});
    }
    m_hooks.onRank(rank(), interval());
    m_tick.expires_after(interval());
    m_tick.async_wait([this](const SystemError &ec) {
        if (!ec)
            tick();
    });
}

void PeerNetwork::sendSpending(const InstanceId &to, const wire::PeerSpending &spending)
{
    const auto peer = m_peers.find(to);
    if (peer == m_peers.end())
        return;
    wire::PeerNews news = makeHead(true);
    news.__set_spending(spending);
    m_socket.send(PeerSocket::encode(news), peer->second.address);
}

// Among those that may take over from the holder of the lease.
std::size_t PeerNetwork::rank() const
{
    std::vector<ReaderCandidate> others = candidates();
    std::erase_if(others, [this](const ReaderCandidate &it) { return it.instance == m_holder; });
    return rankAmong(others, m_state.settings.processorShare, m_state.settings.instance);
}

std::vector<ReaderCandidate> PeerNetwork::candidates() const
{
    std::vector<ReaderCandidate> candidates;
    for (const auto &[id, peer] : m_peers)
        candidates.push_back(candidate(id, peer));
    return candidates;
}

ReaderCandidate PeerNetwork::candidate(const InstanceId &id, const Peer &peer)
{
    return {id, peer.zone, peer.isHeard && !peer.isLeaving, peer.followsStore, peer.processorShare};
}

void PeerNetwork::tellNeeds()
{
    scheduleUrgent();
}

void PeerNetwork::tellNotices(const std::vector<OrderNotice> &notices)
{
    for (const OrderNotice &notice : notices)
        m_notices.push_back({notice, loopNow() + noticeLifetime});
    m_hasNewNotices = m_hasNewNotices || !notices.empty();
    scheduleUrgent();
}

void PeerNetwork::tellDepartures()
{
    if (!m_state.departureNews.empty())
        scheduleUrgent();
}

void PeerNetwork::scheduleUrgent()
{
    if (m_isUrgentScheduled)
        return;
    m_isUrgentScheduled = true;
    m_urgentTimer.expires_after(urgentDelay
                                + urgentDelayPerPeer * static_cast<int>(m_peers.size()));
    m_urgentTimer.async_wait([this](const SystemError &ec) {
        m_isUrgentScheduled = false;
        if (!ec)
            tellUrgent();
    });
}

void PeerNetwork::leave()
{
    m_state.isStopping = true;
    tellAll();
}

const PeerNetwork::Peer *PeerNetwork::holder() const
{
    const auto it = m_peers.find(m_holder);
    return it == m_peers.end() || !it->second.isHeard ? nullptr : &it->second;
}

void PeerNetwork::tellAll()
{
    const Instant now = loopNow();
    std::erase_if(m_notices, [now](const SentNotice &sent) { return now > sent.until; });
    if (m_peers.empty())
        return;
    wire::PeerNews news = makeHead(false);
    addFacts(news);
    addNotices(news);
    const bool tellsEverything = m_peers.size() <= peersToldEverything;
    if (tellsEverything)
        addEvents(news);
    const std::string bytes = PeerSocket::encode(news);
    for (const auto &[id, peer] : m_peers)
        m_socket.send(bytes, peer.address);
    if (tellsEverything)
        return;
    wire::PeerNews events = makeHead(true);
    addEvents(events);
    const bool hasEvents = !events.wanted.empty() || !events.used.empty() || !events.demand.empty();
    const Peer *told = holder();
    if (told && hasEvents)
        m_socket.send(PeerSocket::encode(events), told->address);
}

void PeerNetwork::tellUrgent()
{
    wire::PeerNews news = makeHead(true);
    addEvents(news);
    if (std::exchange(m_hasNewNotices, false))
        addNotices(news);
    addDepartures(std::exchange(m_state.departureNews, {}), news);
    const std::string bytes = PeerSocket::encode(news);
    const Peer *told = holder();
    if (told && news.notices.empty() && news.serverSignals.empty()) {
        m_socket.send(bytes, told->address);
        return;
    }
    for (const auto &[id, peer] : m_peers)
        m_socket.send(bytes, peer.address);
}

wire::PeerNews PeerNetwork::makeHead(bool isUrgent)
{
    wire::PeerNews news;
    news.instance = m_state.settings.instance.text();
    news.incarnation = Process::incarnation().count();
    news.sequence = ++m_sequence;
    news.isUrgent = isUrgent;
    return news;
}

void PeerNetwork::addFacts(wire::PeerNews &news)
{
    news.leaving = m_state.isStopping;
    news.http = m_state.settings.peers.text();
    news.zone = m_state.settings.zone.text();
    news.followsStore = m_hooks.followsStore();
    news.processorShare = m_state.settings.processorShare;
    const StateVersions versions = m_state.platform.versions();
    news.configRow = versions.config.count();
    news.serversRow = versions.servers.count();
    if (const auto row = m_hooks.heldLease()) {
        news.leaseFencing = row->fencing.count();
        news.leaseRow = row->version.count();
    }
    for (const auto &[id, server] : m_state.book.servers()) {
        if (server.own.running == 0)
            continue;
        wire::PeerWork work;
        work.server = server.hash;
        work.running = server.own.running;
        work.prefillTokens = server.own.prefillTokens;
        work.memoryTokens = server.own.memoryTokens;
        news.work.push_back(work);
    }
    if (!m_spending.isRelaying())
        news.spent = encodeSpending(m_state.quotas.spending());
    addCrashes(m_state.suspicions.news().next(), news);
    addDepartures(m_state.book.unlistedDepartures(), news);
    addPauses(news);
}

void PeerNetwork::addDepartures(const std::vector<Departure> &departures, wire::PeerNews &news)
{
    for (const Departure &departure : departures) {
        wire::PeerServerSignal signal;
        signal.server = departure.server.text();
        signal.incarnation = departure.incarnation.count();
        signal.leaving = true;
        news.serverSignals.push_back(std::move(signal));
    }
}

void PeerNetwork::addPauses(wire::PeerNews &news) const
{
    const Instant now = loopNow();
    for (const auto &[id, server] : m_state.book.servers()) {
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

void PeerNetwork::addCrashes(const std::vector<Suspicion> &suspicions, wire::PeerNews &news)
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
void PeerNetwork::tellCrashes(const InstanceId &instance, const Address &address)
{
    for (const auto &[id, peer] : m_peers) {
        if (peer.isHeard && id != instance && id < m_state.settings.instance)
            return;
    }
    const auto known = m_state.suspicions.suspicions(loopNow());
    for (const auto &part : m_state.suspicions.news().split(known)) {
        wire::PeerNews news = makeHead(true);
        addCrashes(part, news);
        m_socket.send(PeerSocket::encode(news), address);
    }
}

void PeerNetwork::addEvents(wire::PeerNews &news)
{
    for (const auto &[model, tokens] : std::exchange(m_state.demandNews, {})) {
        wire::PeerDemand demand;
        demand.model = model.text();
        demand.tokens = tokens;
        news.demand.push_back(std::move(demand));
    }
    for (const auto &[server, model, adapter] : std::exchange(m_state.wantedNews, {})) {
        wire::PeerAdapter wanted;
        wanted.server = server.text();
        wanted.model = model.text();
        wanted.adapter = adapter.text();
        news.wanted.push_back(std::move(wanted));
    }
    for (const auto &[place, busy] : std::exchange(m_state.usedNews, {})) {
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

void PeerNetwork::addNotices(wire::PeerNews &news) const
{
    for (const SentNotice &sent : m_notices) {
        wire::PeerNotice notice;
        notice.server = sent.notice.server.text();
        notice.incarnation = sent.notice.incarnation.count();
        notice.orders = sent.notice.orders;
        notice.model = sent.notice.model.text();
        notice.adapter = sent.notice.adapter.text();
        notice.isLoad = sent.notice.isLoad;
        news.notices.push_back(std::move(notice));
    }
}

void PeerNetwork::onNews(const wire::PeerNews &news, const Address &from)
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
        m_spending.take(news);
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
        tellCrashes(instance, from);
    }
    peer.incarnation = incarnation;
    peer.sequence = news.sequence;
    peer.heardAt = loopNow();
    peer.isHeard = true;
    peer.http = news.http;
    peer.zone = ZoneName(news.zone);
    peer.followsStore = news.followsStore;
    peer.processorShare = news.processorShare;
    peer.versions = {Version(news.configRow), Version(news.serversRow)};
    if (peer.isLeaving != news.leaving) {
        peer.isLeaving = news.leaving;
        updateCount();
    }
    applyFacts(instance, news);
    applyEvents(news);
}

void PeerNetwork::applyFacts(const InstanceId &from, const wire::PeerNews &news)
{
    const Instant now = loopNow();
    std::map<std::int32_t, ServerWork> work;
    for (const wire::PeerWork &entry : news.work)
        work[entry.server] = {entry.running, entry.prefillTokens, entry.memoryTokens};
    m_state.book.setPeerWork(from, work);
    if (!m_spending.isRelaying()) {
        m_state.quotas.takePeerSpending(from, Incarnation(news.incarnation),
                                        decodeSpending(news.spent), now);
    }
    if (news.leaseFencing <= 0)
        return;
    m_holder = from;
    m_hooks.onHolder({from, Incarnation(news.incarnation), FencingNumber(news.leaseFencing),
                      Version(news.leaseRow)});
}

void PeerNetwork::applyServerSignals(const InstanceId &from, const wire::PeerNews &news)
{
    bool isChanged = false;
    for (const wire::PeerServerSignal &signal : news.serverSignals) {
        const ServerName server(signal.server);
        const Incarnation incarnation(signal.incarnation);
        if (signal.pauseMs > 0) {
            m_state.book.notePeerPause(server, incarnation,
                                       loopNow() + std::chrono::milliseconds(signal.pauseMs));
        }
        if (!signal.leaving || !m_state.book.noteLeaving(server, incarnation))
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
    const Instant now = loopNow();
    for (const wire::PeerDemand &entry : news.demand)
        m_state.director.noteDemand(ModelName(entry.model), entry.tokens, now);
    for (const wire::PeerAdapter &entry : news.wanted) {
        const ModelName model(entry.model);
        const AdapterName adapter(entry.adapter);
        if (entry.server.empty())
            m_state.director.noteNeed(model, adapter, now);
        else
            m_state.director.noteRelief(ServerName(entry.server), model, adapter, now);
    }
    for (const wire::PeerAdapter &entry : news.used) {
        m_state.director.noteUse(ServerName(entry.server), ModelName(entry.model),
                                 AdapterName(entry.adapter),
                                 now + std::chrono::milliseconds(entry.busyMs));
    }
    for (const wire::PeerCrash &entry : news.crashes)
        m_state.suspicions.add({Fingerprint(entry.fingerprint), {entry.incident}}, now);
    for (const wire::PeerNotice &entry : news.notices) {
        OrderNotice notice;
        notice.server = ServerName(entry.server);
        notice.incarnation = Incarnation(entry.incarnation);
        notice.orders = entry.orders;
        notice.model = ModelName(entry.model);
        notice.adapter = AdapterName(entry.adapter);
        notice.isLoad = entry.isLoad;
        m_state.book.addNotice(notice, now);
    }
    if (!news.notices.empty())
        m_state.waiting.retryAll();
    if (!news.wanted.empty() && m_state.onNeed)
        m_state.onNeed();
}

std::vector<StatePeer> PeerNetwork::statePeers() const
{
    std::vector<StatePeer> peers;
    for (const auto &[id, peer] : m_peers) {
        peers.push_back({candidate(id, peer), peer.http, peer.versions});
    }
    return peers;
}

void PeerNetwork::onResumed()
{
    const Instant now = loopNow();
    for (auto &[id, peer] : m_peers)
        peer.heardAt = std::min(peer.heardAt, now - silence());
    m_spending.onResumed();
}

} // namespace quetzalyoke
