#include "Serving/Servers/ServerChooser.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Half of an engine's memory for cached beginnings: running requests take the rest.
constexpr double cachedShareOfMemory = 0.5;

// A server that fails far more often than its siblings is used only if all others are worse.
constexpr Duration failingPenalty = std::chrono::seconds(10);

// Ties are broken by rendezvous hashing, so that gateways which don't know each other's
// prompts send the same beginnings to the same server.
constexpr Duration tieWindow = std::chrono::milliseconds(8);

std::uint64_t rendezvous(const ServerName &server, std::uint64_t key)
{
    const std::uint64_t x = std::hash<std::string>()(server.text()) ^ (key * 0x9e3779b97f4a7c15ULL);
    return (x ^ (x >> 29)) * 0xbf58476d1ce4e5b9ULL;
}

// The beginning that several requests share: all parts but the last, which is the request's own.
std::uint64_t sharedKey(const std::vector<std::uint64_t> &chain)
{
    if (chain.size() < 2)
        return 0;
    return chain[chain.size() - 2];
}

// The mean of many servers changes slowly beside one server's own share.
constexpr Duration meanLifetime = std::chrono::milliseconds(100);

bool takesWork(const PlacementRequest &request, const ServerState &state)
{
    return state.listed.service == request.service->name && !state.listed.isLeaving
        && request.excluded.count(state.listed.id) == 0;
}

Duration milliseconds(double count)
{
    return Duration(static_cast<std::int64_t>(count * 1000));
}

} // namespace

const char *outcomeText(PlacementChoice::Outcome outcome)
{
    switch (outcome) {
    case PlacementChoice::Outcome::Chosen:
        return "chosen";
    case PlacementChoice::Outcome::NoServer:
        return "no_server";
    case PlacementChoice::Outcome::NoModel:
        return "no_model";
    case PlacementChoice::Outcome::NoAdapter:
        return "no_adapter";
    case PlacementChoice::Outcome::Full:
        return "full";
    case PlacementChoice::Outcome::Paused:
        return "paused";
    }
    return "unknown";
}

PlacementChoice ServerChooser::choose(const PlacementRequest &request, const ServerBook &book,
                                      Instant now)
{
    const bool needsModel = request.service->engine && !request.call->model.isEmpty();
    const ServerBook::Group &group
        = needsModel ? book.holding(request.call->model) : book.serving(request.service->name);
    const double mean = meanFailureShare(request.service->name, book, now);
    const std::uint64_t key = sharedKey(*request.chain);
    Candidate best;
    std::uint64_t bestRank = 0;
    bool anyModel = false;
    bool anyAdapter = false;
    bool anyFull = false;
    std::optional<Instant> pauseEnd;
    for (const ServerState *state : group) {
        if (!takesWork(request, *state))
            continue;
        anyModel = true;
        if (needsModel && !state->holds(request.call->model, request.call->adapter))
            continue;
        anyAdapter = true;
        if (state->health.isAvoided(now))
            continue;
        if (state->isPaused(now)) {
            pauseEnd = std::min(pauseEnd.value_or(state->pausedUntil), state->pausedUntil);
            continue;
        }
        Candidate candidate = weigh(request, *state, now);
        if (isFull(request, *state, candidate, now)) {
            anyFull = true;
            continue;
        }
        if (now < state->peerPausedUntil)
            candidate.expected += m_settings.peerPausePenalty;
        if (state->health.failureShare() > mean + m_settings.failureMargin)
            candidate.expected += failingPenalty;
        const std::uint64_t rank = rendezvous(state->listed.id, key);
        const bool isTie = best.state && candidate.expected < best.expected + tieWindow
            && best.expected < candidate.expected + tieWindow;
        const bool isBetter
            = !best.state || (isTie ? rank > bestRank : candidate.expected < best.expected);
        if (!isBetter)
            continue;
        best = candidate;
        bestRank = rank;
    }
    PlacementChoice choice;
    const bool isPressed = !best.state || best.expected > m_settings.reliefGain;
    if (anyAdapter && needsModel && !request.call->adapter.isEmpty() && isPressed)
        choice.relief = reliefFor(request, group, best, now);
    if (best.state) {
        choice.outcome = PlacementChoice::Outcome::Chosen;
        choice.server = best.state->listed.id;
        choice.expectedFirst = best.expected;
        choice.prefillTokens = best.prefill;
        choice.memoryTokens = best.memory;
        return choice;
    }
    const ServerBook::Group &all = book.serving(request.service->name);
    if (std::none_of(all.begin(), all.end(),
                     [&](const ServerState *it) { return takesWork(request, *it); }))
        choice.outcome = PlacementChoice::Outcome::NoServer;
    else if (needsModel && !anyModel) {
        choice.outcome = PlacementChoice::Outcome::NoModel;
        choice.isAtHand = std::any_of(all.begin(), all.end(), [&](const ServerState *it) {
            return takesWork(request, *it) && it->listed.atHand.count(request.call->model) > 0;
        });
    } else if (needsModel && !anyAdapter)
        choice.outcome = PlacementChoice::Outcome::NoAdapter;
    else if (pauseEnd && !anyFull) {
        choice.outcome = PlacementChoice::Outcome::Paused;
        choice.pause = *pauseEnd - now;
    } else
        choice.outcome = PlacementChoice::Outcome::Full;
    return choice;
}

