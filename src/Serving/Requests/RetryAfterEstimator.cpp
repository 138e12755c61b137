#include "Serving/Requests/RetryAfterEstimator.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// An adapter for which a request has waited in vain is not expected for this long: the engines that
// have its model are busy with an order, such as the load of another model.
constexpr Duration adapterRefusalRetention = std::chrono::seconds(2);

// Models and adapters are named by callers.
constexpr std::size_t maxRecords = 4'096;

bool namesAdapter(const RequestMetadata &metadata)
{
    return !metadata.model.isEmpty() && !metadata.adapter.isEmpty();
}

} // namespace

void RetryAfterEstimator::updateMean(std::optional<Duration> &mean, Duration observed) const
{
    mean = mean ? *mean + scaled(observed - *mean, m_settings.meanWeight) : observed;
}

void RetryAfterEstimator::recordChoice(const ServerChoiceInput &request, const ServerChoice &choice,
                                       Duration waited, Instant now)
{
    const RequestMetadata &metadata = *request.metadata;
    if (!request.service->engine || metadata.model.isEmpty()
        || choice.outcome == ServerChoice::Outcome::NoServer)
        return;
    if (choice.outcome == ServerChoice::Outcome::NoModel) {
        recordMissingModel(request, choice.isModelStoredLocally, now);
        return;
    }
    m_missingModels.erase(metadata.model);
    if (!namesAdapter(metadata))
        return;
    const AdapterKey key(metadata.model, metadata.adapter);
    if (choice.outcome == ServerChoice::Outcome::NoAdapter) {
        std::erase_if(m_missingAdapters, [now](const auto &entry) {
            return now - entry.second > adapterRefusalRetention;
        });
        if (m_missingAdapters.size() < maxRecords)
            m_missingAdapters.try_emplace(key, now);
        return;
    }
    const auto it = m_missingAdapters.find(key);
    if (it == m_missingAdapters.end())
        return;
    // A request that arrives long after the adapter was loaded doesn't show when it was.
    if (waited > Duration::zero())
        updateMean(m_meanAdapterLoad, std::min(waited, now - it->second));
    m_missingAdapters.erase(it);
    m_adapterRefusedAt.erase(key);
}

// The loads from the weight store run one after the other at its rate.
void RetryAfterEstimator::recordMissingModel(const ServerChoiceInput &request, bool isStoredLocally,
                                             Instant now)
{
    const EngineSpec &engine = *request.service->engine;
    const auto spec = engine.models.find(request.metadata->model);
    if (spec == engine.models.end())
        return;
    std::erase_if(m_missingModels, [&](const auto &entry) {
        return now - entry.second.lastMissedAt > m_settings.missingModelRetention;
    });
    const Duration loadTime = isStoredLocally
        ? spec->second.localLoadTime + m_settings.localLoadPreparation
        : Duration(spec->second.weightStoreLoadTime);
    const auto [it, isNew] = m_missingModels.try_emplace(request.metadata->model);
    MissingModel &missing = it->second;
    missing.lastMissedAt = now;
    const Duration maxTime = scaled(missing.loadTime, 1 + m_settings.maxOverdueShare);
    const bool isFailed = !isNew && now > missing.loadBeginsAt + maxTime;
    if (!isNew && !isFailed && missing.isStoredLocally == isStoredLocally)
        return;
    missing.isStoredLocally = isStoredLocally;
    missing.loadTime = loadTime;
    missing.loadBeginsAt = now;
    if (isStoredLocally || engine.loadsPerSecond <= 0)
        return;
    std::int64_t loadsBefore = 0;
    for (const auto &[model, other] : m_missingModels) {
        if (model != request.metadata->model && !other.isStoredLocally
            && engine.models.count(model) > 0)
            ++loadsBefore;
    }
    missing.loadBeginsAt += Duration(static_cast<std::int64_t>(
        static_cast<double>(loadsBefore) * 1'000'000 / engine.loadsPerSecond));
}

void RetryAfterEstimator::recordEnd(const ServiceName &service, Duration duration)
{
    updateMean(m_meanRuns[service], duration);
}

void RetryAfterEstimator::recordAdapterRefusal(const RequestMetadata &metadata, Instant now)
{
    std::erase_if(m_adapterRefusedAt, [now](const auto &entry) {
        return now - entry.second > adapterRefusalRetention;
    });
    if (namesAdapter(metadata) && m_adapterRefusedAt.size() < maxRecords)
        m_adapterRefusedAt.insert_or_assign(AdapterKey(metadata.model, metadata.adapter), now);
}

std::optional<Duration> RetryAfterEstimator::timeUntilRoom(const ServerChoiceInput &request,
                                                           const ServerChoice &choice,
                                                           const ServerDirectory &directory,
                                                           std::size_t ahead, std::size_t gateways,
                                                           Instant now) const
{
    switch (choice.outcome) {
    case ServerChoice::Outcome::NoModel:
        return timeUntilModel(request.metadata->model, now);
    case ServerChoice::Outcome::NoAdapter:
        return timeUntilAdapter(*request.metadata, now);
    case ServerChoice::Outcome::AllFull:
        return timeUntilSlot(request, directory, ahead, gateways);
    case ServerChoice::Outcome::AllPaused:
    case ServerChoice::Outcome::AllLimited:
        return choice.timeUntilResume;
    case ServerChoice::Outcome::Chosen:
    case ServerChoice::Outcome::NoServer:
        break;
    }
    return {};
}

std::optional<Duration> RetryAfterEstimator::timeUntilModel(const ModelName &model,
                                                            Instant now) const
{
    const auto it = m_missingModels.find(model);
    if (it == m_missingModels.end())
        return {};
    return std::max(Duration::zero(), it->second.loadBeginsAt + it->second.loadTime - now);
}

std::optional<Duration> RetryAfterEstimator::timeUntilAdapter(const RequestMetadata &metadata,
                                                              Instant now) const
{
    const auto refused = m_adapterRefusedAt.find({metadata.model, metadata.adapter});
    if (refused != m_adapterRefusedAt.end() && now - refused->second <= adapterRefusalRetention)
        return adapterRefusalRetention;
    return m_meanAdapterLoad;
}

// By Little's law, N running requests that take D on average end at N/D per second. This gateway
// gets the share of the freed slots that it has of the running requests, or at least its equal
// share.
std::optional<Duration> RetryAfterEstimator::timeUntilSlot(const ServerChoiceInput &request,
                                                           const ServerDirectory &directory,
                                                           std::size_t ahead,
                                                           std::size_t gateways) const
{
    const auto mean = m_meanRuns.find(request.service->name);
    if (mean == m_meanRuns.end() || !mean->second)
        return {};
    const bool needsModel = request.service->engine && !request.metadata->model.isEmpty();
    const ServerDirectory::ServerSet &servers = needsModel
        ? directory.serversWithModel(request.metadata->model)
        : directory.serversOfService(request.service->name);
    double own = 0;
    double total = 0;
    for (const ServerState *server : servers) {
        own += server->ownWork.requestsInFlight;
        total += server->totalWork().requestsInFlight;
    }
    const double equal = total / static_cast<double>(std::max<std::size_t>(1, gateways));
    const double running = std::max(own, equal);
    if (running <= 0)
        return {};
    return scaled(*mean->second, static_cast<double>(ahead + 1) / running);
}

} // namespace quetzalyoke
