#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERDIRECTORY_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERDIRECTORY_H

#include "Serving/Servers/BackendServer.h"
#include "Serving/Servers/RequestPermitIssuer.h"
#include "Serving/Servers/RequestPermits.h"
#include "Serving/Servers/ServerHealth.h"
#include "Serving/Servers/ServerLoadEstimator.h"
#include "Serving/Servers/StatedRequestLimit.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief Work of one or more gateways at one server.
struct ServerWork
{
    int requestsInFlight = 0; ///< Requests sent whose response is not complete.
    std::int64_t prefillTokens = 0; ///< Prompt tokens still to be processed, as far as known.
    std::int64_t kvCacheTokens = 0; ///< KV cache tokens of the running requests.
};

/// \brief A change of an engine's loaded models by an accepted order, known before the list shows
/// it.
struct LoadedModelChange
{
    ServerName server;
    Incarnation incarnation;
    std::int64_t acceptedOrders = 0; ///< Orders accepted by the engine up to this one. The change
                                     ///< with the highest count is valid.
    ModelName model;
    AdapterName adapter; ///< Empty if the model itself is loaded or unloaded.
    bool isLoad = true;
};

/// \brief What this gateway knows about one backend server.
struct ServerState
{
    ListedServer listed;
    std::int32_t idHash = 0; ///< serverHash() of its id.
    LoadedModels loadedModels; ///< As listed, with later changes applied.
    ServerWork ownWork;
    ServerWork peerWork; ///< Of all other gateways.
    ServerHealth health;
    ServerLoadEstimator loadEstimator; ///< From the loads in its responses; plain servers only.
    std::optional<Instant>
        unlistedSince; ///< Set if its entry was removed during an outage of the list.
    Instant pausedUntil; ///< End of the pause that it asked this gateway for.
    Instant peerPausedUntil; ///< End of the pause that it asked other gateways for.
    StatedRequestLimit requestLimit;
    RequestPermits permits; ///< Needed while there is a request limit.

    /// Returns the work of all gateways.
    ServerWork totalWork() const;
    bool hasLoaded(const ModelName &model, const AdapterName &adapter) const;
    /// Returns the estimated number of requests at a plain server, from the loads that it states
    /// and the requests of this gateway.
    double estimatedRequests(Instant now) const;
    bool isPaused(Instant now) const { return now < pausedUntil; }
    bool isLimited() const { return requestLimit.limit().has_value(); }
    /// Returns the server with its request limit, which it must have.
    RequestPermitIssuer::LimitedServer limitedServer() const
    {
        return {listed.id, listed.incarnation, *requestLimit.limit(), requestLimit.beganAt()};
    }
};

/// \brief A server that said it is leaving, which its entry in the list doesn't show yet.
struct LeavingServer
{
    ServerName server;
    Incarnation incarnation;
};

/// Returns a short hash of a server's id, the same at every gateway.
std::int32_t serverHash(const ServerName &id);

/// \brief All backend servers that this gateway knows, by id; no I/O.
///
/// An entry that is removed while the platform's list can't be read is kept for a grace period,
/// since running servers register again when the list is back. When a server has said that it is
/// leaving, this holds for its incarnation, whatever older entries say. What else a server has said
/// and the work sent to it are remembered for a while after its entry is removed, since the entry
/// of a running server may return.
class ServerDirectory
{
public:
    using Servers = std::map<ServerName, ServerState>;
    struct LessById
    {
        bool operator()(const ServerState *a, const ServerState *b) const
        {
            return a->listed.id < b->listed.id;
        }
    };
    using WorkByServerHash = std::map<std::int32_t, ServerWork>; ///< Work by serverHash().
    /// A subset of the servers, ordered by id.
    using ServerSet = std::set<const ServerState *, LessById>;

    /// \a gracePeriod is how long after an outage the list may still lack a running server.
    explicit ServerDirectory(Duration gracePeriod) : m_gracePeriod(gracePeriod) { }
    ServerDirectory(const ServerDirectory &) = delete;
    ServerDirectory &operator=(const ServerDirectory &) = delete;

