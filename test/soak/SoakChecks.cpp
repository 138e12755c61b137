#include "SoakChecks.h"

#include "Adapters/Async/EventLoop.h"

#include <iostream>

namespace quetzalyoke::soak {

namespace {

constexpr Duration quotaWindow = std::chrono::seconds(8);
constexpr Duration loadWindow = std::chrono::seconds(5);
constexpr double toleranceFactor = 1.1;
constexpr double loadSlack = 3;
constexpr Duration requestLimitWindow = std::chrono::seconds(4);
constexpr double requestLimitTolerance = 1.5;
constexpr double requestLimitSlack = 5;
constexpr int countedCrashesOfParts = 5;
constexpr int countedCrashesOfRequests = 3;
constexpr int maxLateRequests = 3;
constexpr int maxMixedStreams = 2;
constexpr int minTakenUpStreams = 12;
constexpr int minComparedRequests = 20;
constexpr double minServedRatio = 0.5; // beside crashes and without

} // namespace

std::string SoakChecks::eventText(const std::string &name, int event, const std::string &version)
{
    return "id: " + std::to_string(event) + "\ndata: " + name + "-" + std::to_string(event) + ' '
        + version + "\n\n";
}

void SoakChecks::fail(const std::string &what)
{
    std::cout << "FAILED: " << what << std::endl;
    m_failures.push_back(what);
}

void SoakChecks::onSent(const std::string &id, const std::string &gateway,
                        const std::string &account, const std::string &key, bool mayRetry,
                        double tokens)
{
    Request &request = m_requests[id];
    request.gateway = gateway;
    request.account = account;
    request.key = key;
    request.mayRetry = mayRetry;
    request.tokens = tokens;
    request.sentAt = steadyNow();
    request.body = "body of " + id;
    request.streamName = id;
}

void SoakChecks::onTakenUp(const std::string &id, const std::string &name, const std::string &body,
                           int lastEvent, bool isCounted)
{
    Request &request = m_requests[id];
    request.streamName = name;
    request.body = body;
    request.resumedAfter = request.lastEvent = lastEvent;
    request.isTakenUp = true;
    request.isCounted = isCounted && !hadRecentFault(request.gateway, m_limits.contactTime);
}

int SoakChecks::onStreamBody(const std::string &id, const std::string &body)
{
    Request &request = m_requests[id];
    std::set<std::string> &versions = m_versions[request.streamName];
    const bool wasMixed = versions.size() > 1;
    std::size_t at = 0;
    while (body.find("\n\n", at) != std::string::npos) {
        const std::size_t end = body.find("\n\n", at) + 2;
        const std::string event = body.substr(at, end - at);
        at = end;
        const std::string version
            = event.substr(event.rfind(' ') + 1, event.size() - event.rfind(' ') - 3);
        if (event != eventText(request.streamName, request.lastEvent + 1, version)) {
            fail("MIXED: " + id + " got event " + event.substr(0, 80) + " after "
                 + std::to_string(request.lastEvent) + " of " + request.streamName);
            return request.lastEvent;
        }
        ++request.lastEvent;
        versions.insert(version);
    }
    if (versions.size() > 1 && !wasMixed) {
        const std::string problem = request.streamName
            + " has events of two software versions, the last from " + request.gateway + " as "
            + id;
        if (++m_mixedStreams > maxMixedStreams)
            fail("ORDER: " + problem);
        else
            std::cout << "allowed, with its logs kept: " << problem << std::endl;
    }
    return request.lastEvent;
}

std::string SoakChecks::versionOf(const std::string &name) const
{
    const auto it = m_versions.find(name);
    return it == m_versions.end() || it->second.empty() ? std::string() : *it->second.begin();
}

void SoakChecks::checkTakenUpStreams()
{
    struct
    {
        int sent = 0;
        int begun = 0;
        double share() const { return static_cast<double>(begun) / std::max(1, sent); }
    } takenUp, newStreams;
    int allTakenUp = 0;
    for (const auto &[id, request] : m_requests) {
        allTakenUp += request.isTakenUp ? 1 : 0;
        if (!request.isCounted)
            continue;
        auto &group = request.isTakenUp ? takenUp : newStreams;
        ++group.sent;
        group.begun += request.lastEvent > request.resumedAfter ? 1 : 0;
    }
    std::cout << "streams taken up " << takenUp.begun << " of " << takenUp.sent << " counted ("
              << allTakenUp << " in all), new ones " << newStreams.begun << " of "
              << newStreams.sent << ", with two versions " << m_mixedStreams << std::endl;
    if (takenUp.sent >= minTakenUpStreams && takenUp.share() < minServedRatio * newStreams.share())
        fail("LOST: streams that are taken up go on too rarely");
}

void SoakChecks::onCrashingRequestSent(const std::string &id, const std::string &name,
                                       const std::string &body)
{
    m_requests[id].crashCause = name;
    m_requests[id].body = body;
}

void SoakChecks::onStreamSent(const std::string &id, const std::string &crashingPart)
{
    Request &request = m_requests[id];
    request.crashCause = crashingPart;
    request.isCounted
        = crashingPart.empty() && !hadRecentFault(request.gateway, m_limits.contactTime);
    const auto part = m_crashCauses.find(m_activePart);
    request.isBesideCrashes = part != m_crashCauses.end() && part->second.crashes > 0
        && request.sentAt - part->second.countedCrashAt > 2 * m_limits.crashNotice;
    request.isCompared = crashingPart.empty() && (request.isBesideCrashes || m_activePart.empty())
        && !hadRecentFault(request.gateway, m_limits.crashNotice);
}

void SoakChecks::onRefused(const std::string &id, int status)
{
    ++refused;
    Request &request = m_requests[id];
    request.isEnded = true;
    request.isRefused = true;
    if (request.runs > 0 && !request.mayRetry)
        fail("REFUSED: " + id + " got status " + std::to_string(status) + " but has run");
}

void SoakChecks::onResponse(const std::string &id, int status, const std::string &body,
                            bool isStream, bool isSigned)
{
    const Request &request = m_requests[id];
    m_requests[id].isEnded = true;
    // Callers use routes and keys of the newest configuration only, but for withdrawn keys.
    const bool isDenied
        = (status == 401 || status == 404) && m_keyWithdrawnAt.count(request.key) == 0;
    if (isDenied && request.sentAt - m_configWrittenAt > m_limits.configGrace
        && !hadRecentFault(request.gateway, m_limits.contactTime))
        fail("CONFIG: " + id + " got status " + std::to_string(status) + " from "
             + request.gateway);
    if (status != 200)
        return;
    ++served;
    m_requests[id].isServed = true;
    const bool isWhole = isStream ? request.lastEvent == eventsPerStream : body == expectedBody(id);
    if (!isSigned || !isWhole)
        fail("MIXED: " + id + " got a wrong response body: " + body.substr(0, 80));
}

void SoakChecks::onIncompleteResponse(const std::string &id)
{
    Request &request = m_requests[id];
    request.isEnded = true;
    if (m_plannedStopsSince && request.sentAt > *m_plannedStopsSince && request.runs > 0)
        fail("LOST: " + id + " has run but its connection to " + request.gateway + " was closed");
}

void SoakChecks::beginPlannedStops()
{
    m_plannedStopsSince = steadyNow();
}

void SoakChecks::checkAllEnded()
{
    for (const auto &[id, request] : m_requests) {
        if (m_plannedStopsSince && request.sentAt > *m_plannedStopsSince && request.runs > 0
            && !request.isEnded)
            fail("LOST: " + id + " has run but got no response from " + request.gateway);
    }
}

void SoakChecks::onKeyWithdrawn(const std::string &key)
{
    m_keyWithdrawnAt[key] = steadyNow();
}

bool SoakChecks::hadRecentFault(const std::string &gateway, Duration window) const
{
    const Instant now = steadyNow();
    const auto it = m_gatewayFaultAt.find(gateway);
    return now - m_fleetFaultAt < window
        || (it != m_gatewayFaultAt.end() && now - it->second < window);
}

void SoakChecks::beginCrashingPart(const std::string &part)
{
    m_activePart = part;
    m_crashCauses[part].countedCrashes = countedCrashesOfParts;
}

void SoakChecks::beginCrashingRequest(const std::string &name)
{
    m_crashCauses[name].countedCrashes = countedCrashesOfRequests;
}

bool SoakChecks::onArrived(const std::string &id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.crashCause.empty())
        return false;
    const Request &request = it->second;
    CrashCause &cause = m_crashCauses[request.crashCause];
    const bool isLate = cause.crashes >= cause.countedCrashes
        && steadyNow() - cause.countedCrashAt > m_limits.crashNotice
        && !hadRecentFault(request.gateway, m_limits.crashNotice);
    cause.lateRequests += isLate ? 1 : 0;
    if (isLate && cause.lateRequests == maxLateRequests + 1)
        fail("BUDGET: requests with " + request.crashCause + ", which has crashed "
             + std::to_string(cause.crashes) + " servers, still reach servers from "
             + request.gateway);
    return true;
}

