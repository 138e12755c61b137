#include "Serving/Servers/ServerChooser.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// A server that fails far more often than the others is used only if all others are worse.
constexpr Duration failurePenalty = std::chrono::seconds(10);

// Plain servers whose expected times differ by less than this are ranked by a hash.
constexpr Duration plainTieWindow = std::chrono::milliseconds(8);

// Engines whose costs differ by less than this, or by this share, are taken to be equally good:
// what peers sent in the last 400 ms is not known, which is up to one long prompt.
constexpr Duration engineTieWindow = std::chrono::milliseconds(15);
constexpr double engineTieShare = 0.1;

// The mean over many servers changes slowly compared with the share of one server.
constexpr Duration meanFailureShareLifetime = std::chrono::milliseconds(100);

// Rank of a plain server among those whose expected times hardly differ.
std::uint64_t plainServerRank(const ServerName &server)
{
    const std::uint64_t x = std::hash<std::string>()(server.text());
    return (x ^ (x >> 29)) * 0xbf58476d1ce4e5b9ULL;
}

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
        && !state.listed.isLeaving && !state.isEvacuated
        && request.triedServers.count(state.listed.id) == 0;
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
    case ServerChoice::Outcome::AllEvacuated:
        return "evacuated";
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

// Servers that were tried already count as well: one outside the evacuated zones may accept the
// request later.
bool ServerChooser::isEvacuated(const ServerChoiceInput &request,
                                const ServerDirectory &directory) const
{
    bool anyEvacuated = false;
    for (const ServerState *it : directory.serversOfService(request.service->name)) {
        if (!hasRequiredVersion(request, *it) || it->listed.isLeaving)
            continue;
        if (!it->isEvacuated)
            return false;
        anyEvacuated = true;
    }
    return anyEvacuated;
}

ServerChoice ServerChooser::choose(const ServerChoiceInput &request,
                                   const ServerDirectory &directory, Instant now)
{
    const bool needsModel = request.service->engine && !request.metadata->model.isEmpty();
    const ServerDirectory::ServerSet &servers = needsModel
        ? directory.serversWithModel(request.metadata->model)
        : directory.serversOfService(request.service->name);
    const double mean = meanFailureShare(request.service->name, directory, now);
    const HeldPrefixes held = heldPrefixes(request, servers, now);
    std::vector<Candidate> candidates;
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
        const auto permits = state->isLimited(now) ? state->permits.availability(now)
                                                   : RequestPermits::Availability::Available;
        if (permits == RequestPermits::Availability::Exhausted) {
            anyLimited = true;
            addResumeTime(state->permits.exhaustedUntil());
            continue;
        }
        Candidate candidate = evaluate(request, *state, held, now);
        candidate.needsPermit = permits == RequestPermits::Availability::Requestable;
        if (isFull(request, *state, candidate, now)) {
            anyFull = true;
            continue;
        }
        Duration penalty(0);
        if (now < state->peerPausedUntil)
            penalty += m_settings.peerPausePenalty;
        if (state->health.failureShare() > mean + m_settings.failureShareMargin)
            penalty += failurePenalty;
        candidate.expectedTimeToFirstByte += penalty;
        candidate.cost += penalty;
        candidates.push_back(candidate);
    }
    Candidate best;
    if (!candidates.empty())
        best = request.service->engine ? bestEngine(candidates, *request.metadata)
                                       : bestPlain(candidates);
    ServerChoice choice;
    const bool isSlow = !best.state || best.expectedTimeToFirstByte > m_settings.adapterReplicaGain;
    if (anyAdapter && needsModel && !request.metadata->adapter.isEmpty() && isSlow)
        choice.adapterReplicaServer = findAdapterReplicaServer(request, servers, best, now);
    if (best.state) {
        m_lastChoiceAt = now;
        if (request.service->engine) {
            PrefixCache &prefixCache = m_prefixCaches[best.state->listed.id];
            if (prefixCache.incarnation != best.state->listed.incarnation)
                prefixCache = {best.state->listed.incarnation, {}, {}};
            prefixCache.memory = memory(request, *best.state);
        }
        choice.outcome = ServerChoice::Outcome::Chosen;
        choice.server = best.state->listed.id;
        choice.expectedTimeToFirstByte = best.expectedTimeToFirstByte;
        choice.usualTimeToFirstByte = best.usualTimeToFirstByte;
        choice.pace = best.pace;
        choice.prefillTokens = best.prefillTokens;
        choice.cachedTokens = best.cachedTokens;
        choice.kvCacheTokens = best.kvCacheTokens;
        choice.needsPermit = best.needsPermit;
        return choice;
    }
    const ServerDirectory::ServerSet &all = directory.serversOfService(request.service->name);
    if (!hasServer(request, directory))
        choice.outcome = isEvacuated(request, directory) ? ServerChoice::Outcome::AllEvacuated
                                                         : ServerChoice::Outcome::NoServer;
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

