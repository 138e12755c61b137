#ifndef QUETZALYOKE_SOAK_SOAKCHECKS_H
#define QUETZALYOKE_SOAK_SOAKCHECKS_H

#include "Adapters/Async/EventLoop.h"
#include "Core/StrongTypes.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke::soak {

/// \brief Checks the system's guarantees against what callers and backend servers see.
///
/// Each violation is printed and kept in failures().
class SoakChecks
{
public:
    static constexpr int eventsPerStream = 12;
    /// Returns an event of the stream \a name from a server of the software version \a version.
    static std::string eventText(const std::string &name, int event, const std::string &version);
    static std::string expectedBody(const std::string &id) { return "answer to " + id; }

    struct Limits
    {
        Duration holderChangeInterval = std::chrono::milliseconds(3000);
        Duration leavingGrace = std::chrono::milliseconds(2500);
        Duration configGrace = std::chrono::milliseconds(2000); ///< Until one is in force.
        Duration contactTime = std::chrono::milliseconds(3000); ///< Until faults excuse nothing.
        double loadsPerSecond = 2;
        double tokensPerSecond = 0; ///< The rate of each account.
        double tokensBurst = 0;
        double tokensSlack = 0;
        /// Time from the first statement of a request limit until it is checked.
        Duration requestLimitGrace = std::chrono::milliseconds(3000);
        /// Time from passing a stated limit on to a caller until the gateway must keep to it.
        Duration requestLimitNotice = std::chrono::milliseconds(500);
        /// Time from the last crash that counts until the gateways must send no more requests with
        /// the part that caused it.
        Duration crashNotice = std::chrono::milliseconds(3000);
    };

    explicit SoakChecks(const Limits &limits) : m_limits(limits) { }

    // Reported by callers.
    void onSent(const std::string &id, const std::string &gateway, const std::string &account,
                const std::string &key, bool mayRetry, double tokens);
    /// Request \a id is a stream; \a crashingPart is empty if it has none.
    void onStreamSent(const std::string &id, const std::string &crashingPart);
    /// Request \a id, which has \a body, is the one that crashes servers as \a name.
    void onCrashingRequestSent(const std::string &id, const std::string &name,
                               const std::string &body);
    /// Request \a id takes up the stream \a name, whose request had \a body, after \a lastEvent.
    /// With \a isCounted it must go on about as often as new streams begin.
    void onTakenUp(const std::string &id, const std::string &name, const std::string &body,
                   int lastEvent, bool isCounted);
    /// Checks the events that request \a id got. Returns the number of the last whole one.
    int onStreamBody(const std::string &id, const std::string &body);
    /// Returns the software version of the events that the stream \a name got.
    std::string versionOf(const std::string &name) const;
    /// Fails if streams that are taken up go on much less often than new ones begin.
    void checkTakenUpStreams();
    /// The caller got a response in which \a server states a request limit from \a gateway.
    void onRequestLimitPassedOn(const std::string &server, const std::string &gateway);
    void onRefused(const std::string &id, int status);
    void onResponse(const std::string &id, int status, const std::string &body, bool isStream,
                    bool isSigned);
    /// The connection of request \a id ended before the response was complete.
    void onIncompleteResponse(const std::string &id);
    /// From now on there are only planned stops, so no request that runs may be lost.
    void beginPlannedStops();
    /// Fails for requests since beginPlannedStops() that ran but have no outcome. Called after
    /// their deadlines.
    void checkAllEnded();
    // Reported for operators.
    /// The store has acknowledged the configuration, or the same one again after a restore.
    void onConfigWritten() { m_configWrittenAt = steadyNow(); }
    void onKeyWithdrawn(const std::string &key);
    /// From now on \a part crashes each server that begins to answer a request with it.
    void beginCrashingPart(const std::string &part);
    /// From now on requests that are known as \a name, by path, caller and body, do so.
    void beginCrashingRequest(const std::string &name);
    void endCrashingPart() { m_activePart.clear(); }
    /// Fails if requests without a crashing part were served much less often beside such requests
    /// than at other times.
    void checkServedBesideCrashingParts();
    // Reported by backend servers.
    /// Returns whether request \a id crashes the server that answers it.
    bool onArrived(const std::string &id);
    void onCrashBy(const std::string &id);
    void onRun(const std::string &server, const std::string &id, const std::string &account,
               const std::string &key, const std::string &body);
    void onOrder(const std::string &server, const std::string &holder, std::int64_t fencing);
    void onStatusRequest(const std::string &server);
    void onModelLoad();
    void onMemoryAllocated(const std::string &server, std::size_t models, int modelSlots,
                           std::size_t adapters, int adapterSlots);
    void onServerRestarted(const std::string &server);
    void onLeaving(const std::string &server);
    void onRequestLimitStated(const std::string &server, double perSecond);
    void onRequestLimitEnded(const std::string &server);
    /// Requests to \a server were delayed on their way; suspends the check of its request limit.
    void onServerLinkFault(const std::string &server);
    /// Suspends the checks of time limits at \a gateway for a while.
    void onGatewayFault(const std::string &gateway);
    /// Suspends the checks of time limits at all gateways for a while.
    void onFleetFault();

