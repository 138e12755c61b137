#ifndef QUETZALYOKE_SERVING_REQUESTS_RETRYAFTERESTIMATOR_H
#define QUETZALYOKE_SERVING_REQUESTS_RETRYAFTERESTIMATOR_H

#include "Serving/Servers/ServerChooser.h"

#include <map>
#include <optional>

namespace quetzalyoke {

/// \brief Estimates when there is room for requests that no server can take now; no I/O.
///
/// It learns from the requests of this gateway: since when a model has been missing, how long
/// adapters take to be loaded, and how long requests run.
class RetryAfterEstimator
{
public:
    struct Settings
    {
        /// Time before a load from the local disk starts: for the order and, if the engine is full,
        /// an unload.
        Duration localLoadPreparation{400'000};
        /// A load that is overdue by this share of its time counts as begun anew.
        double maxOverdueShare = 0.25;
        /// A model that no request has missed for this long is no longer expected to be loaded.
        Duration missingModelRetention{2'000'000};
        /// Weight of the latest observation in the mean times.
        double meanWeight = 0.2;
    };

    explicit RetryAfterEstimator(const Settings &settings) : m_settings(settings) { }

    /// Records what was found for a request that arrived \a waited ago.
    void recordChoice(const ServerChoiceInput &request, const ServerChoice &choice, Duration waited,
                      Instant now);
    /// Records that a request ended \a duration after it was sent to a server of its service.
    void recordEnd(const ServiceName &service, Duration duration);
    /// Records that a request was refused after it had waited for its adapter in vain.
    void recordAdapterRefusal(const RequestMetadata &metadata, Instant now);

    /// Returns the time until a server is expected to take the request, which \a ahead requests of
    /// this gateway precede; nothing if that can't be estimated.
    std::optional<Duration> timeUntilRoom(const ServerChoiceInput &request,
                                          const ServerChoice &choice,
                                          const ServerDirectory &directory, std::size_t ahead,
                                          std::size_t gateways, Instant now) const;

private:
    struct MissingModel
    {
        Instant loadBeginsAt; ///< When its load is expected to begin or have begun.
        Instant lastMissedAt;
        Duration loadTime{0};
        bool isStoredLocally = false;
    };
    using AdapterKey = std::pair<ModelName, AdapterName>;

    void recordMissingModel(const ServerChoiceInput &request, bool isStoredLocally, Instant now);
    std::optional<Duration> timeUntilModel(const ModelName &model, Instant now) const;
    std::optional<Duration> timeUntilAdapter(const RequestMetadata &metadata, Instant now) const;
    std::optional<Duration> timeUntilSlot(const ServerChoiceInput &request,
                                          const ServerDirectory &directory, std::size_t ahead,
                                          std::size_t gateways) const;
    void updateMean(std::optional<Duration> &mean, Duration observed) const;

    const Settings m_settings;
    std::map<ModelName, MissingModel> m_missingModels;
    std::map<AdapterKey, Instant> m_missingAdapters; // since when requests have lacked them
    std::map<AdapterKey, Instant> m_adapterRefusedAt;
    std::optional<Duration> m_meanAdapterLoad;
    std::map<ServiceName, std::optional<Duration>> m_meanRuns;
};

} // namespace quetzalyoke

#endif