const ServerChooser::Candidate &ServerChooser::bestPlain(const std::vector<Candidate> &candidates)
{
    const Candidate *best = nullptr;
    for (const Candidate &it : candidates) {
        const bool isTie = best && it.cost < best->cost + plainTieWindow
            && best->cost < it.cost + plainTieWindow;
        const bool isBetter = !best
            || (isTie
                    ? plainServerRank(it.state->listed.id) > plainServerRank(best->state->listed.id)
                    : it.cost < best->cost);
        if (isBetter)
            best = &it;
    }
    return *best;
}

// Equally good engines share the requests by weighted rendezvous hashing of the request's id. The
// weight falls with the number of requests there.
const ServerChooser::Candidate &ServerChooser::bestEngine(const std::vector<Candidate> &candidates,
                                                          const RequestMetadata &metadata)
{
    const auto fastest
        = std::min_element(candidates.begin(), candidates.end(),
                           [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    const Duration limit
        = fastest->cost + std::max(engineTieWindow, scaled(fastest->cost, engineTieShare));
    const std::uint64_t key = std::hash<RequestId>()(metadata.id);
    const Candidate *best = nullptr;
    double bestRank = 0;
    for (const Candidate &it : candidates) {
        if (it.cost > limit)
            continue;
        // Uniformly distributed between 0 and 1.
        const double hash
            = (static_cast<double>(PrefixHolders::rendezvousHash(it.state->listed.id, key) >> 11)
               + 0.5)
            / 0x1p53;
        const double rank = -std::log(hash) * (1 + it.requests);
        if (best && rank >= bestRank)
            continue;
        best = &it;
        bestRank = rank;
    }
    return *best;
}

// \a best is the fastest server that has the adapter loaded; its state is null if none has room.
ServerName ServerChooser::findAdapterReplicaServer(const ServerChoiceInput &request,
                                                   const ServerDirectory::ServerSet &servers,
                                                   const Candidate &best, Instant now) const
{
    Candidate fastest;
    for (const ServerState *state : servers) {
        if (!acceptsRequest(request, *state) || state->health.isAvoided(now) || state->isPaused(now)
            || state->isLimited(now)
            || state->hasLoaded(request.metadata->model, request.metadata->adapter))
            continue;
        const Candidate candidate = evaluate(request, *state, {}, now);
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

ServerChooser::HeldPrefixes ServerChooser::heldPrefixes(const ServerChoiceInput &request,
                                                        const ServerDirectory::ServerSet &servers,
                                                        Instant now) const
{
    HeldPrefixes heldPrefixes;
    if (!request.service->engine || request.prefixHashes->size() < 2)
        return heldPrefixes;
    // Independent of what is known here alone, such as failed attempts, so that gateways agree.
    std::vector<const ServerState *> states;
    std::vector<const ServerName *> names;
    for (const ServerState *it : servers) {
        if (it->listed.service != request.service->name || it->listed.isLeaving
            || !it->hasLoaded(request.metadata->model, request.metadata->adapter))
            continue;
        states.push_back(it);
        names.push_back(&it->listed.id);
    }
    const std::vector<HeldPrefix> found
        = m_prefixHolders.heldPrefixes(*request.metadata, *request.prefixHashes, names,
                                       request.gateways, m_settings.prefillTokensPerMs, now);
    for (std::size_t i = 0; i < states.size(); ++i) {
        if (found[i].parts > 0)
            heldPrefixes[states[i]] = found[i];
    }
    return heldPrefixes;
}

PrefixCacheEstimator::Memory ServerChooser::memory(const ServerChoiceInput &request,
                                                   const ServerState &state)
{
    return {request.service->engine->kvCacheTokens - state.totalWork().kvCacheTokens,
            state.peerTokensSent};
}

double ServerChooser::cachedTokens(const ServerChoiceInput &request, const ServerState &state,
                                   const HeldPrefixes &heldPrefixes, Instant now) const
{
    static const PrefixCacheEstimator unknown;
    const auto held = heldPrefixes.find(&state);
    const auto known = m_prefixCaches.find(state.listed.id);
    const bool isKnown
        = known != m_prefixCaches.end() && known->second.incarnation == state.listed.incarnation;
    const PrefixCacheEstimator &estimator = isKnown ? known->second.estimator : unknown;
    return estimator.cachedTokens(*request.metadata, *request.prefixHashes,
                                  held == heldPrefixes.end() ? HeldPrefix() : held->second,
                                  memory(request, state), now);
}

ServerChooser::Candidate ServerChooser::evaluate(const ServerChoiceInput &request,
                                                 const ServerState &state,
                                                 const HeldPrefixes &heldPrefixes,
                                                 Instant now) const
{
    Candidate candidate;
    candidate.state = &state;
    candidate.pace = state.pace.factor(now);
    const double factor = state.health.latencyRatio() * candidate.pace;
    const double slowness = state.isCold(now) ? factor * m_settings.coldSlowdown : factor;
    const Duration pathDelay
        = state.listed.zone == m_zone ? Duration(0) : m_settings.otherZonePenalty;
    if (request.service->engine) {
        const RequestMetadata &metadata = *request.metadata;
        candidate.cachedTokens
            = std::min(metadata.promptTokens.count(),
                       static_cast<std::int64_t>(cachedTokens(request, state, heldPrefixes, now)));
        candidate.prefillTokens = metadata.promptTokens.count() - candidate.cachedTokens;
        candidate.kvCacheTokens = candidate.prefillTokens + metadata.maxOutputTokens.count();
        FirstEventEstimator::Input input;
        input.promptTokens = static_cast<double>(candidate.prefillTokens);
        input.ownQueuedTokens = static_cast<double>(state.ownWork.prefillTokens);
        input.peerQueuedTokens = static_cast<double>(state.peerWork.prefillTokens);
        if (state.peerWorkAt != Instant())
            input.peerAge = now - state.peerWorkAt;
        input.ownRequests = state.ownWork.requestsInFlight;
        input.peerRequests = state.peerWork.requestsInFlight;
        input.statedRequests = state.loadEstimator.estimatedRequests(now);
        input.slots = state.listed.slots;
        input.slowness = slowness;
        input.pathDelay = pathDelay;
        input.eventGapObjective = request.eventGapObjective;
        const FirstEventEstimator::Estimate estimate = m_firstEventEstimator.estimate(input);
        candidate.expectedTimeToFirstByte = estimate.timeToFirstEvent;
        candidate.cost = estimate.gapCost;
        candidate.requests = estimate.requests;
    } else {
        const double requestsPerSlot = state.estimatedRequests(now) / state.listed.slots;
        candidate.expectedTimeToFirstByte
            = milliseconds(static_cast<double>(m_settings.defaultRequestDuration.count()) / 1000
                           * (1 + requestsPerSlot) * slowness)
            + pathDelay;
    }
    candidate.usualTimeToFirstByte = scaled(candidate.expectedTimeToFirstByte, 1 / factor);
    candidate.cost += candidate.expectedTimeToFirstByte;
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
    PrefixCache &prefixCache = m_prefixCaches[server];
    if (prefixCache.memory.availableTokens == 0)
        prefixCache.memory.availableTokens = request.service->engine->kvCacheTokens;
    prefixCache.estimator.recordPrompt(*request.metadata, *request.prefixHashes, prefixCache.memory,
                                       m_lastChoiceAt);
    m_prefixHolders.recordRequest(*request.metadata, *request.prefixHashes, m_lastChoiceAt);
}

} // namespace quetzalyoke
