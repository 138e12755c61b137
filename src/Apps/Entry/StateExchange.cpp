#include "Apps/Entry/StateExchange.h"

#include <boost/asio/post.hpp>

#include <charconv>

namespace quetzalyoke {

namespace {

constexpr HttpClientConnection::Limits connectionLimits{std::chrono::milliseconds(300),
                                                        std::chrono::milliseconds(1000)};

// Age of the sender's copies of the operators' and of the servers' table, in milliseconds.
constexpr const char *ageHeader = "State-Age-Ms";

// An older state is of no use.
constexpr std::chrono::milliseconds maxStatedAge{60'000};

// Returns 0 if \a target has no such parameter.
template<typename Number = std::int64_t>
Number queryNumber(const std::string &target, const std::string &name)
{
    const auto at = target.find(name);
    if (at == std::string::npos)
        return 0;
    Number n = 0;
    const char *begin = target.data() + at + name.size();
    std::from_chars(begin, target.data() + target.size(), n);
    return n;
}

std::string requestText(const StateRequest &request, const std::string &host)
{
    const StateVersions &known = request.known;
    return "GET /state?config=" + std::to_string(known.operators.version.count())
        + "&config_digest=" + std::to_string(known.operators.digest)
        + "&servers=" + std::to_string(known.servers.version.count())
        + "&servers_digest=" + std::to_string(known.servers.digest)
        + "&in_force=" + std::to_string(known.configuration.count()) + "&wait_ms="
        + std::to_string(request.wait.count()) + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
}

StateRequest requestOf(const std::string &target)
{
    return {{{Version(queryNumber(target, "config=")),
              queryNumber<std::uint64_t>(target, "config_digest=")},
             {Version(queryNumber(target, "servers=")),
              queryNumber<std::uint64_t>(target, "servers_digest=")},
             Version(queryNumber(target, "in_force="))},
            std::chrono::milliseconds(queryNumber(target, "wait_ms="))};
}

std::string ageField(const StateTimes &confirmedAt, Instant now)
{
    const auto ageText = [now](Instant time) {
        const Duration age = std::max(Duration(0), now - time);
        return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(age).count());
    };
    return std::string(ageHeader) + ": " + ageText(confirmedAt.operators) + ","
        + ageText(confirmedAt.servers) + "\r\n";
}

// Returns the earliest times if the response states no ages.
StateTimes statedTimes(const HttpCallResult &result, Instant now)
{
    const std::string text(result.fields[ageHeader]);
    const char *end = text.data() + text.size();
    std::int64_t operators = 0;
    std::int64_t servers = 0;
    const auto first = std::from_chars(text.data(), end, operators);
    if (first.ec != std::errc() || first.ptr == end || *first.ptr != ',')
        return {};
    const auto second = std::from_chars(first.ptr + 1, end, servers);
    if (second.ec != std::errc() || second.ptr != end)
        return {};
    const auto timeOf = [now](std::int64_t age) {
        const bool isValid = age >= 0 && age <= maxStatedAge.count();
        return isValid ? now - std::chrono::milliseconds(age) : Instant();
    };
    return {timeOf(operators), timeOf(servers)};
}

StateResponse responseOf(const HttpCallResult &result)
{
    if (!result.hasResponse())
        return {0, {}, {}, exchangeOutcomeText(result.outcome), result.timedOut};
    return {result.status, statedTimes(result, steadyNow()), result.body, {}, false};
}

} // namespace

StateExchange::StateExchange(EntryState &state, PeersProvider peers)
    : m_state(state),
      m_replicator({state.settings.instance, state.settings.zone, state.settings.processorShare},
                   state.platform, hooks(std::move(peers)))
{ }

StateReplicator::Hooks StateExchange::hooks(PeersProvider peers)
{
    StateReplicator::Hooks hooks;
    hooks.now = steadyNow;
    hooks.random = [this] { return m_state.random(); };
    hooks.peers = std::move(peers);
    hooks.poll = [this](const StatePeer &peer, const StateRequest &request,
                        std::chrono::milliseconds timeout, StateReplicator::ResponseHook done) {
        call(m_pollClient, peer, request, timeout, std::move(done));
    };
    hooks.fetch = [this](const StatePeer &peer, const StateRequest &request,
                         std::chrono::milliseconds timeout, StateReplicator::ResponseHook done) {
        call(m_fetchClient, peer, request, timeout, std::move(done));
    };
    hooks.onUncertain = [this](Instant until) {
        m_state.listUncertainUntil = std::max(m_state.listUncertainUntil, until);
    };
    return hooks;
}

void StateExchange::call(std::unique_ptr<HttpClient> &client, const StatePeer &peer,
                         const StateRequest &request, std::chrono::milliseconds timeout,
                         StateReplicator::ResponseHook done)
{
    if (!client || client->peer().text() != peer.httpAddress) {
        // The earlier client may be running the callback that calls this.
        asio::post(m_state.loop, [earlier = std::shared_ptr<HttpClient>(std::move(client))] {});
        client = std::make_unique<HttpClient>(m_state.loop, Address::parse(peer.httpAddress),
                                              connectionLimits);
    }
    client->call(
        requestText(request, peer.httpAddress), timeout,
        [done = std::move(done)](const HttpCallResult &result) { done(responseOf(result)); });
}

void StateExchange::handleRequest(const HttpServerConnection::Pointer &connection,
                                  const std::string &target)
{
    m_replicator.handleRequest(requestOf(target), [connection](const StateResponse &response) {
        connection->sendResponse(response.status,
                                 "Content-Type: application/json\r\n"
                                     + ageField(response.confirmedAt, steadyNow()),
                                 response.changes);
    });
}

} // namespace quetzalyoke
