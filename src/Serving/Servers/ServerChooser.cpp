#include "Serving/Servers/ServerChooser.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Share of an engine's KV cache assumed to hold cached prefixes; running requests take the rest.
constexpr double prefixCacheShare = 0.5;

// A server that fails far more often than the others is used only if all others are worse.
constexpr Duration failurePenalty = std::chrono::seconds(10);

// Servers whose expected times differ by less than this are ranked by rendezvous hashing, so that
// gateways which don't know each other's prompts send the same prefixes to the same server.
constexpr Duration tieWindow = std::chrono::milliseconds(8);

std::uint64_t rendezvousHash(const ServerName &server, std::uint64_t sharedHash)
{
    const std::uint64_t x
        = std::hash<std::string>()(server.text()) ^ (sharedHash * 0x9e3779b97f4a7c15ULL);
    return (x ^ (x >> 29)) * 0xbf58476d1ce4e5b9ULL;
}

// Returns the hash of all parts but the last, which is not shared with other requests.
std::uint64_t sharedPrefixHash(const std::vector<std::uint64_t> &prefixHashes)
{
    if (prefixHashes.size() < 2)
        return 0;
    return prefixHashes[prefixHashes.size() - 2];
}

// The mean over many servers changes slowly compared with the share of one server.
constexpr Duration meanFailureShareLifetime = std::chrono::milliseconds(100);

bool hasRequiredVersion(const ServerChoiceInput &request, const ServerState &state)
{
    if (!request.softwareVersion)
        return true;
    return !state.listed.softwareVersion.isEmpty()
        && state.listed.softwareVersion == *request.softwareVersion;
}

bool acceptsRequest(const ServerChoiceInput &request, const ServerState &state)
{
    return hasRequiredVersion(request, state) && state.listed.service == request.service->name
        && !state.listed.isLeaving && request.triedServers.count(state.listed.id) == 0;
}

Duration milliseconds(double count)
{
    return Duration(static_cast<std::int64_t>(count * 1000));
}

} // namespace

const char *serverChoiceOutcomeText(ServerChoice::Outcome outcome)
{
    switch (outcome) {
    case ServerChoice::Outcome::Chosen:
        return "chosen";
    case ServerChoice::Outcome::NoServer:
        return "no_server";
    case ServerChoice::Outcome::NoModel:
        return "no_model";
    case ServerChoice::Outcome::NoAdapter:
        return "no_adapter";
    case ServerChoice::Outcome::AllFull:
        return "full";
    case ServerChoice::Outcome::AllPaused:
        return "paused";
    case ServerChoice::Outcome::AllLimited:
        return "limited";
    }
    return "unknown";
}

bool ServerChooser::hasServer(const ServerChoiceInput &request,
                              const ServerDirectory &directory) const
{
    const ServerDirectory::ServerSet &all = directory.serversOfService(request.service->name);
    return std::any_of(all.begin(), all.end(),
                       [&request](const ServerState *it) { return acceptsRequest(request, *it); });
}

