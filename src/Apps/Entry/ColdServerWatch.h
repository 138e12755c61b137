#ifndef QUETZALYOKE_APPS_ENTRY_COLDSERVERWATCH_H
#define QUETZALYOKE_APPS_ENTRY_COLDSERVERWATCH_H

#include "Ports/ServingProtocol.h"
#include "Serving/Servers/ServerDirectory.h"

#include <functional>

namespace quetzalyoke {

/// \brief Applies and logs what servers, their entries and peers state about cold periods.
class ColdServerWatch
{
public:
    struct Hooks
    {
        /// Called when a server becomes cold.
        std::function<void(const ServerName &server)> onCold;
        /// Called when this gateway has found out itself, other than by the list, that a server is
        /// cold.
        std::function<void(const ServerName &server)> onColdStated;
    };

    ColdServerWatch(ServerDirectory &servers, Hooks hooks)
        : m_servers(servers), m_hooks(std::move(hooks))
    { }

    /// Applies what the response of \a incarnation of \a server to a request sent at \a sentAt
    /// states.
    void applyResponse(const ServerName &server, Incarnation incarnation,
                       const BackendResponseInfo &responseInfo, Instant sentAt);
    /// \sa ServerDirectory::recordProcessEnd
    void recordProcessEnd(const ServerName &server, Incarnation incarnation);
    /// Applies what the gateway \a peer believes of \a server.
    void applyPeer(const ServerName &server, Incarnation incarnation, Duration remaining,
                   const std::string &peer);
    /// Logs what the directory has taken from the entry of \a server.
    void onEntryApplied(const ServerName &server);
    /// Logs the periods that have ended since the last call, and those that a new configuration has
    /// made relevant.
    void tick();

private:
    void logIgnored(ServerState &server, Incarnation incarnation, const char *reason, Instant now);
    void logBelief(ServerState &server, const std::string &source, Instant now);

    ServerDirectory &m_servers;
    const Hooks m_hooks;
};

} // namespace quetzalyoke

#endif
