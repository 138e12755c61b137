#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERDIRECTORY_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERDIRECTORY_H

#include "Serving/Servers/BackendServer.h"
#include "Serving/Servers/ColdPeriod.h"
#include "Serving/Servers/EvacuatedZones.h"
#include "Serving/Servers/RequestPermitIssuer.h"
#include "Serving/Servers/RequestPermits.h"
#include "Serving/Servers/ServerHealth.h"
#include "Serving/Servers/ServerLoadEstimator.h"
#include "Serving/Servers/ServerPace.h"
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
    /// Tokens that peers are known to have sent to this incarnation: the sum of all increases of
    /// their work. Requests that begin and end between two reports are missing.
    std::int64_t peerTokensSent = 0;
    Instant peerWorkAt; ///< When a peer last reported a change of it.
    ServerHealth health;
    ServerLoadEstimator loadEstimator; ///< From the loads in its responses.
    ServerPace pace; ///< From the paces in its responses.
    std::optional<Instant>
        unlistedSince; ///< Set if its entry was removed during an outage of the list.
    Instant pausedUntil; ///< End of the pause that it asked this gateway for.
    Instant peerPausedUntil; ///< End of the pause that it asked other gateways for.
    StatedRequestLimit requestLimit;
    RequestPermits permits; ///< Needed while there is a request limit.
    ColdPeriod coldPeriod;
    bool wasCold = false; ///< As last logged.
    Instant nextColdProblemLogAt; ///< Bounds the log of statements that are ignored.
    RequestRate coldRate; ///< That the server tolerates while it is cold; 0: any rate.
    bool isEvacuated = false; ///< Its zone is evacuated: it gets no requests and no orders.

    /// Returns the work of all gateways.
    ServerWork totalWork() const;
    bool hasLoaded(const ModelName &model, const AdapterName &adapter) const;
    /// Returns the estimated number of requests at a plain server, from the loads that it states
    /// and the requests of this gateway.
    double estimatedRequests(Instant now) const;
    bool isPaused(Instant now) const { return now < pausedUntil; }
    /// Returns whether the server is cold and gets few requests because of that.
    bool isCold(Instant now) const;
    /// Returns the rate of requests that the server may get while it is cold, and that rises after
    /// that; nothing: any rate.
    std::optional<RequestRate> coldRequestRate(Instant now) const;
    /// Returns the lower of the stated request limit and of the rate for a cold server; nothing:
    /// any rate.
    std::optional<RequestRate> requestRate(Instant now) const;
    /// Returns whether each request needs a permit.
    bool isLimited(Instant now) const { return requestRate(now).has_value(); }
    /// Returns the limit for RequestPermits::useOwnShare().
    RequestRate ownShareLimit(Instant now) const;
    /// Returns when the latest limit began that is in force.
    Instant limitBeganAt(Instant now) const;
    /// Returns the server with its limits.
    RequestPermitIssuer::LimitedServer limitedServer(Instant now) const;
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

    /// How servers of one service are to be treated while they are cold.
    struct ColdRule
    {
        RequestRate rate; ///< \sa ServiceSpec::coldRequestsPerSecond
        Duration startTime{0}; ///< \sa ServiceSpec::coldStartTime
    };
    void setColdRules(std::map<ServiceName, ColdRule> rules);
    /// Records that the list has been read once. Servers that are listed after that have just
    /// started.
    void recordListRead() { m_isListRead = true; }

    /// Records that the process of \a incarnation of a server has ended: the next one under its id
    /// counts as cold, also while the list still has this incarnation. Returns whether this is
    /// news.
    bool recordProcessEnd(const ServerName &id, Incarnation incarnation, Instant now);

    /// Applies a change of the operators' row for \a zone. Returns whether the zone becomes
    /// evacuated or is no longer.
    bool applyEvacuation(const ZoneName &zone, EvacuationChange change, Instant now);
    /// Ends evacuations whose rows were lost with a restore and not written again, and returns
    /// their zones.
    std::vector<ZoneName> removeExpiredEvacuations(Instant now);
    const EvacuatedZones &evacuatedZones() const { return m_evacuatedZones; }

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
    /// Replaces the work of \a peer at all servers, as reported at \a now.
    void setPeerWork(const InstanceId &peer, const WorkByServerHash &work, Instant now = {});

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
    /// Kept after the entry is removed, since the same incarnation may return.
    struct EndedServer
    {
        Incarnation incarnation;
        ColdPeriod coldPeriod;
        Instant endedAt;
    };
    struct RemovedServer
    {
        ServerState state;
        Instant removedAt;
    };
    using AdapterKey = std::pair<ModelName, AdapterName>;
    using PendingChanges = std::map<AdapterKey, PendingChange>;

    void setListed(ServerState &state, const ListedServer &server);
    void updateColdPeriod(ServerState &state, bool isReplaced, Instant now);
    void updateZones();
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
    std::map<ServerName, EndedServer> m_endedServers;
    std::map<ServiceName, ColdRule> m_coldRules;
    bool m_isListRead = false;
    EvacuatedZones m_evacuatedZones;
    std::map<ServerName, RemovedServer> m_removedServers;
    std::optional<Instant> m_listOutageUntil;
};

} // namespace quetzalyoke

#endif
