#ifndef QUETZALYOKE_SERVING_PLACEMENT_ENGINEDIRECTOR_H
#define QUETZALYOKE_SERVING_PLACEMENT_ENGINEDIRECTOR_H

#include "Serving/Placement/CopyPlanner.h"
#include "Serving/Placement/LoadPacer.h"
#include "Serving/Servers/ServerBook.h"

namespace quetzalyoke {

/// \brief Orders to engines: copies of models by demand, adapters as requests ask for them.
///
/// Only the gateway that holds the placement lease sends what next() returns; every gateway feeds
/// its own director, so that a new holder knows demand and use at once.
class EngineDirector
{
public:
    struct Step
    {
        std::vector<EngineCommand> commands; ///< To be sent now; each needs takeOutcome().
        std::vector<ServerName> statuses; ///< Engines to ask; each answer to takeStatus().
        std::optional<Instant> nextAt; ///< When to ask for the next step at the latest.
    };

    struct Settings
    {
        CopyPlanner::Settings copies;
        double prefillTokensPerMs = 38; ///< \sa ServerChooser::Settings
        Duration demandWindow{2'000'000}; ///< Over which demand is averaged.
        /// After the expected end of its last request an adapter may make way: it is loaded again
        /// within a few milliseconds.
        Duration adapterIdle{100'000};
        /// A model that no request waits for has lost its last copy for this long before it is
        /// loaded again: servers that have just started are listed one after the other.
        Duration missingTolerance{2'000'000};
        /// The same where an engine has the model at hand: a load costs little.
        Duration missingAtHandTolerance{300'000};
    };

    explicit EngineDirector(const Settings &settings);

    void setConfig(ServingConfigPtr config) { m_config = std::move(config); }
    /// The engines as listed; books of others are dropped.
    void setServers(const ServerBook &book);

    /// Prompt tokens asked of \a model, wherever its requests ended.
    void noteDemand(const ModelName &model, std::int64_t tokens, Instant now);
    /// Requests wait for \a adapter of \a model, or for the model itself.
    void noteNeed(const ModelName &model, const AdapterName &adapter, Instant now);
    /// The engines that hold \a adapter are busy; \a server holds its model and has time.
    void noteRelief(const ServerName &server, const ModelName &model, const AdapterName &adapter,
                    Instant now);
    /// A request with \a adapter has been sent to \a server and runs until about \a until.
    void noteUse(const ServerName &server, const ModelName &model, const AdapterName &adapter,
                 Instant until);

    /// Orders and questions of a holder. \a isNew: it has just become one.
    Step next(Instant now, bool isNew);
    void takeOutcome(const EngineCommand &command, OrderOutcome outcome, Instant now);
    void takeStatus(const ServerName &server, const EngineStatus &status, Instant askedAt,
                    Instant now);
    /// Changes that orders have brought since the last call, for every gateway's ServerBook.
    std::vector<OrderNotice> takeNotices();

    double demandOf(const ModelName &model, Instant now) const;

private:
    struct Demand
    {
        double tokensPerSecond = 0;
        Instant at;
    };
    using AdapterKey = std::pair<ModelName, AdapterName>;

    void planAdapters(const ServiceName &service, const EngineSpec &spec, Step &step, Instant now);
    void planAdapter(const AdapterKey &key, const CopyPlanner::Books &books, Step &step,
                     Instant now);
    std::optional<std::pair<AdapterKey, Instant>> longestUnused(const EngineBook &book,
                                                                Instant now) const;
    void planReliefs(const ServiceName &service, Step &step, Instant now);
    void startPlannedLoads(const ServiceName &service, Step &step, Instant now);
    void planCopies(const ServiceName &service, const EngineSpec &spec, Step &step, Instant now);
    void send(EngineBook &book, const EngineCommand &command, Step &step, Instant now);
    void notice(const EngineBook &book, const ModelName &model, const AdapterName &adapter,
                bool isLoad);
    void noticeChanges(const EngineBook &book, const Holdings &before);
    CopyPlanner::Demand workOf(const EngineSpec &spec, Instant now) const;
    std::set<ModelName> missingModels(const EngineSpec &spec, const CopyPlanner::Books &books,
                                      Instant now);
    CopyPlanner::Books &booksOf(const ServiceName &service) { return m_books[service]; }
    EngineBook *findBook(const ServerName &server);

    const Settings m_settings;
    const CopyPlanner m_planner;
    ServingConfigPtr m_config;
    std::map<ServiceName, CopyPlanner::Books> m_books;
    std::map<ServerName, ServiceName> m_services;
    std::map<ServiceName, LoadPacer> m_pacers;
    std::map<ModelName, Demand> m_demand;
    std::map<AdapterKey, Instant> m_needs;
    std::map<AdapterKey, std::pair<ServerName, Instant>> m_reliefs; // the latest one of each
    std::map<AdapterKey, Instant> m_relievedAt;
    std::map<std::pair<ServerName, AdapterKey>, Instant> m_uses; // expected ends
    std::map<std::pair<ServerName, AdapterKey>, Instant> m_impossible;
    std::map<ServerName, ModelName> m_planned; // to be loaded once an unload has made room
    std::set<ServerName> m_unpaced; // of those, the ones planned as loads of what is at hand
    std::map<ModelName, Instant> m_missingSince;
    std::vector<OrderNotice> m_notices;
    Instant m_planAt;
};

} // namespace quetzalyoke

#endif
