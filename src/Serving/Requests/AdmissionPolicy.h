#ifndef QUETZALYOKE_SERVING_REQUESTS_ADMISSIONPOLICY_H
#define QUETZALYOKE_SERVING_REQUESTS_ADMISSIONPOLICY_H

#include "Serving/Servers/ServerChooser.h"

namespace quetzalyoke {

/// \brief What deciding on a request that has arrived, or waits, depends on.
struct AdmissionInput
{
    const Route *route = nullptr;
    const ServiceSpec *service = nullptr;
    const RequestMetadata *metadata = nullptr;
    ServerChoice serverChoice;
    Duration waited{0}; ///< Since the request arrived.
    Duration timeLeft{0}; ///< Until its caller or route gives up.
};

struct AdmissionDecision
{
    enum class Action { Send, Wait, Refuse };

    Action action = Action::Refuse;
    Duration retryAfter{0}; ///< Of a refusal: when there should be room.
    const char *reason = "";
};

/// \brief Sends, holds or turns away a request; no I/O.
///
/// Answers bursts beyond what the servers can do in time: a request that would get its first byte
/// only after its objective delays those behind it, so it is turned away at once and told when to
/// come back. What is likely to free up within a fraction of the objective is waited for.
class AdmissionPolicy
{
public:
    struct Settings
    {
        /// Of the latency objective, for a server of any kind.
        double serverWaitShareOfObjective = 0.25;
        /// Of all the time that the request has, for a slot or an adapter at servers that are
        /// there: a caller who is sent away comes back late, too, and only so often.
        double waitShareOfTimeout = 0.15;
        /// Callers give up a stream that has not begun within two seconds.
        Duration maxTimeoutShareWait{1'200'000};
        /// Of the latency objective, for an adapter, which loads within milliseconds.
        double adapterWaitShareOfObjective = 0.5;
        /// Requests are sent while their expected first byte is within this many objectives.
        double maxFirstByteToObjective = 2.0;
        /// Callers come back at the most this share of their time left later.
        double maxRetryAfterShare = 0.3;
        Duration minRetryAfter{100'000};
    };

    explicit AdmissionPolicy(const Settings &settings) : m_settings(settings) { }

    /// \a spread in [0, 1) spaces the returns of requests that are refused together.
    AdmissionDecision decide(const AdmissionInput &input, double spread) const;

private:
    Duration maxWaitTime(const AdmissionInput &input, Duration atLeast) const;
    Duration boundedRetryAfter(Duration wanted, const AdmissionInput &input, double spread) const;
    AdmissionDecision waitOrRefuse(const AdmissionInput &input, Duration patience,
                                   Duration retryAfter, double spread) const;

    const Settings m_settings;
};

} // namespace quetzalyoke

#endif
