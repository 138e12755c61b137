#ifndef QUETZALYOKE_APPS_ENTRY_PERMITEXCHANGE_H
#define QUETZALYOKE_APPS_ENTRY_PERMITEXCHANGE_H

#include "Apps/Entry/EntryState.h"
#include "Wire/generated/peers_types.h"

namespace quetzalyoke {

/// \brief Requests permits for servers with a request limit and for cold ones from the lease
/// holder, and issues them while this gateway is the holder.
class PermitExchange
{
public:
    struct Hooks
    {
        /// Returns whether this gateway issues the permits.
        std::function<bool()> isIssuer;
        /// Sends \a request to the issuer. Returns false if no issuer is known.
        std::function<bool(const wire::PeerPermitRequest &request)> sendRequest;
        std::function<void(const InstanceId &to, const wire::PeerPermitReply &reply)> sendReply;
    };

    PermitExchange(EntryState &state, Hooks hooks);

    /// Requests a permit for \a server, which states a limit or is cold. The result is shown by the
    /// server's RequestPermits: at once if this gateway issues the permits, later otherwise.
    RequestPermits::Number requestPermit(const ServerName &server);
    /// Tells the issuer how many requests were sent to \a server just before its limit began.
    void reportRecentRequests(const ServerName &server);
    void onRequest(const InstanceId &from, const wire::PeerPermitRequest &request);
    void onReply(const wire::PeerPermitReply &reply);
    /// Repeats requests without a response.
    void tick();

private:
    RequestPermitIssuer::Decision decide(const RequestPermitIssuer::LimitedServer &server,
                                         const InstanceId &gateway, int recentRequests,
                                         Instant now);
    bool send(const ServerState &server, RequestPermits::Number number);
    void applyDecision(ServerState &server, RequestPermits::Number number, bool isGranted,
                       Duration retryAfter);

    EntryState &m_state;
    const Hooks m_hooks;
    RequestPermits::Number m_lastNumber = 0;
    std::set<ServerName> m_pendingServers; // with requests that have no response yet
};

} // namespace quetzalyoke

#endif
