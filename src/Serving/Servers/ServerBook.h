#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERBOOK_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERBOOK_H

#include "Serving/Servers/BackendServer.h"
#include "Serving/Servers/ServerHealth.h"
#include "Serving/Servers/ServerLoad.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief Work that one gateway has at one server.
struct ServerWork
{
    int running = 0; ///< Requests sent and not answered.
    std::int64_t prefillTokens = 0; ///< Prompt tokens still to be read, as far as known.
    std::int64_t memoryTokens = 0; ///< Of the requests that run.
};

/// \brief A change of an engine's holdings by an accepted order, known before the list shows it.
struct OrderNotice
{
    ServerName server;
    Incarnation incarnation;
    std::int64_t orders = 0; ///< Accepted by the engine, this one included; the higher one counts.
    ModelName model;
    AdapterName adapter; ///< Empty: the model itself.
    bool isLoad = true;
};

/// \brief What this gateway believes of one backend server.
struct ServerState
{
    ListedServer listed;
    std::int32_t hash = 0; ///< serverHash() of its id.
    Holdings holdings; ///< The list's, with younger notices applied.
    ServerWork own;
    ServerWork peersTotal; ///< Of all other gateways.
    ServerHealth health;
    ServerLoad load; ///< As its answers state it; plain servers only.
    std::optional<Instant> missingSince; ///< Its entry lapsed while the list was out of reach.
    Instant pausedUntil; ///< It wants nothing from this gateway before.
    Instant peerPausedUntil; ///< It wants nothing from another gateway before.

    /// Of all gateways.
    ServerWork total() const;
    bool holds(const ModelName &model, const AdapterName &adapter) const;
    /// Requests at a plain server, by what it states and what this gateway has there.
    double plainLoad(Instant now) const;
    bool isPaused(Instant now) const { return now < pausedUntil; }
};

/// \brief A server's own statement that it leaves, which its entry in the list doesn't show yet.
struct Departure
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
class ServerBook
{
public:
    using Servers = std::map<ServerName, ServerState>;
    struct ById
    {
        bool operator()(const ServerState *a, const ServerState *b) const
        {
            return a->listed.id < b->listed.id;
        }
    };
    using PeerWork = std::map<std::int32_t, ServerWork>; ///< By serverHash().
    /// Some of the servers, by id.
    using Group = std::set<const ServerState *, ById>;

    /// \a lapseGrace is how long after its return the list may still miss a living server.
    explicit ServerBook(Duration lapseGrace) : m_lapseGrace(lapseGrace) { }
    ServerBook(const ServerBook &) = delete;
    ServerBook &operator=(const ServerBook &) = delete;

    /// Takes the entry of one server. An incarnation replaces the one before.
    void put(const ListedServer &server, Instant now);
    /// Takes the removal of an entry.
    void remove(const ServerName &id, Instant now);
    /// The list could not be read until \a now.
    void noteListOutage(Instant now) { m_outageUntil = now; }
    /// Drops the servers that are still missing after the grace; returns them.
    std::vector<ServerName> expire(Instant now);

    /// A server has said that it leaves. Whether that is news.
    bool noteLeaving(const ServerName &id, Incarnation incarnation);
    /// A server wants nothing before \a until. Whether that is news of the incarnation listed.
    bool notePause(const ServerName &id, Incarnation incarnation, Instant until);
    /// The same, said to another gateway.
    void notePeerPause(const ServerName &id, Incarnation incarnation, Instant until);
    /// Departures that the list doesn't show yet.
    std::vector<Departure> unlistedDepartures() const;

    void addNotice(const OrderNotice &notice, Instant now);
    /// Replaces what \a peer has at all servers, by serverHash().
    void setPeerWork(const InstanceId &peer, const PeerWork &work);

    ServerState *find(const ServerName &id);
    const ServerState *find(const ServerName &id) const;
    const Servers &servers() const { return m_servers; }
    /// Servers of \a service.
    const Group &serving(const ServiceName &service) const;
    /// Servers that hold \a model.
    const Group &holding(const ModelName &model) const;

private:
    struct Noticed
    {
        OrderNotice notice;
        Instant until;
    };
    /// Kept beyond the entry, since an older one may come back from a source that lags.
    struct Departed
    {
        Incarnation incarnation;
        std::optional<Instant> unlistedAt;
        bool isListedLeaving = false; ///< The list says so, too.
    };
    using Holding = std::pair<ModelName, AdapterName>;
    using Notices = std::map<Holding, Noticed>;

    void takeListed(ServerState &state, const ListedServer &server);
    void expireDepartures(Instant now);
    void erase(Servers::iterator it);
    void forgetPeerWork(std::int32_t hash);
    void applyNotices(ServerState &server, Instant now);
    void addHoldings(const ServerState &server);
    void removeHoldings(const ServerState &server);

    const Duration m_lapseGrace;
    Servers m_servers;
    std::map<ServiceName, Group> m_serving;
    std::map<ModelName, Group> m_holding;
    std::unordered_multimap<std::int32_t, ServerState *> m_byHash;
    std::map<InstanceId, PeerWork> m_peerWork; // what each peer has now, none where it has nothing
    std::map<ServerName, Notices> m_notices;
    std::map<ServerName, Departed> m_departed;
    std::optional<Instant> m_outageUntil;
};

} // namespace quetzalyoke

#endif