ServerChoice ServerChooser::choose(const ServerChoiceInput &request,
                                   const ServerDirectory &directory, Instant now)
{
    const bool needsModel = request.service->engine && !request.metadata->model.isEmpty();
    const ServerDirectory::ServerSet &servers = needsModel
        ? directory.serversWithModel(request.metadata->model)
        : directory.serversOfService(request.service->name);
    const double mean = meanFailureShare(request.service->name, directory, now);
    const std::uint64_t sharedHash = sharedPrefixHash(*request.prefixHashes);
    Candidate best;
    std::uint64_t bestRank = 0;
    bool anyModel = false;
    bool anyAdapter = false;
    bool anyFull = false;
    bool anyLimited = false;
    std::optional<Instant> resumeAt;
    const auto addResumeTime
        = [&resumeAt](Instant at) { resumeAt = std::min(resumeAt.value_or(at), at); };
    for (const ServerState *state : servers) {
        if (!acceptsRequest(request, *state))
            continue;
        anyModel = true;
        if (needsModel && !state->hasLoaded(request.metadata->model, request.metadata->adapter))
            continue;
        anyAdapter = true;
        if (state->health.isAvoided(now))
            continue;
        if (state->isPaused(now)) {
            addResumeTime(state->pausedUntil);
            continue;
        }
        const auto permits = state->isLimited() ? state->permits.availability(now)
                                                : RequestPermits::Availability::Available;
        if (permits == RequestPermits::Availability::Exhausted) {
            anyLimited = true;
            addResumeTime(state->permits.exhaustedUntil());
            continue;
        }
        Candidate candidate = evaluate(request, *state, now);
        candidate.needsPermit = permits == RequestPermits::Availability::Requestable;
        if (isFull(request, *state, candidate, now)) {
            anyFull = true;
            continue;
        }
        if (now < state->peerPausedUntil)
            candidate.expectedTimeToFirstByte += m_settings.peerPausePenalty;
        if (state->health.failureShare() > mean + m_settings.failureShareMargin)
            candidate.expectedTimeToFirstByte += failurePenalty;
        const std::uint64_t rank = rendezvousHash(state->listed.id, sharedHash);
        const bool isTie = best.state
            && candidate.expectedTimeToFirstByte < best.expectedTimeToFirstByte + tieWindow
            && best.expectedTimeToFirstByte < candidate.expectedTimeToFirstByte + tieWindow;
        const bool isBetter = !best.state
            || (isTie ? rank > bestRank
                      : candidate.expectedTimeToFirstByte < best.expectedTimeToFirstByte);
        if (!isBetter)
            continue;
        best = candidate;
        bestRank = rank;
    }
    ServerChoice choice;
    const bool isSlow = !best.state || best.expectedTimeToFirstByte > m_settings.adapterReplicaGain;
    if (anyAdapter && needsModel && !request.metadata->adapter.isEmpty() && isSlow)
        choice.adapterReplicaServer = findAdapterReplicaServer(request, servers, best, now);
    if (best.state) {
        choice.outcome = ServerChoice::Outcome::Chosen;
        choice.server = best.state->listed.id;
        choice.expectedTimeToFirstByte = best.expectedTimeToFirstByte;
        choice.usualTimeToFirstByte = best.usualTimeToFirstByte;
        choice.pace = best.pace;
        choice.prefillTokens = best.prefillTokens;
        choice.kvCacheTokens = best.kvCacheTokens;
        choice.needsPermit = best.needsPermit;
        return choice;
    }
    const ServerDirectory::ServerSet &all = directory.serversOfService(request.service->name);
    if (!hasServer(request, directory))
        choice.outcome = ServerChoice::Outcome::NoServer;
    else if (needsModel && !anyModel) {
        choice.outcome = ServerChoice::Outcome::NoModel;
        choice.isModelStoredLocally
            = std::any_of(all.begin(), all.end(), [&](const ServerState *it) {
                  return acceptsRequest(request, *it)
                      && it->listed.locallyStoredModels.count(request.metadata->model) > 0;
              });
    } else if (needsModel && !anyAdapter)
        choice.outcome = ServerChoice::Outcome::NoAdapter;
    else if (resumeAt && !anyFull) {
        choice.outcome
            = anyLimited ? ServerChoice::Outcome::AllLimited : ServerChoice::Outcome::AllPaused;
        choice.timeUntilResume = *resumeAt - now;
    } else
        choice.outcome = ServerChoice::Outcome::AllFull;
    return choice;
}

// \a best is the fastest server that has the adapter loaded; its state is null if none has room.
ServerName ServerChooser::findAdapterReplicaServer(const ServerChoiceInput &request,
                                                   const ServerDirectory::ServerSet &servers,
                                                   const Candidate &best, Instant now) const
{
    Candidate fastest;
    for (const ServerState *state : servers) {
        if (!acceptsRequest(request, *state) || state->health.isAvoided(now) || state->isPaused(now)
            || state->isLimited()
            || state->hasLoaded(request.metadata->model, request.metadata->adapter))
            continue;
        const Candidate candidate = evaluate(request, *state, now);
        if (isFull(request, *state, candidate, now))
            continue;
        if (!fastest.state || candidate.expectedTimeToFirstByte < fastest.expectedTimeToFirstByte)
            fastest = candidate;
    }
    if (!fastest.state
        || (best.state
            && fastest.expectedTimeToFirstByte + m_settings.adapterReplicaGain
                > best.expectedTimeToFirstByte))
        return {};
    return fastest.state->listed.id;
}