// \a best is the fastest server that holds the adapter, if one has room.
ServerName ServerChooser::reliefFor(const PlacementRequest &request, const ServerBook::Group &group,
                                    const Candidate &best, Instant now) const
{
    Candidate fastest;
    for (const ServerState *state : group) {
        if (!takesWork(request, *state) || state->health.isAvoided(now) || state->isPaused(now)
            || state->holds(request.call->model, request.call->adapter))
            continue;
        const Candidate candidate = weigh(request, *state, now);
        if (isFull(request, *state, candidate, now))
            continue;
        if (!fastest.state || candidate.expected < fastest.expected)
            fastest = candidate;
    }
    if (!fastest.state || (best.state && fastest.expected + m_settings.reliefGain > best.expected))
        return {};
    return fastest.state->listed.id;
}

ServerChooser::Candidate ServerChooser::weigh(const PlacementRequest &request,
                                              const ServerState &state, Instant now) const
{
    Candidate candidate;
    candidate.state = &state;
    const ServerWork work = state.total();
    if (request.service->engine) {
        const CallDescription &call = *request.call;
        const auto book = m_prefixes.find(state.listed.id);
        const std::int64_t cached
            = book == m_prefixes.end() ? 0 : book->second.cachedTokens(call, *request.chain);
        candidate.prefill = std::max<std::int64_t>(0, call.promptTokens.count() - cached);
        candidate.memory = candidate.prefill + call.outputTokens.count();
        const double queued = static_cast<double>(work.prefillTokens + candidate.prefill);
        candidate.expected = milliseconds(queued / m_settings.prefillTokensPerMs);
    } else {
        const double inLine = state.plainLoad(now) / state.listed.slots;
        candidate.expected
            = milliseconds(static_cast<double>(m_settings.plainWork.count()) / 1000 * (1 + inLine));
    }
    candidate.expected = Duration(static_cast<std::int64_t>(
        static_cast<double>(candidate.expected.count()) * state.health.slowness()));
    if (state.listed.zone != m_zone)
        candidate.expected += m_settings.farZone;
    return candidate;
}

bool ServerChooser::isFull(const PlacementRequest &request, const ServerState &state,
                           const Candidate &candidate, Instant now) const
{
    const ServerWork work = state.total();
    if (!request.service->engine)
        return state.plainLoad(now) >= state.listed.slots + m_settings.queuedPerServer;
    if (work.running >= state.listed.slots)
        return true;
    const double room
        = m_settings.memoryShare * static_cast<double>(request.service->engine->memoryTokens);
    return work.running > 0 && static_cast<double>(work.memoryTokens + candidate.memory) > room;
}

double ServerChooser::meanFailureShare(const ServiceName &service, const ServerBook &book,
                                       Instant now)
{
    Mean &mean = m_means[service];
    if (mean.until > now)
        return mean.failureShare;
    const ServerBook::Group &servers = book.serving(service);
    double sum = 0;
    for (const ServerState *it : servers)
        sum += it->health.failureShare();
    const double count = static_cast<double>(servers.size());
    mean = {count == 0 ? 0 : sum / count, now + meanLifetime};
    return mean.failureShare;
}

void ServerChooser::noteSent(const ServerName &server, const PlacementRequest &request)
{
    if (!request.service->engine || request.chain->empty())
        return;
    const auto capacity = static_cast<std::int64_t>(
        cachedShareOfMemory * static_cast<double>(request.service->engine->memoryTokens));
    auto &book = m_prefixes.try_emplace(server, capacity).first->second;
    book.add(*request.call, *request.chain);
}

} // namespace quetzalyoke
