#ifndef QUETZALYOKE_SERVING_SERVERS_FIRSTEVENTESTIMATOR_H
#define QUETZALYOKE_SERVING_SERVERS_FIRSTEVENTESTIMATOR_H

#include "Core/StrongTypes.h"

#include <optional>

namespace quetzalyoke {

/// \brief Estimates the time until an engine sends the first event of a request, and the pause that
/// the request causes in the streams that run there; no I/O.
///
/// An engine works in steps. Each step adds a token to every running response and reads a chunk of
/// the queued prompts, oldest first.
class FirstEventEstimator
{
public:
    struct Settings
    {
        double prefillTokensPerMs = 38; ///< Of a healthy engine; corrected by Input::slowness.
        Duration stepTime{5'050}; ///< Shortest step.
        double stepTimePerRequestMs = 0.0164; ///< Additional time for each running request.
        double prefillTokensPerStep = 2'048;
        int tokensPerEvent = 5; ///< Output tokens in one event of a stream.
    };

    /// \brief What is known of one engine and the request that may be sent there.
    struct Input
    {
        double promptTokens = 0; ///< Of this prompt, without the ones that the engine has cached.
        double ownQueuedTokens = 0; ///< Prompt tokens sent by this gateway and not yet read.
        double peerQueuedTokens = 0; ///< The same of the peers, as last reported.
        Duration peerAge{0}; ///< Age of the peers' latest report about this engine.
        int ownRequests = 0; ///< Requests of this gateway at the engine.
        int peerRequests = 0; ///< Requests of the peers there, as last reported.
        std::optional<double> statedRequests; ///< From the load that the engine stated lately.
        int slots = 1; ///< Maximum number of requests in the batch.
        double slowness = 1; ///< Factor of the duration of work; 1 is usual.
        Duration pathDelay{0}; ///< Additional time for an engine in another zone.
        Duration eventGapObjective{0}; ///< Of the streams that run there; 0: none is stated.
    };

    struct Estimate
    {
        Duration timeToFirstEvent{0};
        /// Cost of the longer pause of the running streams, in the same unit.
        Duration gapCost{0};
        double requests = 0; ///< Expected number of requests at the engine.
    };

    explicit FirstEventEstimator(const Settings &settings) : m_settings(settings) { }

    Estimate estimate(const Input &input) const;

private:
    const Settings m_settings;
};

} // namespace quetzalyoke

#endif