ServerChooser::Candidate ServerChooser::evaluate(const ServerChoiceInput &request,
                                                 const ServerState &state, Instant now) const
{
    Candidate candidate;
    candidate.state = &state;
    const ServerWork work = state.totalWork();
    if (request.service->engine) {
        const RequestMetadata &metadata = *request.metadata;
        const auto prefixCache = m_prefixCaches.find(state.listed.id);
        const std::int64_t cached = prefixCache == m_prefixCaches.end()
            ? 0
            : prefixCache->second.cachedTokens(metadata, *request.prefixHashes);
        candidate.prefillTokens = std::max<std::int64_t>(0, metadata.promptTokens.count() - cached);
        candidate.kvCacheTokens = candidate.prefillTokens + metadata.maxOutputTokens.count();
        const double queued = static_cast<double>(work.prefillTokens + candidate.prefillTokens);
        candidate.expectedTimeToFirstByte = milliseconds(queued / m_settings.prefillTokensPerMs);
    } else {
        const double requestsPerSlot = state.estimatedRequests(now) / state.listed.slots;
        candidate.expectedTimeToFirstByte
            = milliseconds(static_cast<double>(m_settings.defaultRequestDuration.count()) / 1000
                           * (1 + requestsPerSlot));
    }
    candidate.pace = state.pace.factor(now);
    const double factor = state.health.latencyRatio() * candidate.pace;
    candidate.expectedTimeToFirstByte = scaled(candidate.expectedTimeToFirstByte, factor);
    if (state.listed.zone != m_zone)
        candidate.expectedTimeToFirstByte += m_settings.otherZonePenalty;
    candidate.usualTimeToFirstByte = scaled(candidate.expectedTimeToFirstByte, 1 / factor);
    return candidate;
}

bool ServerChooser::isFull(const ServerChoiceInput &request, const ServerState &state,
                           const Candidate &candidate, Instant now) const
{
    const ServerWork work = state.totalWork();
    if (!request.service->engine)
        return state.estimatedRequests(now) >= state.listed.slots + m_settings.maxQueuedPerServer;
    if (work.requestsInFlight >= state.listed.slots)
        return true;
    const double maxTokens
        = m_settings.maxKvCacheShare * static_cast<double>(request.service->engine->kvCacheTokens);
    return work.requestsInFlight > 0
        && static_cast<double>(work.kvCacheTokens + candidate.kvCacheTokens) > maxTokens;
}

double ServerChooser::meanFailureShare(const ServiceName &service, const ServerDirectory &directory,
                                       Instant now)
{
    MeanFailureShare &mean = m_meanFailureShares[service];
    if (mean.until > now)
        return mean.failureShare;
    const ServerDirectory::ServerSet &servers = directory.serversOfService(service);
    double sum = 0;
    for (const ServerState *it : servers)
        sum += it->health.failureShare();
    const double count = static_cast<double>(servers.size());
    mean = {count == 0 ? 0 : sum / count, now + meanFailureShareLifetime};
    return mean.failureShare;
}

void ServerChooser::recordRequestSent(const ServerName &server, const ServerChoiceInput &request)
{
    if (!request.service->engine || request.prefixHashes->empty())
        return;
    const auto capacity = static_cast<std::int64_t>(
        prefixCacheShare * static_cast<double>(request.service->engine->kvCacheTokens));
    auto &prefixCache = m_prefixCaches.try_emplace(server, capacity).first->second;
    prefixCache.recordPrompt(*request.metadata, *request.prefixHashes);
}

} // namespace quetzalyoke