    void fail(const std::string &what);
    const std::vector<std::string> &failures() const { return m_failures; }
    /// Returns whether anything was seen that is to be traced, though it may be allowed.
    bool hasFindings() const { return !m_failures.empty() || m_mixedStreams > 0; }

    /// Returns how much of the stated request limits was used, for limits that have ended.
    double usedShareOfRequestLimits() const { return m_limitedRequests / m_allowedRequests; }

    int served = 0;
    int refused = 0;
    int runs = 0;

private:
    struct Request
    {
        std::string gateway;
        std::string account;
        std::string key;
        bool mayRetry = false;
        double tokens = 0;
        int runs = 0;
        bool isRefused = false;
        Instant sentAt;
        bool isServed = false;
        std::string crashCause; // why it crashes servers; empty in most requests
        std::string body;
        std::string streamName; // the id of the attempt that brought its first event
        int resumedAfter = 0; // the event
        int lastEvent = 0;
        bool isTakenUp = false;
        bool isCounted = false; // see checkTakenUpStreams()
        bool isBesideCrashes = false; // sent while others crash servers and the gateways know it
        bool isCompared = false; // see checkServedBesideCrashingParts()
        bool isEnded = false;
    };
    struct LastOrder
    {
        std::string holder;
        std::int64_t fencingToken = 0;
        Instant at;
    };

    struct RequestLimit
    {
        Instant statedSince; // or the end of the last fault of the server's link
        std::deque<std::pair<Instant, double>> statements; // of the last window, per second
        std::deque<std::pair<Instant, std::string>> arrivals; // of the last window, by gateway
        std::map<std::string, Instant> passedOnAt; // first by each gateway since its last fault
        int requests = 0; // since the first statement
        double allowedRequests = 0; // until allowedUntil
        Instant allowedUntil;
    };

    struct CrashCause
    {
        int countedCrashes = 0; // from which on few requests may reach servers
        int crashes = 0;
        Instant countedCrashAt; // of the last crash that counts so far
        int lateRequests = 0;
    };
    void checkRequestLimit(const std::string &server, const std::string &gateway);
    bool hadRecentFault(const std::string &gateway, Duration window) const;

    const Limits m_limits;
    std::map<std::string, Request> m_requests;
    std::map<std::string, std::set<std::string>> m_versions; // of the events of each stream
    int m_mixedStreams = 0;
    std::map<std::string, Instant> m_keyWithdrawnAt;
    std::map<std::string, LastOrder> m_lastOrders;
    std::map<std::string, Instant> m_leavingSince;
    std::map<std::string, Instant> m_gatewayFaultAt;
    std::map<std::string, RequestLimit> m_requestLimits; // of the servers that state one
    std::map<std::string, CrashCause> m_crashCauses; // by the name of the part or the request
    std::string m_activePart; // the one that requests have now
    double m_limitedRequests = 0;
    double m_allowedRequests = 0;
    Instant m_fleetFaultAt;
    Instant m_configWrittenAt;
    std::optional<Instant> m_plannedStopsSince;
    std::deque<Instant> m_loads;
    std::map<std::string, std::deque<std::pair<Instant, double>>> m_spending;
    std::vector<std::string> m_failures;
};

} // namespace quetzalyoke::soak

#endif
