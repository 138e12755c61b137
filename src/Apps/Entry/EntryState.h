#ifndef QUETZALYOKE_APPS_ENTRY_ENTRYSTATE_H
#define QUETZALYOKE_APPS_ENTRY_ENTRYSTATE_H

#include "Adapters/Async/ConnectionPool.h"
#include "Apps/Entry/AccountQuotas.h"
#include "Apps/Entry/CrashSuspicions.h"
#include "Apps/Entry/EntrySettings.h"
#include "Apps/Entry/WaitingLine.h"
#include "Core/Requests/RetryBudget.h"
#include "Ports/EntryPlatform.h"
#include "Ports/ServingDialect.h"
#include "Serving/Placement/EngineDirector.h"
#include "Serving/Placement/PlacementLease.h"
#include "Serving/Requests/AdmissionPolicy.h"

#include <random>

namespace quetzalyoke {

/// \brief What the requests of one entry gateway share. Used from the event loop only.
class EntryState
{
public:
    EntryState(const EntrySettings &entrySettings, asio::io_context &eventLoop,
               const ServingDialect &servingDialect, EntryPlatform &entryPlatform);

    const EntrySettings settings;
    asio::io_context &loop;
    const ServingDialect &dialect;
    EntryPlatform &platform;

    ServingConfigPtr config; ///< Empty until the first one is known.
    ServerBook book;
    ServerChooser chooser;
    EngineDirector director;
    AdmissionPolicy admission;
    ConnectionPool pool;
    AccountQuotas quotas;
    CrashSuspicions suspicions;
    WaitingLine waiting;

    /// Whether this gateway leaves: it takes connections until the platform has noticed.
    bool isStopping = false;
    /// Known members, this one included.
    std::size_t gateways() const { return m_gateways; }
    /// A peer is silent after \a silence without news.
    void setGateways(std::size_t gateways, Duration silence);

    /// Repeats of requests to \a service.
    RetryBudget &retries(const ServiceName &service);
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    /// Prompt tokens asked, adapters wanted (at a server, or anywhere) and used (for how long)
    /// since the last news to peers.
    std::map<ModelName, std::int64_t> demandNews;
    using AdapterPlace = std::tuple<ServerName, ModelName, AdapterName>;
    std::set<AdapterPlace> wantedNews;
    std::map<AdapterPlace, Duration> usedNews;

    void noteDemand(const ModelName &model, std::int64_t tokens);
    void noteNeed(const ModelName &model, const AdapterName &adapter);
    /// \sa EngineDirector::noteRelief
    void noteRelief(const ServerName &server, const ModelName &model, const AdapterName &adapter);
    /// A request with \a adapter runs at \a server for about \a busy from now on.
    void noteUse(const ServerName &server, const ModelName &model, const AdapterName &adapter,
                 Duration busy);

    /// Believes what \a server says of itself in an answer to a request that was sent to its
    /// \a incarnation.
    void takeServerSignal(const ServerName &server, Incarnation incarnation,
                          const BackendVerdict &verdict);
    /// Departures that no peer has told of, since the last news to peers.
    std::vector<Departure> departureNews;
    /// Called when a server that was in use leaves or pauses.
    std::function<void()> onServerSignal;

    /// Called when requests wait for something that another gateway may have to order.
    std::function<void()> onNeed;

private:
    double retryReserve() const;

    std::size_t m_gateways = 1;
    std::map<ServiceName, RetryBudget> m_retries;
    std::mt19937_64 m_random;
};

} // namespace quetzalyoke

#endif
