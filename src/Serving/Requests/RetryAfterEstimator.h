#ifndef QUETZALYOKE_SERVING_REQUESTS_RETRYAFTERESTIMATOR_H
#define QUETZALYOKE_SERVING_REQUESTS_RETRYAFTERESTIMATOR_H

#include "Serving/Servers/ServerChooser.h"

#include <map>
#include <optional>

namespace quetzalyoke {

/// Shortest retry delay.
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);

/// Share of the time left up to which a refused caller is told to return. Callers honour a third.
constexpr double maxRetryAfterShare = 0.3;

/// Returns the retry delay for capacity that comes after \a delay: at least a tenth of a second and
/// at most the share of \a timeLeft that callers honour. \a spread in [0, 1) keeps callers that are
/// refused together from returning together.
Duration boundedRetryAfter(Duration delay, Duration timeLeft, double spread);

/// \brief Estimates when there is room for requests that no server can take now; no I/O.
///
/// It learns from the requests of this gateway: since when a model has been missing, how long
/// adapters take to be loaded, and how long requests run. Callers that are refused for the same
/// lack return one after the other, at the pace at which there is room.
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
        double prefillTokensPerMs = 38; ///< \sa ServerChooser::Settings
        /// Weight of the latest observation in the mean times.
        double meanWeight = 0.2;
    };

    explicit RetryAfterEstimator(const Settings &settings) : m_settings(settings) { }

    /// Records what was found for a request that has waited for \a waited.
    void recordChoice(const ServerChoiceInput &request, const ServerChoice &choice, Duration waited,
                      const ServerDirectory &directory, std::size_t gateways, Instant now);
    /// Records that a request ended \a duration after it was sent to a server of its service.
    void recordEnd(const ServiceName &service, Duration duration);
    /// Records that a request was refused after it had waited for its adapter in vain.
    void recordAdapterRefusal(const RequestMetadata &metadata, Instant now);

    /// Returns the time until a server is expected to take the request, which \a ahead requests of
    /// this gateway precede; nothing if that can't be estimated.
    std::optional<Duration> timeUntilRoom(const ServerChoiceInput &request,
                                          const ServerChoice &choice, std::size_t ahead,
                                          Instant now) const;

    /// Returns the retry delay of a request that is refused because of \a choice and would find
    /// room after \a delay if no caller were to return before it.
    Duration planReturn(const ServerChoiceInput &request, const ServerChoice &choice,
                        Duration delay, Duration timeLeft, double spread, Instant now);
    /// The same for a request of \a cost over the quota of \a account, of which this gateway may
    /// spend \a ratePerSecond. The delay states when there is credit even if no caller waits that
    /// long.
    Duration planQuotaReturn(const AccountId &account, Duration delay, double cost,
                             double ratePerSecond, Duration timeLeft, double spread, Instant now);

private:
    struct MissingModel
    {
        Instant loadBeginsAt; ///< When its load is expected to begin or have begun.
        Instant lastMissedAt;
        Duration loadTime{0};
        bool isStoredLocally = false;
    };
    /// The servers that have a model, or all of a plain service.
    struct Pool
    {
        std::optional<Duration> slotInterval; ///< Between two slots that this gateway gets.
        Instant nextReturnAt; ///< From when on a further refused caller finds a slot.
    };
    using PoolKey = std::pair<ServiceName, ModelName>;
    using AdapterKey = std::pair<ModelName, AdapterName>;

    void recordMissingModel(const ServerChoiceInput &request, bool isStoredLocally, Instant now);
    std::optional<Duration> timeUntilModel(const ModelName &model, Instant now) const;
    std::optional<Duration> timeUntilAdapter(const RequestMetadata &metadata, Instant now) const;
    void recordFullServers(const ServerChoiceInput &request, const ServerDirectory &directory);
    static Duration planReturn(Instant &nextReturnAt, Duration delay, Duration interval,
                               Duration timeLeft, double spread, Instant now);
    void updateMean(std::optional<Duration> &mean, Duration observed) const;

    const Settings m_settings;
    std::size_t m_gateways = 1; // this one included, each with about the same waiting requests
    std::map<ModelName, MissingModel> m_missingModels;
    std::map<AdapterKey, Instant> m_missingAdapters; // since when requests have lacked them
    std::map<AdapterKey, Instant> m_adapterRefusedAt;
    std::optional<Duration> m_meanAdapterLoad;
    std::map<ServiceName, std::optional<Duration>> m_meanRuns;
    std::map<PoolKey, Pool> m_fullPools;
    std::map<AccountId, Instant> m_nextQuotaReturns;
};

} // namespace quetzalyoke

#endif
