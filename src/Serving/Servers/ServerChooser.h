#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERCHOOSER_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERCHOOSER_H

#include "Serving/Servers/FirstEventEstimator.h"
#include "Serving/Servers/PrefixCacheEstimator.h"
#include "Serving/Servers/PrefixHolders.h"
#include "Serving/Servers/ServerDirectory.h"

#include <set>

namespace quetzalyoke {

/// \brief Input for choosing the server of a request.
struct ServerChoiceInput
{
    const ServiceSpec *service = nullptr;
    const RequestMetadata *metadata = nullptr;
    const std::vector<std::uint64_t> *prefixHashes
        = nullptr; ///< computePrefixHashes() of the request.
    std::set<ServerName> triedServers; ///< Servers that the request was already sent to.
    /// The only one whose servers may go on with a stream; no server does if it is empty.
    std::optional<SoftwareVersion> softwareVersion = {};
    Duration eventGapObjective{0}; ///< Of the request's route; 0: none is stated.
    std::size_t gateways = 1; ///< Known gateways, this one included.
};

/// \brief The server chosen for a request, or why there is none.
struct ServerChoice
{
    enum class Outcome {
        Chosen,
        NoServer, ///< The service has no server that accepts requests.
        NoModel, ///< No server has the model loaded.
        NoAdapter, ///< Servers have the model loaded, but none has the adapter.
        AllFull, ///< Every server that could run the request is full.
        AllPaused, ///< Every server that could run the request asked for a pause.
        AllLimited, ///< The request limit of every server that could run the request is used up.
        AllEvacuated, ///< Every server that could run the request is in an evacuated zone.
    };

