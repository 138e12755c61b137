#ifndef QUETZALYOKE_APPS_ENTRY_ENTRYSTATE_H
#define QUETZALYOKE_APPS_ENTRY_ENTRYSTATE_H

#include "Adapters/Async/HttpConnectionPool.h"
#include "Apps/Entry/AccountQuotas.h"
#include "Apps/Entry/ColdServerWatch.h"
#include "Apps/Entry/CrashingRequestDetector.h"
#include "Apps/Entry/EntrySettings.h"
#include "Apps/Entry/ListConfirmation.h"
#include "Apps/Entry/RunningRequests.h"
#include "Apps/Entry/ServerCrashCheck.h"
#include "Apps/Entry/WaitQueue.h"
#include "Core/Requests/RetryBudget.h"
#include "Ports/EntryPlatform.h"
#include "Ports/ServingProtocol.h"
#include "Serving/Placement/PlacementLease.h"
#include "Serving/Placement/ReplicaController.h"
#include "Serving/Requests/AdmissionPolicy.h"
#include "Serving/Requests/PlannedStop.h"
#include "Serving/Requests/RetryAfterEstimator.h"
#include "Serving/Servers/RequestPermitIssuer.h"

#include <random>

namespace quetzalyoke {

/// An event loop that is late by this much was stopped or suspended, not merely busy.
inline constexpr Duration stallThreshold = std::chrono::milliseconds(700);

/// \brief State shared by all requests of one entry gateway. Used from the event loop only.
class EntryState
{
public:
    EntryState(const EntrySettings &entrySettings, asio::io_context &eventLoop,
               const ServingProtocol &servingProtocol, EntryPlatform &entryPlatform);

    const EntrySettings settings;
    asio::io_context &loop;
    const ServingProtocol &protocol;
    EntryPlatform &platform;

    ServingConfigPtr config; ///< Empty until the first one is known.
    ServerDirectory servers;
    ColdServerWatch coldServers;
    ServerChooser chooser;
    ReplicaController replicaController;
    AdmissionPolicy admissionPolicy;
    RetryAfterEstimator retryAfterEstimator;
    HttpConnectionPool pool;
    AccountQuotas quotas;
    CrashingRequestDetector crashDetector;
    ServerCrashCheck crashCheck;
    /// Returns whether this gateway may try a request that is refused because of crashes. At most
    /// one gateway may at a time. No gateway may without this hook.
    std::function<bool()> mayTryCrashingRequests;
    StreamVersions streamVersions;
    ServiceVersions serviceVersions;
    ListConfirmation listConfirmation;
    /// \sa ListConfirmation::Hooks. No peer confirms the list without this hook.
    std::function<bool(Instant time)> isListConfirmedByPeers;
    bool hasReadVersions = false; ///< Those that the store has from before this gateway's start.
    bool hearsPeers = false; ///< Whether any peer was heard lately.
    Instant listUncertainUntil; ///< After a suspension or a reader's failure the list may be old.
    /// Returns whether servers of more than one software version may have begun streams of
    /// \a service, as far as this gateway can know.
    bool mayHaveSeveralVersions(const ServiceName &service) const;
    /// Returns whether this holds for any service.
    bool mayHaveSeveralVersions() const;
    /// Returns whether engines of \a service are slow after a start and may have started without
    /// this gateway hearing of it.
    bool mayBeColdUnnoticed(const ServiceSpec &service) const;
    /// Returns whether requests to \a service must wait until the list of servers has been read
    /// again after a suspension, since its servers may have become cold meanwhile.
    bool mustAwaitList(const ServiceSpec &service) const;
    /// Lets such requests wait for the list, but no longer than until \a until.
    void awaitList(Instant until);
    Instant lastTickAt; ///< Of the gateway's timer, which stands still with the process.
    WaitQueue waitQueue;
    RecentUrgencies recentUrgencies;
    RequestPermitIssuer permitIssuer; ///< Used while this gateway holds the lease.

    /// Whether this gateway is shutting down. It accepts connections until the platform has
    /// noticed.
    bool isStopping = false;
    PlannedStop stop; ///< Begins once this gateway is shutting down.
    RunningRequests runningRequests;
    /// Returns the number of known gateways, this one included.
    std::size_t gatewayCount() const { return m_gateways; }
    /// A peer counts as silent after \a silenceTimeout without a message.
    void setGatewayCount(std::size_t gateways, Duration silenceTimeout);

    /// Returns the budget for retries of requests to \a service.
    RetryBudget &retryBudget(const ServiceName &service);
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    /// What has happened since the last message to peers: prompt tokens requested, adapters that
    /// requests need (at a server, or at any) and adapters in use (for how long).
    std::map<ModelName, std::int64_t> unsentDemand;
    using AdapterLocation = std::tuple<ServerName, ModelName, AdapterName>;
    std::set<AdapterLocation> unsentNeeds;
    std::map<AdapterLocation, Duration> unsentAdapterUses;

    void recordPromptTokens(const ModelName &model, std::int64_t tokens);
    void recordWaitingRequest(const ModelName &model, const AdapterName &adapter);
    /// \sa ReplicaController::proposeAdapterReplica
    void proposeAdapterReplica(const ServerName &server, const ModelName &model,
                               const AdapterName &adapter);
    /// Records that a request with \a adapter runs at \a server for about \a busy from now on.
    void recordAdapterUse(const ServerName &server, const ModelName &model,
                          const AdapterName &adapter, Duration busy);

    /// Applies what \a server reports about itself (leaving, a pause, a limit) in its response to a
    /// request that was sent to its \a incarnation at \a sentAt.
    void applyServerSignal(const ServerName &server, Incarnation incarnation,
                           const BackendResponseInfo &responseInfo, Instant sentAt);
    /// Applies the request limit that \a peer knows of \a server; nothing: the limit has ended.
    void applyPeerRequestLimit(const ServerName &server, Incarnation incarnation,
                               std::optional<RequestRate> limit, std::int64_t version,
                               const std::string &peer);
    /// Requests a permit for a server with a request limit or a cold one; see PermitExchange.
    RequestPermits::Number requestPermit(const ServerName &server);
    /// Requests a permit from the lease holder. Without it this gateway uses its own share.
    std::function<RequestPermits::Number(const ServerName &server)> onPermitNeeded;
    /// Called when a server's request limit begins or changes, or the server becomes cold.
    std::function<void(const ServerName &server)> onRequestLimitStated;
    /// Lets this gateway use its own share of the limits of \a server for a while.
    void useOwnShare(ServerState &server, const char *reason);
    /// Servers whose request limit has begun or ended, or that have stated to be cold, since the
    /// last message to peers.
    std::set<ServerName> unsentLimitChanges;
    /// Leaving servers found since the last message to peers and not reported by a peer.
    std::vector<LeavingServer> unsentLeavingServers;
    /// Called when a server that takes requests leaves or asks for a pause.
    std::function<void()> onServerSignal;

    /// Called when requests wait for a model or adapter that another gateway may have to order.
    std::function<void()> onRequestWaiting;

private:
    bool isVersionListUncertain(Instant now) const;
    bool isListCurrent(Instant now) const;
    double retryReserve() const;
    void applyRequestLimit(const ServerName &server, const BackendResponseInfo &responseInfo,
                           Instant sentAt);
    void onRequestLimitChanged(const ServerState &server, const std::string &source);

    std::size_t m_gateways = 1;
    Instant m_awaitsListUntil;
    std::map<ServiceName, RetryBudget> m_retryBudgets;
    std::mt19937_64 m_random;
};

} // namespace quetzalyoke

#endif
