#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERDIRECTORY_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERDIRECTORY_H

#include "Serving/Servers/BackendServer.h"
#include "Serving/Servers/ServerHealth.h"
#include "Serving/Servers/ServerLoadEstimator.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief Work that one gateway has at one server.
struct ServerWork
{
    int requestsInFlight = 0; ///< Requests sent and not answered.
    std::int64_t prefillTokens = 0; ///< Prompt tokens still to be read, as far as known.
    std::int64_t kvCacheTokens = 0; ///< Of the requests that run.
};

/// \brief A change of an engine's holdings by an accepted order, known before the list shows it.
struct LoadedModelChange
{
    ServerName server;
    Incarnation incarnation;
    std::int64_t acceptedOrders
        = 0; ///< Accepted by the engine, this one included; the higher one counts.
    ModelName model;
    AdapterName adapter; ///< Empty: the model itself.
    bool isLoad = true;
};

/// \brief What this gateway believes of one backend server.
struct ServerState
{
    ListedServer listed;
    std::int32_t idHash = 0; ///< serverHash() of its id.
    LoadedModels loadedModels; ///< The list's, with younger notices applied.
    ServerWork ownWork;
    ServerWork peerWork; ///< Of all other gateways.
    ServerHealth health;
    ServerLoadEstimator loadEstimator; ///< As its answers state it; plain servers only.
    std::optional<Instant> unlistedSince; ///< Its entry lapsed while the list was out of reach.
    Instant pausedUntil; ///< It wants nothing from this gateway before.
    Instant peerPausedUntil; ///< It wants nothing from another gateway before.

    /// Of all gateways.
    ServerWork totalWork() const;
    bool hasLoaded(const ModelName &model, const AdapterName &adapter) const;
    /// Requests at a plain server, by what it states and what this gateway has there.
    double estimatedRequests(Instant now) const;
    bool isPaused(Instant now) const { return now < pausedUntil; }
};

/// \brief A server's own statement that it leaves, which its entry in the list doesn't show yet.
struct LeavingServer
{
    ServerName server;
    Incarnation incarnation;
};

/// A short stand-in for a server's id, the same at every gateway.
std::int32_t serverHash(const ServerName &id);

/// \brief All backend servers that this gateway knows, by id; no I/O.
///
/// An entry that lapses while the platform's list can't be read is kept for a grace, since
/// servers that live enter themselves again when the list is back. A server's own statement that it
/// leaves holds for its incarnation, whatever older entries say.
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
    using WorkByServerHash = std::map<std::int32_t, ServerWork>; ///< By serverHash().
    /// Some of the servers, by id.
    using ServerSet = std::set<const ServerState *, LessById>;

    /// \a lapseGrace is how long after its return the list may still miss a living server.
    explicit ServerDirectory(Duration lapseGrace) : m_lapseGrace(lapseGrace) { }
    ServerDirectory(const ServerDirectory &) = delete;
    ServerDirectory &operator=(const ServerDirectory &) = delete;

    /// Takes the entry of one server. An incarnation replaces the one before.
    void put(const ListedServer &server, Instant now);
    /// Takes the removal of an entry.
    void remove(const ServerName &id, Instant now);
    /// The list could not be read until \a now.
    void recordListOutage(Instant now) { m_listOutageUntil = now; }
    /// Drops the servers that are still missing after the grace; returns them.
    std::vector<ServerName> removeExpired(Instant now);

    /// A server has said that it leaves. Whether that is news.
    bool recordLeaving(const ServerName &id, Incarnation incarnation);
    /// A server wants nothing before \a until. Whether that is news of the incarnation listed.
    bool recordPause(const ServerName &id, Incarnation incarnation, Instant until);
    /// The same, said to another gateway.
    void recordPeerPause(const ServerName &id, Incarnation incarnation, Instant until);
    /// Departures that the list doesn't show yet.
    std::vector<LeavingServer> unlistedLeavingServers() const;

    void addLoadedModelChange(const LoadedModelChange &notice, Instant now);
    /// Replaces what \a peer has at all servers, by serverHash().
    void setPeerWork(const InstanceId &peer, const WorkByServerHash &work);

    ServerState *find(const ServerName &id);
    const ServerState *find(const ServerName &id) const;
    const Servers &servers() const { return m_servers; }
    /// Servers of \a service.
    const ServerSet &serversOfService(const ServiceName &service) const;
    /// Servers that hold \a model.
    const ServerSet &serversWithModel(const ModelName &model) const;

private:
    struct PendingChange
    {
        LoadedModelChange change;
        Instant until;
    };
    /// Kept beyond the entry, since an older one may come back from a source that lags.
    struct LeavingRecord
    {
        Incarnation incarnation;
        std::optional<Instant> unlistedSince;
        bool isListedLeaving = false; ///< The list says so, too.
    };
    using AdapterKey = std::pair<ModelName, AdapterName>;
    using PendingChanges = std::map<AdapterKey, PendingChange>;

    void setListed(ServerState &state, const ListedServer &server);
    void removeExpiredLeaving(Instant now);
    void erase(Servers::iterator it);
    void clearPeerWork(std::int32_t hash);
    void applyPendingChanges(ServerState &server, Instant now);
    void indexLoadedModels(const ServerState &server);
    void unindexLoadedModels(const ServerState &server);

    const Duration m_lapseGrace;
    Servers m_servers;
    std::map<ServiceName, ServerSet> m_serversByService;
    std::map<ModelName, ServerSet> m_serversByModel;
    std::unordered_multimap<std::int32_t, ServerState *> m_byHash;
    std::map<InstanceId, WorkByServerHash>
        m_peerWork; // what each peer has now, none where it has nothing
    std::map<ServerName, PendingChanges> m_pendingChanges;
    std::map<ServerName, LeavingRecord> m_leavingServers;
    std::optional<Instant> m_listOutageUntil;
};

} // namespace quetzalyoke

#endif
