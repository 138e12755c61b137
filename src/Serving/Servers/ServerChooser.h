#ifndef QUETZALYOKE_SERVING_SERVERS_SERVERCHOOSER_H
#define QUETZALYOKE_SERVING_SERVERS_SERVERCHOOSER_H

#include "Serving/Servers/PrefixBook.h"
#include "Serving/Servers/ServerBook.h"

#include <set>

namespace quetzalyoke {

/// \brief What placing a request depends on.
struct PlacementRequest
{
    const ServiceSpec *service = nullptr;
    const CallDescription *call = nullptr;
    const std::vector<std::uint64_t> *chain = nullptr; ///< prefixChain() of the call.
    std::set<ServerName> excluded; ///< Tried already.
};

/// \brief Where a request goes, or why it goes nowhere.
struct PlacementChoice
{
    enum class Outcome {
        Chosen,
        NoServer, ///< The service has no server that takes work.
        NoModel, ///< No server holds the model.
        NoAdapter, ///< Servers hold the model, none of them the adapter.
        Full, ///< Every server that could run it is full.
        Paused, ///< Every server that could run it wants nothing for a while.
    };

    Outcome outcome = Outcome::NoServer;
    bool isAtHand = false; ///< No server holds the model, one could load it from its own disk.
    ServerName server;
    Duration pause{0}; ///< Until the first of the paused servers takes work again.
    Duration expectedFirst{0}; ///< Until the first byte of the answer.
    std::int64_t prefillTokens = 0; ///< That the server has to read.
    std::int64_t memoryTokens = 0;
    /// A server that holds the model and would answer much sooner if it held the adapter, too.
    ServerName relief;
};

const char *outcomeText(PlacementChoice::Outcome outcome);

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
        Duration farZone{20'000}; ///< A server in another zone must be faster by this much.
        Duration plainWork{20'000}; ///< Of one call of a plain service, until measured.
        double memoryShare = 0.9; ///< Of an engine's memory that running requests may fill.
        int queuedPerServer = 1; ///< Calls beyond a plain server's slots.
        /// Of the first byte, by which a server without the adapter must be faster to be worth a
        /// load of the adapter, which takes a tenth of it.
        Duration reliefGain{100'000};
        /// A server that asked another gateway for a pause must be faster by this much.
        Duration peerPausePenalty{1'000'000};
        double failureMargin = 0.25; ///< Failure share above the service's mean that counts.
    };

    ServerChooser(const Settings &settings, ZoneName zone)
        : m_settings(settings), m_zone(std::move(zone))
    { }

    PlacementChoice choose(const PlacementRequest &request, const ServerBook &book, Instant now);
    /// The request has been sent to \a server.
    void noteSent(const ServerName &server, const PlacementRequest &request);
    /// Forgets what was cached at \a server.
    void forget(const ServerName &server) { m_prefixes.erase(server); }

private:
    struct Candidate
    {
        const ServerState *state = nullptr;
        Duration expected{0};
        std::int64_t prefill = 0;
        std::int64_t memory = 0;
    };

    struct Mean
    {
        double failureShare = 0;
        Instant until; ///< Then it is taken anew.
    };

    Candidate weigh(const PlacementRequest &request, const ServerState &state, Instant now) const;
    ServerName reliefFor(const PlacementRequest &request, const ServerBook::Group &group,
                         const Candidate &best, Instant now) const;
    bool isFull(const PlacementRequest &request, const ServerState &state,
                const Candidate &candidate, Instant now) const;
    double meanFailureShare(const ServiceName &service, const ServerBook &book, Instant now);

    const Settings m_settings;
    const ZoneName m_zone;
    std::map<ServerName, PrefixBook> m_prefixes;
    std::map<ServiceName, Mean> m_means;
};

} // namespace quetzalyoke

#endif