void SoakChecks::onCrashBy(const std::string &id)
{
    CrashCause &cause = m_crashCauses[m_requests[id].crashCause];
    ++cause.crashes;
    if (cause.crashes <= cause.countedCrashes)
        cause.countedCrashAt = steadyNow();
}

void SoakChecks::checkServedBesideCrashingParts()
{
    for (const auto &[name, cause] : m_crashCauses)
        std::cout << name << ": " << cause.crashes << " crashes, " << cause.lateRequests
                  << " late requests" << std::endl;
    struct
    {
        int sent = 0;
        int served = 0;
        double share() const { return static_cast<double>(served) / sent; }
    } beside, without;
    for (const auto &[id, request] : m_requests) {
        if (!request.isCompared)
            continue;
        auto &period = request.isBesideCrashes ? beside : without;
        ++period.sent;
        period.served += request.isServed ? 1 : 0;
    }
    std::cout << "streams served beside crashes " << beside.served << " of " << beside.sent
              << ", without " << without.served << " of " << without.sent << std::endl;
    if (std::min(beside.sent, without.sent) < minComparedRequests)
        return;
    if (beside.share() < minServedRatio * without.share())
        fail("LOST: streams are served less often beside requests that crash servers");
}

void SoakChecks::onRun(const std::string &server, const std::string &id, const std::string &account,
                       const std::string &key, const std::string &body)
{
    ++runs;
    const Instant now = steadyNow();
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        fail("UNASKED: " + server + " runs " + id + ", which no caller sent");
        return;
    }
    Request &request = it->second;
    ++request.runs;
    checkRequestLimit(server, request.gateway);
    if (request.runs > 1 && !request.mayRetry)
        fail("TWICE: " + id + " runs a second time at " + server);
    if (request.isRefused && !request.mayRetry)
        fail("REFUSED: " + id + " was refused but runs at " + server);
    if (account != request.account || !key.empty() || body != request.body)
        fail("UNASKED: " + id + " runs for the wrong account, with its key, or with a wrong body");
    const auto withdrawn = m_keyWithdrawnAt.find(request.key);
    if (withdrawn != m_keyWithdrawnAt.end()
        && request.sentAt - withdrawn->second > m_limits.configGrace
        && !hadRecentFault(request.gateway, m_limits.contactTime))
        fail("CONFIG: " + id + " runs through " + request.gateway
             + " with a key that had been withdrawn "
             + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                  request.sentAt - withdrawn->second)
                                  .count())
             + " ms before");
    const auto leaving = m_leavingSince.find(server);
    if (leaving != m_leavingSince.end() && now - leaving->second > m_limits.leavingGrace
        && !hadRecentFault(request.gateway, m_limits.leavingGrace + std::chrono::seconds(3)))
        fail("DRAIN: " + id + " reaches " + server + ", which is leaving");
    auto &spending = m_spending[request.account];
    spending.emplace_back(now, request.tokens);
    while (spending.front().first + quotaWindow <= now)
        spending.pop_front();
    double sum = 0;
    for (const auto &[at, tokens] : spending)
        sum += tokens;
    const double window = std::chrono::duration<double>(quotaWindow).count();
    if (sum > (m_limits.tokensPerSecond * window + m_limits.tokensBurst) * toleranceFactor
            + m_limits.tokensSlack)
        fail("QUOTA: " + request.account + " got " + std::to_string(sum) + " tokens in a window");
}

