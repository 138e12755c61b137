#include "Apps/Entry/PeerNetwork.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Core/Error.h"

namespace quetzalyoke {

namespace {

// Between news; what a gateway knows of its peers' work is half of it old on average.
constexpr std::chrono::milliseconds newsInterval{100};

// For news that can't wait, so that several of them travel together.
constexpr std::chrono::milliseconds soonDelay{2};

// Three news in a row are lost, or the peer is.
constexpr Duration peerSilence = std::chrono::milliseconds(450);

// Work of a silent peer is no longer counted at servers.
constexpr Duration workLifetime = std::chrono::milliseconds(1500);

// Changes by orders are repeated in case a datagram is lost, until the platform's list shows them.
constexpr Duration noticeLifetime = std::chrono::milliseconds(1500);

// A change that is known to a peer is waited for this long at the store before the peer is asked.
constexpr Duration behindTolerance = std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds fetchTimeout{800};
constexpr ClientConnection::Limits fetchLimits{std::chrono::milliseconds(300),
                                               std::chrono::milliseconds(1000)};

constexpr std::chrono::milliseconds joinRetry{500};

} // namespace

PeerNetwork::PeerNetwork(EntryState &state, HeldLease heldLease, HolderHook onHolder)
    : m_state(state), m_heldLease(std::move(heldLease)), m_onHolder(std::move(onHolder)),
      m_socket(state.loop, state.settings.peers,
               [this](const wire::PeerNews &news, const Address &from) { onNews(news, from); }),
      m_tick(state.loop), m_joinTimer(state.loop), m_soon(state.loop)
{ }

void PeerNetwork::start()
{
    updateCount();
    join();
    tick();
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
        m_joined = true;
        for (const MemberEntry &member : members) {
            if (member.instance == m_state.settings.instance)
                continue;
            try {
                addMember(member.instance, Address::parse(member.address));
            } catch (const Error &e) {
                logNotable("bad_member", {{"peer", member.instance}, {"reason", e.what()}});
            }
        }
        logNotable("joined", {{"members", m_peers.size() + 1}});
        tellSoon();
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
    m_state.gateways = n;
    m_state.quotas.setGateways(n, peerSilence);
}

void PeerNetwork::tick()
{
    tell();
    const Instant now = loopNow();
    for (auto &[id, peer] : m_peers) {
        if (!peer.isHeard || now - peer.heardAt < workLifetime)
            continue;
        peer.isHeard = false;
        m_state.book.setPeerWork(id, {});
        logNotable("peer_silent", {{"peer", id}, {"silent_ms", now - peer.heardAt}});
    }
    fetchState(now);
    m_tick.expires_after(newsInterval);
    m_tick.async_wait([this](const SystemError &ec) {
        if (!ec)
            tick();
    });
}

void PeerNetwork::tellSoon()
{
    if (m_isSoon)
        return;
    m_isSoon = true;
    m_soon.expires_after(soonDelay);
    m_soon.async_wait([this](const SystemError &ec) {
        m_isSoon = false;
        if (!ec)
            tell();
    });
}

void PeerNetwork::addNotices(const std::vector<OrderNotice> &notices)
{
    for (const OrderNotice &notice : notices)
        m_notices.push_back({notice, loopNow() + noticeLifetime});
    if (!notices.empty())
        tellSoon();
}

void PeerNetwork::leave()
{
    m_state.isStopping = true;
    tell();
}

wire::PeerNews PeerNetwork::makeNews()
{
    wire::PeerNews news;
    news.instance = m_state.settings.instance.text();
    news.incarnation = Process::incarnation().count();
    news.sequence = ++m_sequence;
    news.leaving = m_state.isStopping;
    news.http = m_state.settings.peers.text();
    const StateVersions versions = m_state.platform.versions();
    news.configRow = versions.config.count();
    news.serversRow = versions.servers.count();
    if (const auto row = m_heldLease()) {
        news.leaseFencing = row->fencing.count();
        news.leaseRow = row->version.count();
    }
    for (const auto &[id, server] : m_state.book.servers()) {
        if (server.own.running == 0)
            continue;
        wire::PeerWork work;
        work.server = id.text();
        work.running = server.own.running;
        work.prefillTokens = server.own.prefillTokens;
        work.memoryTokens = server.own.memoryTokens;
        news.work.push_back(std::move(work));
    }
    for (const auto &[account, spent] : m_state.quotas.spent()) {
        wire::PeerSpent entry;
        entry.account = account.text();
        entry.spent = spent;
        news.spent.push_back(std::move(entry));
    }
    for (const auto &[model, tokens] : std::exchange(m_state.demandNews, {})) {
        wire::PeerDemand demand;
        demand.model = model.text();
        demand.tokens = tokens;
        news.demand.push_back(std::move(demand));
    }
    for (const auto &[model, adapter] : std::exchange(m_state.wantedNews, {})) {
        wire::PeerAdapter wanted;
        wanted.model = model.text();
        wanted.adapter = adapter.text();
        news.wanted.push_back(std::move(wanted));
    }
    for (const auto &[server, model, adapter] : std::exchange(m_state.usedNews, {})) {
        wire::PeerAdapter used;
        used.server = server.text();
        used.model = model.text();
        used.adapter = adapter.text();
        news.used.push_back(std::move(used));
    }
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
    for (const Suspicion &suspicion : m_state.suspicions.suspicions(loopNow())) {
        for (const std::string &incident : suspicion.incidents) {
            wire::PeerCrash crash;
            crash.fingerprint = suspicion.fingerprint.text();
            crash.incident = incident;
            news.crashes.push_back(std::move(crash));
        }
    }
    return news;
}

void PeerNetwork::tell()
{
    const Instant now = loopNow();
    std::erase_if(m_notices, [now](const SentNotice &sent) { return now > sent.until; });
    if (m_peers.empty())
        return;
    const std::string bytes = PeerSocket::encode(makeNews());
    for (const auto &[id, peer] : m_peers)
        m_socket.send(bytes, peer.address);
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
    const bool isOlder = incarnation < peer.incarnation
        || (incarnation == peer.incarnation && news.sequence <= peer.sequence);
    if (isOlder)
        return;
    if (isNew || !peer.isHeard || incarnation != peer.incarnation) {
        logNotable("peer_heard",
                   {{"peer", instance}, {"incarnation", incarnation}, {"address", from.text()}});
        // It may have started after this gateway read the members.
        tellSoon();
    }
    peer.incarnation = incarnation;
    peer.sequence = news.sequence;
    peer.heardAt = loopNow();
    peer.isHeard = true;
    peer.http = news.http;
    peer.versions = {Version(news.configRow), Version(news.serversRow)};
    if (peer.isLeaving != news.leaving) {
        peer.isLeaving = news.leaving;
        updateCount();
    }
    applyNews(instance, news);
}

void PeerNetwork::applyNews(const InstanceId &from, const wire::PeerNews &news)
{
    const Instant now = loopNow();
    std::map<ServerName, ServerWork> work;
    for (const wire::PeerWork &entry : news.work) {
        work[ServerName(entry.server)] = {entry.running, entry.prefillTokens, entry.memoryTokens};
    }
    m_state.book.setPeerWork(from, work);
    std::map<AccountId, double> spent;
    for (const wire::PeerSpent &entry : news.spent)
        spent[AccountId(entry.account)] = entry.spent;
    m_state.quotas.takePeerSpent(from, Incarnation(news.incarnation), spent, now);
    for (const wire::PeerDemand &entry : news.demand)
        m_state.director.noteDemand(ModelName(entry.model), entry.tokens, now);
    for (const wire::PeerAdapter &entry : news.wanted)
        m_state.director.noteNeed(ModelName(entry.model), AdapterName(entry.adapter), now);
    for (const wire::PeerAdapter &entry : news.used) {
        m_state.director.noteUse(ServerName(entry.server), ModelName(entry.model),
                                 AdapterName(entry.adapter), now);
    }
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
    for (const wire::PeerCrash &entry : news.crashes)
        m_state.suspicions.add({Fingerprint(entry.fingerprint), {entry.incident}}, now);
    if (news.leaseFencing > 0)
        m_onHolder({from, Incarnation(news.incarnation), FencingNumber(news.leaseFencing),
                    Version(news.leaseRow)});
    if (!news.notices.empty() && !m_state.waiting.isEmpty())
        m_state.waiting.retryAll();
    if (!news.wanted.empty() && m_state.onNeed)
        m_state.onNeed();
}

// A gateway that the store turns away learns of changes from a peer that the store serves.
void PeerNetwork::fetchState(Instant now)
{
    const StateVersions own = m_state.platform.versions();
    const Peer *ahead = nullptr;
    for (const auto &[id, peer] : m_peers) {
        const bool isAhead = peer.isHeard
            && (peer.versions.config > own.config || peer.versions.servers > own.servers);
        if (isAhead
            && (!ahead || peer.versions.servers > ahead->versions.servers
                || peer.versions.config > ahead->versions.config))
            ahead = &peer;
    }
    if (!ahead) {
        m_isBehind = false;
        return;
    }
    if (!m_isBehind) {
        m_isBehind = true;
        m_behindSince = now;
    }
    if (m_isFetching || now - m_behindSince < behindTolerance)
        return;
    m_isFetching = true;
    m_oldFetchers.clear();
    if (!m_fetcher || m_fetcher->peer().text() != ahead->http) {
        if (m_fetcher)
            m_oldFetchers.push_back(std::move(m_fetcher));
        m_fetcher
            = std::make_unique<HttpCaller>(m_state.loop, Address::parse(ahead->http), fetchLimits);
    }
    const std::string request = "GET /state HTTP/1.1\r\nHost: " + ahead->http + "\r\n\r\n";
    m_fetcher->call(request, fetchTimeout, [this](const HttpOutcome &outcome) {
        m_isFetching = false;
        m_isBehind = false;
        if (!outcome.isAnswered() || outcome.status != 200) {
            logNotable("state_not_fetched",
                       {{"peer", m_fetcher->peer().text()}, {"end", exchangeEndText(outcome.end)}});
            return;
        }
        Metrics::count("states_fetched");
        m_state.platform.takeSnapshot(outcome.body);
        const StateVersions versions = m_state.platform.versions();
        logNotable("state_fetched",
                   {{"peer", m_fetcher->peer().text()},
                    {"config_row", versions.config},
                    {"servers_row", versions.servers}});
    });
}

void PeerNetwork::onResumed()
{
    const Instant now = loopNow();
    for (auto &[id, peer] : m_peers)
        peer.heardAt = std::min(peer.heardAt, now - peerSilence);
}

} // namespace quetzalyoke