    Outcome outcome = Outcome::NoServer;
    bool isModelStoredLocally
        = false; ///< With NoModel: a server could load the model from its own disk.
    ServerName server;
    bool needsPermit = false; ///< The server may get the request only with a permit.
    /// Time until the first paused or limited server may accept requests again.
    Duration timeUntilResume{0};
    Duration expectedTimeToFirstByte{0}; ///< Until the first byte of the response.
    /// The time divided by the learned latency ratio and the stated pace, without the penalties for
    /// failures and pauses. The ratio is learned from it.
    Duration usualTimeToFirstByte{0};
    double pace = 1; ///< Expected factor of the duration of work there; 1 is usual.
    std::int64_t prefillTokens = 0; ///< Prompt tokens that the server has to process.
    std::int64_t cachedTokens = 0; ///< Prompt tokens that it is expected to have cached.
    std::int64_t kvCacheTokens = 0;
    /// A server that has the model loaded and would respond much sooner if it also had the
    /// adapter; empty if there is none.
    ServerName adapterReplicaServer;
};

const char *serverChoiceOutcomeText(ServerChoice::Outcome outcome);

/// \brief Chooses the server with the earliest expected first byte.
///
/// In bursts on a few models the prompt processing dominates; see FirstEventEstimator. The choice
/// weighs the time to the first event and the pause that the prompt causes in the streams that run
/// at the engine. Engines that are equally good, as far as is known, share the requests according
/// to their load, so that gateways with the same information don't all choose the same one. Servers
/// whose batch or memory is full get no requests, since these would displace running ones. In
/// bursts on one adapter, a less busy server that lacks only the adapter is named as well, so that
/// the adapter can be loaded there.
class ServerChooser
{
public:
    struct Settings
    {
        double prefillTokensPerMs
            = 38; ///< Of a healthy engine; corrected by the measured latency ratio.
        Duration otherZonePenalty{
            20'000}; ///< A server in another zone must respond earlier by this much.
        Duration defaultRequestDuration{
            20'000}; ///< Assumed for a plain service; corrected by the measured latency ratio.
        double maxKvCacheShare
            = 0.9; ///< Share of an engine's KV cache that running requests may fill.
        int maxQueuedPerServer = 1; ///< Requests beyond the slots of a plain server.
        /// How much earlier a server without the adapter must send the first byte to be worth
        /// loading the adapter there, which takes a tenth of this time.
        Duration adapterReplicaGain{100'000};
        /// A server that asked another gateway for a pause must respond earlier by this much.
        Duration peerPausePenalty{1'000'000};
        double coldSlowdown = 2; ///< How much later a cold server is expected to respond.
        double failureShareMargin = 0.25; ///< Penalized excess of a failure share over the mean.
    };

    ServerChooser(const Settings &settings, ZoneName zone)
        : m_settings(settings), m_zone(std::move(zone)), m_firstEventEstimator([&settings] {
              FirstEventEstimator::Settings estimator;
              estimator.prefillTokensPerMs = settings.prefillTokensPerMs;
              return estimator;
          }())
    { }

    /// Returns whether a server that accepts requests could run the request, now or later.
    bool hasServer(const ServerChoiceInput &request, const ServerDirectory &directory) const;
    /// Returns whether the only servers that could run the request are in evacuated zones.
    bool isEvacuated(const ServerChoiceInput &request, const ServerDirectory &directory) const;
    ServerChoice choose(const ServerChoiceInput &request, const ServerDirectory &directory,
                        Instant now);
    /// Records that the request was sent to \a server, which then caches its prompt. The time is
    /// that of the last choice.
    void recordRequestSent(const ServerName &server, const ServerChoiceInput &request);
    /// Forgets which prompts \a server has cached.
    void clearPrefixCache(const ServerName &server) { m_prefixCaches.erase(server); }

private:
    struct Candidate
    {
        const ServerState *state = nullptr;
        Duration expectedTimeToFirstByte{0};
        Duration usualTimeToFirstByte{0};
        double pace = 1;
        Duration cost{0}; ///< By which the candidates are compared.
        double requests = 0; ///< Expected number of requests at an engine.
        std::int64_t prefillTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t kvCacheTokens = 0;
        bool needsPermit = false;
    };

    struct MeanFailureShare
    {
        double failureShare = 0;
        Instant until; ///< Time of the next computation.
    };

    struct PrefixCache
    {
        Incarnation incarnation; ///< Of the engine; a new one has cached nothing.
        PrefixCacheEstimator estimator;
        PrefixCacheEstimator::Memory memory; ///< As of the last choice of the engine.
    };

    using HeldPrefixes = std::map<const ServerState *, HeldPrefix>;

    Candidate evaluate(const ServerChoiceInput &request, const ServerState &state,
                       const HeldPrefixes &heldPrefixes, Instant now) const;
    static PrefixCacheEstimator::Memory memory(const ServerChoiceInput &request,
                                               const ServerState &state);
    double cachedTokens(const ServerChoiceInput &request, const ServerState &state,
                        const HeldPrefixes &heldPrefixes, Instant now) const;
    /// Returns PrefixHolders::heldPrefixes() of the engines among \a servers that hold any.
    HeldPrefixes heldPrefixes(const ServerChoiceInput &request,
                              const ServerDirectory::ServerSet &servers, Instant now) const;
    /// Returns the best of \a candidates, which are not empty.
    static const Candidate &bestPlain(const std::vector<Candidate> &candidates);
    static const Candidate &bestEngine(const std::vector<Candidate> &candidates,
                                       const RequestMetadata &metadata);
    ServerName findAdapterReplicaServer(const ServerChoiceInput &request,
                                        const ServerDirectory::ServerSet &servers,
                                        const Candidate &best, Instant now) const;
    bool isFull(const ServerChoiceInput &request, const ServerState &state,
                const Candidate &candidate, Instant now) const;
    double meanFailureShare(const ServiceName &service, const ServerDirectory &directory,
                            Instant now);

    const Settings m_settings;
    const ZoneName m_zone;
    const FirstEventEstimator m_firstEventEstimator;
    Instant m_lastChoiceAt;
    std::map<ServerName, PrefixCache> m_prefixCaches;
    PrefixHolders m_prefixHolders;
    std::map<ServiceName, MeanFailureShare> m_meanFailureShares;
};

} // namespace quetzalyoke

#endif