void SoakChecks::onRequestLimitStated(const std::string &server, double perSecond)
{
    const Instant now = steadyNow();
    RequestLimit &limit
        = m_requestLimits.try_emplace(server, RequestLimit{now, {}, {}, {}, 0, 0, now})
              .first->second;
    const double last = limit.statements.empty() ? perSecond : limit.statements.back().second;
    limit.allowedRequests += last * toSeconds(now - limit.allowedUntil);
    limit.allowedUntil = now;
    limit.statements.emplace_back(now, perSecond);
}

void SoakChecks::onRequestLimitEnded(const std::string &server)
{
    const auto it = m_requestLimits.find(server);
    if (it == m_requestLimits.end())
        return;
    const RequestLimit &limit = it->second;
    m_limitedRequests += limit.requests;
    m_allowedRequests += limit.allowedRequests
        + limit.statements.back().second * toSeconds(steadyNow() - limit.allowedUntil);
    m_requestLimits.erase(it);
}

void SoakChecks::onServerLinkFault(const std::string &server)
{
    const auto it = m_requestLimits.find(server);
    if (it == m_requestLimits.end())
        return;
    it->second.statedSince = steadyNow();
    it->second.arrivals.clear();
}

void SoakChecks::onRequestLimitPassedOn(const std::string &server, const std::string &gateway)
{
    const auto it = m_requestLimits.find(server);
    if (it != m_requestLimits.end())
        it->second.passedOnAt.try_emplace(gateway, steadyNow());
}

