#include "Apps/Entry/StateExchange.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Metrics.h"

#include <boost/asio/post.hpp>

#include <charconv>

namespace quetzalyoke {

namespace {

// As long as a call that waits at the store itself.
constexpr std::chrono::milliseconds pollWait{2000};
constexpr std::chrono::milliseconds pollSlack{500};

// A change that is known to a peer is waited for this long at the store before the peer is asked.
constexpr Duration behindTolerance = std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds fetchTimeout{800};
constexpr ClientConnection::Limits connectionLimits{std::chrono::milliseconds(300),
                                                    std::chrono::milliseconds(1000)};

std::int64_t numberOf(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return 0;
    std::int64_t n = 0;
    const char *begin = target.data() + at + name.size() + 1;
    std::from_chars(begin, target.data() + target.size(), n);
    return n;
}

} // namespace

StateExchange::StateExchange(EntryState &state, Peers peers)
    : m_state(state), m_peers(std::move(peers)),
      m_election(ReaderElection::Settings(), state.settings.instance, state.settings.zone,
                 state.settings.processorShare),
      m_watch(behindTolerance)
{ }

bool StateExchange::followsStore() const
{
    return !m_reader && m_state.platform.isReachable();
}

void StateExchange::tick()
{
    m_retired.clear();
    const Instant now = loopNow();
    const std::vector<StatePeer> peers = m_peers();
    std::vector<ReaderCandidate> candidates;
    for (const StatePeer &peer : peers)
        candidates.push_back(peer.candidate);
    follow(m_election.reader(candidates, now), peers);
    fetchIfBehind(peers, now);
    std::vector<Held> expired;
    std::erase_if(m_held, [&](const Held &held) {
        if (now < held.until)
            return false;
        expired.push_back(held);
        return true;
    });
    for (const Held &held : expired) {
        held.session->answer(200, "Content-Type: application/json\r\n",
                             m_state.platform.changesSince(held.known));
    }
}

void StateExchange::follow(const std::optional<InstanceId> &reader,
                           const std::vector<StatePeer> &peers)
{
    if (reader == m_reader)
        return;
    m_reader = reader;
    if (m_pollCaller)
        m_retired.push_back(std::move(m_pollCaller));
    logNotable("state_source", {{"from", reader ? reader->text() : std::string("store")}});
    m_state.platform.setFollowing(!reader);
    if (!reader)
        return;
    for (const StatePeer &peer : peers) {
        if (peer.candidate.instance != *reader)
            continue;
        m_pollCaller = std::make_unique<HttpCaller>(m_state.loop, Address::parse(peer.http),
                                                    connectionLimits);
    }
    poll();
}

std::string StateExchange::request(const std::string &host, std::chrono::milliseconds wait) const
{
    const StateVersions known = m_state.platform.versions();
    return "GET /state?config=" + std::to_string(known.config.count())
        + "&servers=" + std::to_string(known.servers.count())
        + "&wait_ms=" + std::to_string(wait.count()) + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
}

void StateExchange::poll()
{
    m_pollCaller->call(request(m_pollCaller->peer().text(), pollWait), pollWait + pollSlack,
                       [this](const HttpOutcome &outcome) { onPolled(outcome); });
}

void StateExchange::onPolled(const HttpOutcome &outcome)
{
    if (!m_reader)
        return;
    if (outcome.isAnswered() && outcome.status == 200) {
        m_state.platform.takeChanges(outcome.body);
        if (m_pollCaller)
            poll();
        return;
    }
    logNotable("reader_failed",
               {{"peer", *m_reader},
                {"end", exchangeEndText(outcome.end)},
                {"timed_out", outcome.timedOut ? 1 : 0}});
    m_election.noteFailure(*m_reader, loopNow());
    asio::post(m_state.loop, [this] { tick(); });
}

// A gateway that the store turns away learns of changes from a peer that the store serves.
void StateExchange::fetchIfBehind(const std::vector<StatePeer> &peers, Instant now)
{
    StateVersions newest;
    for (const StatePeer &peer : peers) {
        if (!peer.candidate.isAlive)
            continue;
        newest.config = std::max(newest.config, peer.versions.config);
        newest.servers = std::max(newest.servers, peer.versions.servers);
    }
    if (m_isFetching || !m_watch.isOverdue(m_state.platform.versions(), newest, now))
        return;
    if (const StatePeer *peer = chooseAhead(peers, newest))
        fetch(*peer);
}

// Any peer that knows more, so that not all gateways ask the same one; of the own zone first. A
// configuration that is missing matters more than servers.
const StatePeer *StateExchange::chooseAhead(const std::vector<StatePeer> &peers,
                                            const StateVersions &newest)
{
    const StateVersions own = m_state.platform.versions();
    const bool lacksConfig = newest.config > own.config;
    const StatePeer *chosen = nullptr;
    int found = 0;
    for (const bool isNear : {true, false}) {
        for (const StatePeer &peer : peers) {
            const bool isAhead = lacksConfig ? peer.versions.config > own.config
                                             : peer.versions.servers > own.servers;
            if (!peer.candidate.isAlive || !isAhead
                || (peer.candidate.zone == m_state.settings.zone) != isNear)
                continue;
            ++found;
            if (m_state.random() * found < 1)
                chosen = &peer;
        }
        if (chosen)
            break;
    }
    return chosen;
}

void StateExchange::fetch(const StatePeer &peer)
{
    m_isFetching = true;
    if (!m_fetchCaller || m_fetchCaller->peer().text() != peer.http) {
        if (m_fetchCaller)
            m_retired.push_back(std::move(m_fetchCaller));
        m_fetchCaller = std::make_unique<HttpCaller>(m_state.loop, Address::parse(peer.http),
                                                     connectionLimits);
    }
    const auto take = [this, instance = peer.candidate.instance](const HttpOutcome &outcome) {
        m_isFetching = false;
        if (!outcome.isAnswered() || outcome.status != 200) {
            logNotable("state_not_fetched",
                       {{"peer", instance}, {"end", exchangeEndText(outcome.end)}});
            return;
        }
        Metrics::count("states_fetched");
        m_state.platform.takeChanges(outcome.body);
        const StateVersions versions = m_state.platform.versions();
        logNotable("state_fetched",
                   {{"peer", instance},
                    {"config_row", versions.config},
                    {"servers_row", versions.servers}});
    };
    m_fetchCaller->call(request(peer.http, std::chrono::milliseconds(0)), fetchTimeout, take);
}

bool StateExchange::isNewer(const StateVersions &known) const
{
    return !covers(known, m_state.platform.versions());
}

void StateExchange::answer(const CallerSession::Pointer &session, const std::string &target)
{
    const StateVersions known{Version(numberOf(target, "config")),
                              Version(numberOf(target, "servers"))};
    const Duration wait = std::chrono::milliseconds(
        std::min<std::int64_t>(numberOf(target, "wait_ms"), pollWait.count()));
    if (wait.count() > 0 && !isNewer(known)) {
        m_held.push_back({session, known, loopNow() + wait});
        return;
    }
    session->answer(200, "Content-Type: application/json\r\n",
                    m_state.platform.changesSince(known));
}

void StateExchange::onChanged()
{
    std::vector<Held> ready;
    std::erase_if(m_held, [&](const Held &held) {
        if (!isNewer(held.known))
            return false;
        ready.push_back(held);
        return true;
    });
    for (const Held &held : ready) {
        held.session->answer(200, "Content-Type: application/json\r\n",
                             m_state.platform.changesSince(held.known));
    }
}

void StateExchange::onResumed()
{
    if (!m_reader)
        return;
    // The store itself is the freshest source until the peers have been heard again.
    m_election.noteFailure(*m_reader, loopNow());
    tick();
}

} // namespace quetzalyoke