    /// Adds or updates the entry of one server. A later incarnation replaces an earlier one.
    void put(const ListedServer &server, Instant now);
    /// Removes the entry of a server, unless an outage of the list explains the removal.
    void remove(const ServerName &id, Instant now);
    /// Records that the list could not be read until \a now.
    void recordListOutage(Instant now) { m_listOutageUntil = now; }
    /// Removes the servers that are still unlisted after the grace period, and returns them.
    std::vector<ListedServer> removeExpired(Instant now);

    /// Records that a server has said it is leaving. Returns whether this was not known.
    bool recordLeaving(const ServerName &id, Incarnation incarnation);
    /// Records that a server asked this gateway for a pause until \a until. Returns whether this
    /// concerns the listed incarnation and extends its pause.
    bool recordPause(const ServerName &id, Incarnation incarnation, Instant until);
    /// Records that a server asked another gateway for a pause until \a until.
    void recordPeerPause(const ServerName &id, Incarnation incarnation, Instant until);
    /// Subtracts \a work, which was counted in the server's ownWork and has ended; its entry may be
    /// gone.
    void releaseWork(const ServerName &id, const ServerWork &work);
    /// Drops the granted permits for all servers, after this gateway was suspended.
    void dropGrantedPermits();
    /// Returns the leaving servers that the list doesn't show as leaving yet.
    std::vector<LeavingServer> unlistedLeavingServers() const;

    void addLoadedModelChange(const LoadedModelChange &change, Instant now);
    /// Replaces the work of \a peer at all servers.
    void setPeerWork(const InstanceId &peer, const WorkByServerHash &work);

    ServerState *find(const ServerName &id);
    const ServerState *find(const ServerName &id) const;
    const Servers &servers() const { return m_servers; }
    /// Returns the servers of \a service.
    const ServerSet &serversOfService(const ServiceName &service) const;
    /// Returns the servers that have \a model loaded.
    const ServerSet &serversWithModel(const ModelName &model) const;

private:
    struct PendingChange
    {
        LoadedModelChange change;
        Instant until;
    };
    /// Kept after the entry is removed, since a source that lags may still deliver an older entry.
    struct LeavingRecord
    {
        Incarnation incarnation;
        std::optional<Instant> unlistedSince;
        bool isListedLeaving = false; ///< The list shows it as leaving, too.
    };
    struct RemovedServer
    {
        ServerState state;
        Instant removedAt;
    };
    using AdapterKey = std::pair<ModelName, AdapterName>;
    using PendingChanges = std::map<AdapterKey, PendingChange>;

    void setListed(ServerState &state, const ListedServer &server);
    void removeExpiredLeaving(Instant now);
    void erase(Servers::iterator it, Instant now);
    void remember(const ServerState &state, Instant now);
    void restoreRemoved(ServerState &state, const ListedServer &server);
    void removeExpiredRemoved(Instant now);
    void clearPeerWork(std::int32_t hash);
    void applyPendingChanges(ServerState &server, Instant now);
    void indexLoadedModels(const ServerState &server);
    void unindexLoadedModels(const ServerState &server);

    const Duration m_gracePeriod;
    Servers m_servers;
    std::map<ServiceName, ServerSet> m_serversByService;
    std::map<ModelName, ServerSet> m_serversByModel;
    std::unordered_multimap<std::int32_t, ServerState *> m_byHash;
    std::map<InstanceId, WorkByServerHash>
        m_peerWork; // current work of each peer; no entry for a peer without work
    std::map<ServerName, PendingChanges> m_pendingChanges;
    std::map<ServerName, LeavingRecord> m_leavingServers;
    std::map<ServerName, RemovedServer> m_removedServers;
    std::optional<Instant> m_listOutageUntil;
};

} // namespace quetzalyoke

#endif
