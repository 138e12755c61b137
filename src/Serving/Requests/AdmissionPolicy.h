#ifndef QUETZALYOKE_SERVING_REQUESTS_ADMISSIONPOLICY_H
#define QUETZALYOKE_SERVING_REQUESTS_ADMISSIONPOLICY_H

#include "Serving/Requests/RetryAfterEstimator.h"

#include <functional>

namespace quetzalyoke {

/// \brief Input for deciding on a request that has arrived or waits.
struct AdmissionInput
{
    const Route *route = nullptr;
    const ServiceSpec *service = nullptr;
    const RequestMetadata *metadata = nullptr;
    ServerChoice serverChoice;
    Duration waited{0}; ///< Since the request arrived.
    Duration timeLeft{0}; ///< Until the timeout of the caller or of the route.
    /// Until a server is expected to take the request, if it is known. \sa RetryAfterEstimator
    std::optional<Duration> timeUntilRoom = {};
    /// Shortest latency objective of the more urgent classes that have lately arrived, if any.
    /// \sa RecentUrgencies
    std::optional<Duration> urgentObjective = {};
    double accountExcess = 0; ///< \sa RecentUrgencies::excessInShortage
    /// Whether more urgent requests for the same model have lately been refused as servers are
    /// busy.
    bool areMoreUrgentRefused = false;
    /// Share of the chosen server's time that the demand for its models takes, if it is known.
    /// \sa expectedUtilization
    std::optional<double> utilization = {};
    /// Share of the chosen server's slots that are free, if that is known.
    std::optional<double> freeSlotShare = {};
};

struct AdmissionDecision
{
    enum class Action { Send, Wait, Refuse };

    Action action = Action::Refuse;
    Duration retryAfter{0}; ///< Of a refusal: when the request could be accepted.
    const char *reason = "";
    bool isForShortage = false; ///< Refused because all servers that could serve it are busy.
};

/// Returns the share of a server's time that the prompts for its models take if each model's are
/// evenly spread over its replicas; above 1 its queue grows. \a promptTokensPerSecond returns a
/// model's demand.
double expectedUtilization(const ServerState &server, const ServerDirectory &directory,
                           double prefillTokensPerMs,
                           const std::function<double(const ModelName &)> &promptTokensPerSecond);

/// \brief Decides whether a request is sent, waits or is refused; no I/O.
///
/// In a burst that exceeds the servers' capacity, a request whose first byte would come too long
/// after its objective would only delay those behind it. It is refused at once, with the time after
/// which to retry. Requests wait only for capacity that is likely to become free within a fraction
/// of the objective or of their timeout, or for the load of a model that ends while the response
/// still has value and that the caller can't await elsewhere.
class AdmissionPolicy
{
public:
    struct Settings
    {
        /// Longest wait for any server, as a share of the latency objective.
        double serverWaitShareOfObjective = 0.25;
        /// Longest wait for a slot or an adapter on available servers, as a share of the request's
        /// whole timeout. A refused caller is also delayed, and retries only a few times.
        double waitShareOfTimeout = 0.15;
        /// Upper bound of the wait by timeout. Callers give up a stream that has not begun within
        /// two seconds.
        Duration maxTimeoutShareWait{1'200'000};
        /// Wait for an adapter that is always allowed, as a share of the latency objective;
        /// adapters load within milliseconds.
        double adapterWaitShareOfObjective = 0.5;
        /// A refusal after a wait of more than this share of the latency objective costs callers.
        double cheapWaitShareOfObjective = 0.125;
        /// Unless servers are highly utilized, a request is sent only if its first byte is expected
        /// within this multiple of the latency objective.
        double maxFirstByteToObjective = 2.0;
        /// From this share of its time on, the demand exceeds what a server can process.
        double highUtilization = 1;
        /// Prompt tokens that an engine processes per millisecond; see ServerChooser::Settings.
        double prefillTokensPerMs = 38;
        /// A request counts as deferrable if its objective is this multiple of the shortest one of
        /// the more urgent classes.
        double deferrableToUrgentObjective = 2;
        /// Share of that objective that the prompts queued at a server, with those of a deferrable
        /// request, may take up.
        double deferrableShareOfObjective = 0.5;
        /// Share of that objective within which a deferrable request may always be queued.
        double minDeferrableShareOfObjective = 0.1;
        /// Share of that objective that other less urgent requests leave to the urgent ones. A
        /// request whose own prompt takes less than this doesn't delay them noticeably.
        double urgentHeadroom = 0.1;
        /// A bound below this multiple of the time for the request's own prompt is not applied.
        double minFirstByteToOwnPrefill = 1.25;
        /// Share of the objective that an account with twice the mean work of all leaves to others.
        double maxAccountHeadroom = 0.25;
        /// While more urgent requests are refused, deferrable ones wait for this share of their
        /// time.
        double maxYieldShareOfTimeout = 0.5;
        /// Share of a server's slots that deferrable requests leave free.
        double reservedSlotShare = 0.125;
    };

    explicit AdmissionPolicy(const Settings &settings) : m_settings(settings) { }

    /// Decides on a request. \a spread in [0, 1) spreads the retries of requests that are refused
    /// at the same time.
    AdmissionDecision decide(const AdmissionInput &input, double spread) const;

private:
    Duration timeForFirstByte(const AdmissionInput &input) const;
    Duration maxWaitTime(const AdmissionInput &input, Duration minWait) const;
    Duration maxAdapterWaitTime(const AdmissionInput &input) const;
    AdmissionDecision decideOnServer(const AdmissionInput &input, double spread) const;
    Duration ownPrefillTime(const AdmissionInput &input) const;
    bool delaysMoreUrgent(const AdmissionInput &input) const;
    bool isDeferrable(const AdmissionInput &input) const;
    bool mustYield(const AdmissionInput &input) const;
    Duration maxFirstByteTime(const AdmissionInput &input) const;
    Duration returnDelay(Duration delay, const AdmissionInput &input, double spread) const;
    AdmissionDecision waitOrReturn(const AdmissionInput &input, Duration timeUntilRoom,
                                   double spread) const;
    AdmissionDecision waitOrRefuse(const AdmissionInput &input, Duration maxWait,
                                   Duration retryAfter, double spread) const;

    const Settings m_settings;
};

} // namespace quetzalyoke

#endif