void SoakChecks::checkRequestLimit(const std::string &server, const std::string &gateway)
{
    const auto it = m_requestLimits.find(server);
    if (it == m_requestLimits.end())
        return;
    RequestLimit &limit = it->second;
    const Instant now = steadyNow();
    limit.arrivals.emplace_back(now, gateway);
    ++limit.requests;
    while (limit.arrivals.front().first + requestLimitWindow <= now)
        limit.arrivals.pop_front();
    // The latest statement before the window is in force at its beginning.
    while (limit.statements.size() > 1 && limit.statements[1].first + requestLimitWindow <= now)
        limit.statements.pop_front();
    if (now - limit.statedSince < m_limits.requestLimitGrace || limit.statements.empty())
        return;
    double perSecond = 0;
    for (const auto &[at, stated] : limit.statements)
        perSecond = std::max(perSecond, stated);
    int arrivals = 0;
    for (const auto &[at, from] : limit.arrivals) {
        const auto passedOn = limit.passedOnAt.find(from);
        if (passedOn != limit.passedOnAt.end()
            && now - passedOn->second >= m_limits.requestLimitNotice)
            ++arrivals;
    }
    const double window = std::chrono::duration<double>(requestLimitWindow).count();
    if (arrivals <= requestLimitTolerance * perSecond * window + requestLimitSlack)
        return;
    fail("LIMIT: " + server + " states a limit of " + std::to_string(perSecond)
         + " requests a second and got " + std::to_string(arrivals) + " in a window");
    limit.arrivals.clear(); // reports each excess once
}

void SoakChecks::onOrder(const std::string &server, const std::string &holder, std::int64_t fencing)
{
    const Instant now = steadyNow();
    checkRequestLimit(server, holder);
    const auto it = m_lastOrders.find(server);
    if (it != m_lastOrders.end()) {
        const LastOrder &last = it->second;
        if (last.holder != holder && now - last.at < m_limits.holderChangeInterval)
            fail("ONE: " + holder + " sends an order to " + server + " too soon after "
                 + last.holder);
        if (fencing < last.fencingToken || (fencing == last.fencingToken && holder != last.holder))
            fail("ONE: " + holder + " sends an order to " + server + " with a stale fencing token");
    }
    m_lastOrders[server] = {holder, fencing, now};
}

// Only the gateway that sends a server its orders asks for its status.
void SoakChecks::onStatusRequest(const std::string &server)
{
    const auto last = m_lastOrders.find(server);
    if (last != m_lastOrders.end())
        checkRequestLimit(server, last->second.holder);
}

void SoakChecks::onModelLoad()
{
    const Instant now = steadyNow();
    m_loads.push_back(now);
    while (m_loads.front() + loadWindow <= now)
        m_loads.pop_front();
    const double window = std::chrono::duration<double>(loadWindow).count();
    if (static_cast<double>(m_loads.size())
        > m_limits.loadsPerSecond * window * toleranceFactor + loadSlack)
        fail("CEILING: " + std::to_string(m_loads.size()) + " model loads in a window");
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
    m_lastOrders.erase(server);
    m_leavingSince.erase(server);
    m_requestLimits.erase(server);
}

void SoakChecks::onLeaving(const std::string &server)
{
    m_leavingSince[server] = steadyNow();
}

void SoakChecks::onGatewayFault(const std::string &gateway)
{
    m_gatewayFaultAt[gateway] = steadyNow();
    for (auto &[server, limit] : m_requestLimits)
        limit.passedOnAt.erase(gateway);
}

void SoakChecks::onFleetFault()
{
    m_fleetFaultAt = steadyNow();
}

} // namespace quetzalyoke::soak
