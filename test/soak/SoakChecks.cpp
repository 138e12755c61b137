#include "SoakChecks.h"

#include "Adapters/Async/EventLoop.h"

#include <iostream>

namespace quetzalyoke::soak {

namespace {

constexpr Duration quotaWindow = std::chrono::seconds(8);
constexpr Duration loadWindow = std::chrono::seconds(5);
constexpr double overage = 1.1;
constexpr double loadSlack = 3;

} // namespace

std::string SoakChecks::eventText(const std::string &id, int event)
{
    return "id: " + std::to_string(event) + "\ndata: " + id + "-" + std::to_string(event) + "\n\n";
}

std::string SoakChecks::expectedBody(const std::string &id, bool isStream)
{
    if (!isStream)
        return "answer to " + id;
    std::string body;
    for (int i = 1; i <= eventsPerStream; ++i)
        body += eventText(id, i);
    return body;
}

void SoakChecks::fail(const std::string &what)
{
    std::cout << "FAILED: " << what << std::endl;
    m_failures.push_back(what);
}

void SoakChecks::onSent(const std::string &id, const std::string &gateway,
                        const std::string &account, const std::string &key, bool mayRepeat,
                        double tokens)
{
    m_requests[id] = {gateway, account, key, mayRepeat, tokens, 0, false, steadyNow()};
}

void SoakChecks::onRefused(const std::string &id, int status)
{
    ++refused;
    Request &request = m_requests[id];
    request.isEnded = true;
    request.isRefused = true;
    if (request.runs > 0 && !request.mayRepeat)
        fail("REFUSED: " + id + " was answered " + std::to_string(status) + " and has run");
}

void SoakChecks::onResponse(const std::string &id, int status, const std::string &body,
                            bool isStream, bool isSigned)
{
    m_requests[id].isEnded = true;
    if (status != 200)
        return;
    ++served;
    if (!isSigned || body != expectedBody(id, isStream))
        fail("MIXED: " + id + " got another body: " + body.substr(0, 80));
}

void SoakChecks::onIncompleteResponse(const std::string &id)
{
    Request &request = m_requests[id];
    request.isEnded = true;
    if (m_onlyPlannedSince && request.sentAt > *m_onlyPlannedSince && request.runs > 0)
        fail("LOST: " + id + " has run and its connection to " + request.gateway + " was ended");
}

void SoakChecks::beginPlannedStops()
{
    m_onlyPlannedSince = steadyNow();
}

void SoakChecks::checkAllEnded()
{
    for (const auto &[id, request] : m_requests) {
        if (m_onlyPlannedSince && request.sentAt > *m_onlyPlannedSince && request.runs > 0
            && !request.isEnded)
            fail("LOST: " + id + " has run and got no answer from " + request.gateway);
    }
}

void SoakChecks::onKeyWithdrawn(const std::string &key)
{
    m_withdrawn[key] = steadyNow();
}

bool SoakChecks::hadRecentFault(const std::string &gateway, Duration lately) const
{
    const Instant now = steadyNow();
    const auto it = m_disturbed.find(gateway);
    return now - m_allDisturbedAt < lately
        || (it != m_disturbed.end() && now - it->second < lately);
}

void SoakChecks::onRun(const std::string &server, const std::string &id, const std::string &account,
                       const std::string &key, const std::string &body)
{
    ++runs;
    const Instant now = steadyNow();
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        fail("UNASKED: " + server + " runs " + id + ", which nobody sent");
        return;
    }
    Request &request = it->second;
    ++request.runs;
    if (request.runs > 1 && !request.mayRepeat)
        fail("TWICE: " + id + " runs again at " + server);
    if (request.isRefused && !request.mayRepeat)
        fail("REFUSED: " + id + " was refused and runs at " + server);
    if (account != request.account || !key.empty() || body != "body of " + id)
        fail("UNASKED: " + id + " runs for another account, with its key or another body");
    const auto withdrawn = m_withdrawn.find(request.key);
    if (withdrawn != m_withdrawn.end()
        && request.sentAt - withdrawn->second > m_limits.keyWithdrawalGrace
        && !hadRecentFault(request.gateway, m_limits.keyWithdrawalGrace))
        fail("KEY: " + id + " runs with a key that was withdrawn before");
    const auto leaving = m_leaving.find(server);
    if (leaving != m_leaving.end() && now - leaving->second > m_limits.leavingGrace
        && !hadRecentFault(request.gateway, m_limits.leavingGrace + std::chrono::seconds(3)))
        fail("DRAIN: " + id + " reaches " + server + ", which is leaving");
    auto &spent = m_spent[request.account];
    spent.emplace_back(now, request.tokens);
    while (spent.front().first + quotaWindow <= now)
        spent.pop_front();
    double sum = 0;
    for (const auto &[at, tokens] : spent)
        sum += tokens;
    const double window = std::chrono::duration<double>(quotaWindow).count();
    if (sum > (m_limits.tokensPerSecond * window + m_limits.tokensBurst) * overage
            + m_limits.tokensSlack)
        fail("QUOTA: " + request.account + " got " + std::to_string(sum) + " tokens in a window");
}

void SoakChecks::onOrder(const std::string &server, const std::string &holder, std::int64_t fencing)
{
    const Instant now = steadyNow();
    const auto it = m_orders.find(server);
    if (it != m_orders.end()) {
        const LastOrder &last = it->second;
        if (last.holder != holder && now - last.at < m_limits.holderChangeInterval)
            fail("ONE: " + holder + " orders " + server + " soon after " + last.holder);
        if (fencing < last.fencingToken || (fencing == last.fencingToken && holder != last.holder))
            fail("ONE: " + holder + " orders " + server + " with an old fencing number");
    }
    m_orders[server] = {holder, fencing, now};
}

void SoakChecks::onModelLoad()
{
    const Instant now = steadyNow();
    m_loads.push_back(now);
    while (m_loads.front() + loadWindow <= now)
        m_loads.pop_front();
    const double window = std::chrono::duration<double>(loadWindow).count();
    if (static_cast<double>(m_loads.size())
        > m_limits.loadsPerSecond * window * overage + loadSlack)
        fail("CEILING: " + std::to_string(m_loads.size()) + " loads in a window");
}

void SoakChecks::onMemoryAllocated(const std::string &server, std::size_t models, int modelSlots,
                                   std::size_t adapters, int adapterSlots)
{
    if (models > static_cast<std::size_t>(modelSlots)
        || adapters > static_cast<std::size_t>(adapterSlots))
        fail("LIMIT: " + server + " is ordered to hold " + std::to_string(models) + " models and "
             + std::to_string(adapters) + " adapters");
}

void SoakChecks::onServerRestarted(const std::string &server)
{
    m_orders.erase(server);
    m_leaving.erase(server);
}

void SoakChecks::onLeaving(const std::string &server)
{
    m_leaving[server] = steadyNow();
}

void SoakChecks::onGatewayFault(const std::string &gateway)
{
    m_disturbed[gateway] = steadyNow();
}

void SoakChecks::onFleetFault()
{
    m_allDisturbedAt = steadyNow();
}

} // namespace quetzalyoke::soak
