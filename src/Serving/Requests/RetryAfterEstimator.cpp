#include "Serving/Requests/RetryAfterEstimator.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// An adapter for which a request has waited in vain is not expected for this long: the engines that
// have its model are busy with an order, such as the load of another model.
constexpr Duration adapterRefusalRetention = std::chrono::seconds(2);

// Models and adapters are named by callers.
constexpr std::size_t maxRecords = 4'096;

// Callers state any number of prompt tokens.
constexpr double maxPromptSeconds = 3'600;

// Callers state any cost, and an account may have next to no rate.
constexpr double maxQuotaIntervalSeconds = 3'600;

// Share of the latest time at which a caller returns over which callers are spread that would all
// return then.
constexpr double spreadOfLatestReturns = 0.1;

bool namesAdapter(const RequestMetadata &metadata)
{
    return !metadata.model.isEmpty() && !metadata.adapter.isEmpty();
}

} // namespace

Duration boundedRetryAfter(Duration delay, Duration timeLeft, double spread)
{
    const Duration maxDelay = scaled(timeLeft, maxRetryAfterShare);
    const Duration bounded = std::max(delay, minRetryAfter);
    if (bounded >= maxDelay)
        return std::max(minRetryAfter, scaled(maxDelay, 1 - spread * spreadOfLatestReturns));
    return bounded + scaled(std::min(bounded / 2, maxDelay - bounded), spread);
}

void RetryAfterEstimator::updateMean(std::optional<Duration> &mean, Duration observed) const
{
    mean = mean ? *mean + scaled(observed - *mean, m_settings.meanWeight) : observed;
}

void RetryAfterEstimator::recordChoice(const ServerChoiceInput &request, const ServerChoice &choice,
                                       Duration waited, const ServerDirectory &directory,
                                       std::size_t gateways, Instant now)
{
    const RequestMetadata &metadata = *request.metadata;
    m_gateways = std::max<std::size_t>(1, gateways);
    if (choice.outcome == ServerChoice::Outcome::AllFull)
        recordFullServers(request, directory);
    if (!request.service->engine || metadata.model.isEmpty()
        || choice.outcome == ServerChoice::Outcome::NoServer)
        return;
    // The request may exclude the servers that have the model, such as one that has just turned it
    // down.
    const ServerDirectory::ServerSet &servers = directory.serversWithModel(metadata.model);
    const bool isLoaded = std::any_of(servers.begin(), servers.end(),
                                      [](const ServerState *it) { return !it->listed.isLeaving; });
    if (choice.outcome == ServerChoice::Outcome::NoModel && !isLoaded) {
        recordMissingModel(request, choice.isModelStoredLocally, now);
        return;
    }
    m_missingModels.erase(metadata.model);
    if (choice.outcome == ServerChoice::Outcome::NoModel)
        return;
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
                                                           std::size_t ahead, Instant now) const
{
    switch (choice.outcome) {
    case ServerChoice::Outcome::NoModel: {
        // Once the model is loaded, its engine processes the prompts that wait for it.
        const double tokens = static_cast<double>(ahead * m_gateways + 1)
            * static_cast<double>(request.metadata->promptTokens.count());
        const double seconds
            = std::min(maxPromptSeconds, tokens / m_settings.prefillTokensPerMs / 1000);
        const auto loaded = timeUntilModel(request.metadata->model, now);
        if (!loaded)
            return {};
        return *loaded + Duration(static_cast<std::int64_t>(seconds * 1e6));
    }
    case ServerChoice::Outcome::NoAdapter:
        return timeUntilAdapter(*request.metadata, now);
    case ServerChoice::Outcome::AllFull: {
        const auto pool = m_fullPools.find({request.service->name, request.metadata->model});
        if (pool == m_fullPools.end() || !pool->second.slotInterval)
            return {};
        return scaled(*pool->second.slotInterval, static_cast<double>(ahead + 1));
    }
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
void RetryAfterEstimator::recordFullServers(const ServerChoiceInput &request,
                                            const ServerDirectory &directory)
{
    const auto mean = m_meanRuns.find(request.service->name);
    if (mean == m_meanRuns.end() || !mean->second)
        return;
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
    const double equal = total / static_cast<double>(m_gateways);
    const double running = std::max(own, equal);
    if (running <= 0 || m_fullPools.size() >= maxRecords)
        return;
    m_fullPools[{request.service->name, request.metadata->model}].slotInterval
        = scaled(*mean->second, 1 / running);
}

Duration RetryAfterEstimator::planReturn(const ServerChoiceInput &request,
                                         const ServerChoice &choice, Duration delay,
                                         Duration timeLeft, double spread, Instant now)
{
    const auto pool = m_fullPools.find({request.service->name, request.metadata->model});
    if (choice.outcome != ServerChoice::Outcome::AllFull || pool == m_fullPools.end()
        || !pool->second.slotInterval)
        return delay;
    return planReturn(pool->second.nextReturnAt, delay, *pool->second.slotInterval, timeLeft,
                      spread, now);
}

Duration RetryAfterEstimator::planQuotaReturn(const AccountId &account, Duration delay, double cost,
                                              double ratePerSecond, Duration timeLeft,
                                              double spread, Instant now)
{
    if (delay > scaled(timeLeft, maxRetryAfterShare))
        return delay + scaled(delay / 2, spread);
    const double interval = ratePerSecond > 0
        ? std::min(maxQuotaIntervalSeconds, cost / ratePerSecond)
        : maxQuotaIntervalSeconds;
    return planReturn(m_nextQuotaReturns[account], std::max(minRetryAfter, delay),
                      Duration(static_cast<std::int64_t>(interval * 1e6)), timeLeft, spread, now);
}

// Callers that can't return as late as there is room for them are spread over the time until then;
// the room may come earlier because others don't return.
Duration RetryAfterEstimator::planReturn(Instant &nextReturnAt, Duration delay, Duration interval,
                                         Duration timeLeft, double spread, Instant now)
{
    const Duration maxDelay = scaled(timeLeft, maxRetryAfterShare);
    const Duration planned = std::max(delay, nextReturnAt - now);
    if (planned > maxDelay)
        return delay + scaled(std::max(Duration::zero(), maxDelay - delay), spread);
    nextReturnAt = now + planned + interval;
    return planned;
}

} // namespace quetzalyoke
