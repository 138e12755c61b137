#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERCHOOSER_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERCHOOSER_H

#include "Serving/Servers/PrefixCacheEstimator.h"
#include "Serving/Servers/ServerDirectory.h"

#include <set>

namespace quetzalyoke {

/// \brief What placing a request depends on.
struct ServerChoiceInput
{
    const ServiceSpec *service = nullptr;
    const RequestMetadata *metadata = nullptr;
    const std::vector<std::uint64_t> *prefixHashes
        = nullptr; ///< computePrefixHashes() of the call.
    std::set<ServerName> triedServers; ///< Tried already.
};

/// \brief Where a request goes, or why it goes nowhere.
struct ServerChoice
{
    enum class Outcome {
        Chosen,
        NoServer, ///< The service has no server that takes work.
        NoModel, ///< No server holds the model.
        NoAdapter, ///< Servers hold the model, none of them the adapter.
        AllFull, ///< Every server that could run it is full.
        AllPaused, ///< Every server that could run it wants nothing for a while.
    };

    Outcome outcome = Outcome::NoServer;
    bool isModelStoredLocally
        = false; ///< No server holds the model, one could load it from its own disk.
    ServerName server;
    Duration timeUntilResume{0}; ///< Until the first of the paused servers takes work again.
    Duration expectedTimeToFirstByte{0}; ///< Until the first byte of the answer.
    std::int64_t prefillTokens = 0; ///< That the server has to read.
    std::int64_t kvCacheTokens = 0;
    /// A server that holds the model and would answer much sooner if it held the adapter, too.
    ServerName adapterReplicaServer;
};

const char *serverChoiceOutcomeText(ServerChoice::Outcome outcome);

/// \brief Chooses the server with the earliest expected first byte.
///
/// Answers bursts on few models: prompt reading dominates, so the queue of unread prompt tokens at
/// a server, what it has cached of this prompt and its measured pace decide. Keeps requests out of
/// servers whose batch or memory is full, where they would displace running ones.
/// Answers bursts on one adapter: names a server with less to do that lacks only the adapter.
class ServerChooser
{
public:
    struct Settings
    {
        double prefillTokensPerMs = 38; ///< Of a healthy engine; its measured pace corrects it.
        Duration otherZonePenalty{
            20'000}; ///< A server in another zone must be faster by this much.
        Duration defaultRequestDuration{
            20'000}; ///< Of one call of a plain service, until measured.
        double maxKvCacheShare = 0.9; ///< Of an engine's memory that running requests may fill.
        int maxQueuedPerServer = 1; ///< Calls beyond a plain server's slots.
        /// Of the first byte, by which a server without the adapter must be faster to be worth a
        /// load of the adapter, which takes a tenth of it.
        Duration adapterReplicaGain{100'000};
        /// A server that asked another gateway for a pause must be faster by this much.
        Duration peerPausePenalty{1'000'000};
        double failureShareMargin = 0.25; ///< Failure share above the service's mean that counts.
    };

    ServerChooser(const Settings &settings, ZoneName zone)
        : m_settings(settings), m_zone(std::move(zone))
    { }

    ServerChoice choose(const ServerChoiceInput &request, const ServerDirectory &book, Instant now);
    /// The request has been sent to \a server.
    void recordRequestSent(const ServerName &server, const ServerChoiceInput &request);
    /// Forgets what was cached at \a server.
    void clearPrefixCache(const ServerName &server) { m_prefixCaches.erase(server); }

private:
    struct Candidate
    {
        const ServerState *state = nullptr;
        Duration expectedTimeToFirstByte{0};
        std::int64_t prefillTokens = 0;
        std::int64_t kvCacheTokens = 0;
    };

    struct MeanFailureShare
    {
        double failureShare = 0;
        Instant until; ///< Then it is taken anew.
    };

    Candidate evaluate(const ServerChoiceInput &request, const ServerState &state,
                       Instant now) const;
    ServerName findAdapterReplicaServer(const ServerChoiceInput &request,
                                        const ServerDirectory::ServerSet &group,
                                        const Candidate &best, Instant now) const;
    bool isFull(const ServerChoiceInput &request, const ServerState &state,
                const Candidate &candidate, Instant now) const;
    double meanFailureShare(const ServiceName &service, const ServerDirectory &book, Instant now);

    const Settings m_settings;
    const ZoneName m_zone;
    std::map<ServerName, PrefixCacheEstimator> m_prefixCaches;
    std::map<ServiceName, MeanFailureShare> m_meanFailureShares;
};

} // namespace quetzalyoke

#endif
