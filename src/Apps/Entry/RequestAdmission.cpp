#include "Apps/Entry/RequestAdmission.h"

#include "Adapters/StructuredLog.h"

#include <xxhash.h>

namespace quetzalyoke {

namespace {

// One in this many requests that share a part of their prompts has the engine compute that part;
// the others find it in the KV cache.
constexpr std::int64_t requestsPerSharedPartPrefill = 4;

// Callers choose the number of parts; prompts have a few.
constexpr std::size_t maxSuspectParts = 32;

// Time that a gateway that has just started needs to read the configuration.
constexpr Duration startupTime = std::chrono::milliseconds(500);

// Number of route priorities. An account's priority takes precedence over a route's; together they
// cover the servers' range of 0 to 9.
constexpr int routePriorityCount = 3;

// Requests are the same if their account, target and body are; many have no body.
Fingerprint fingerprintOf(const AccountId &account, const HttpRequest &request)
{
    XXH64_state_t *state = XXH64_createState();
    XXH64_reset(state, 0);
    for (const std::string *text : {&account.text(), &request.target, &request.body}) {
        const std::uint64_t size = text->size();
        XXH64_update(state, &size, sizeof(size));
        XXH64_update(state, text->data(), text->size());
    }
    const std::uint64_t digest = XXH64_digest(state);
    XXH64_freeState(state);
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(digest));
    return Fingerprint(buf.data());
}

// Prompt tokens that an engine is likely to compute, since shared parts are mostly cached.
std::int64_t expectedPrefillTokens(const RequestMetadata &metadata)
{
    if (metadata.promptParts.empty())
        return metadata.promptTokens.count();
    const std::int64_t ownTokens = metadata.promptParts.back().length.count();
    return ownTokens + (metadata.promptTokens.count() - ownTokens) / requestsPerSharedPartPrefill;
}

int priorityOf(const Route &route, const ClientAccount *account)
{
    const int routePriority = std::min(route.priority, routePriorityCount - 1);
    if (!account || !account->priorityOverride)
        return routePriority;
    return *account->priorityOverride * routePriorityCount + routePriority;
}

} // namespace

RequestUrgency requestUrgency(const RequestContext &context, Instant arrivedAt)
{
    return {context.service->name,
            context.metadata.model,
            context.account ? context.account->name : AccountId(),
            context.priority,
            arrivedAt,
            context.route->latencyObjective};
}

std::optional<Rejection> RequestAdmission::admit(RequestContext &context) const
{
    std::string problem;
    const auto metadata = m_state.protocol.parseRequestHeaders(m_request.fields, problem);
    if (!metadata) {
        logNotable("bad_header", {{"reason", problem}});
        context.problem = "bad_header: " + problem;
        return Rejection{400, "bad_header", {}};
    }
    context.metadata = *metadata;
    context.config = m_state.config;
    if (!context.config || !m_state.platform.isLoaded())
        return Rejection{503, "not_ready", startupTime};
    if (const auto rejection = findRoute(context))
        return rejection;
    context.service = chooseService(context);
    if (!context.service)
        return Rejection{503, "no_service", startupTime};
    if (const auto rejection = checkCrashes(context))
        return rejection;
    if (const auto rejection = chargeQuota(context))
        return rejection;
    m_state.retryBudget(context.service->name).onRequest();
    context.prefixHashes = computePrefixHashes(context.metadata);
    context.priority = priorityOf(*context.route, context.account);
    if (context.service->engine && !context.metadata.model.isEmpty())
        m_state.recordPromptTokens(context.metadata.model, expectedPrefillTokens(context.metadata));
    return {};
}

std::optional<Rejection> RequestAdmission::findRoute(RequestContext &context) const
{
    const std::string_view host(m_request.fields["Host"].data(), m_request.fields["Host"].size());
    const std::string_view path
        = std::string_view(m_request.target).substr(0, m_request.target.find_first_of("?#"));
    context.route = context.config->findRoute(host.substr(0, host.rfind(':')), path);
    if (!context.route)
        return Rejection{404, "no_route", {}};
    context.deadline = m_request.arrivedAt + context.route->timeout;
    if (context.metadata.timeLeft)
        context.deadline = std::min(context.deadline,
                                    m_request.arrivedAt + Duration(*context.metadata.timeLeft));
    context.account = context.config->findAccount(context.metadata.apiKey);
    if (context.account || context.route->isPublic)
        return {};
    return Rejection{401, "unknown_key", {}};
}

// The last part of a prompt belongs to this request or its session alone.
std::vector<Fingerprint> RequestAdmission::crashSuspects(const RequestContext &context) const
{
    std::vector<Fingerprint> suspects{
        fingerprintOf(context.account ? context.account->name : AccountId(), m_request)};
    const std::vector<PromptPart> &parts = context.metadata.promptParts;
    for (std::size_t i = 0; i + 1 < parts.size() && i < maxSuspectParts; ++i) {
        const Fingerprint part = promptPartFingerprint(parts[i].id);
        if (std::find(suspects.begin(), suspects.end(), part) == suspects.end())
            suspects.push_back(part);
    }
    return suspects;
}

std::optional<Rejection> RequestAdmission::checkCrashes(RequestContext &context) const
{
    context.crashSuspects = crashSuspects(context);
    const bool mayTry = m_state.mayTryCrashingRequests && m_state.mayTryCrashingRequests();
    const auto refused = m_state.crashDetector.checkRequest(
        context.metadata.id, context.crashSuspects, mayTry, context.isCrashTrial, steadyNow());
    if (!refused)
        return {};
    logNotable("crash_refusal",
               {{"id", context.metadata.id},
                {"suspect", *refused},
                {"records", m_state.crashDetector.describe(*refused)}});
    return Rejection{503, "crashes_servers", {}};
}

std::optional<Rejection> RequestAdmission::chargeQuota(RequestContext &context) const
{
    const ClientAccount *account = context.account;
    SharedQuota *quota = account ? m_state.quotas.find(account->name) : nullptr;
    if (!quota)
        return {};
    const RequestMetadata &metadata = context.metadata;
    const double tokens
        = static_cast<double>(metadata.promptTokens.count() + metadata.maxOutputTokens.count());
    const double cost = quotaCost(*account, metadata.hasTokenCounts, tokens);
    const Instant now = steadyNow();
    if (quota->charge(cost, now)) {
        context.chargedCost = cost;
        return {};
    }
    logNotable("over_quota",
               {{"id", metadata.id},
                {"account", account->name},
                {"cost", static_cast<std::int64_t>(cost)},
                {"level", static_cast<std::int64_t>(quota->credit(now))},
                {"rate", static_cast<std::int64_t>(account->ratePerSecond)},
                {"burst", static_cast<std::int64_t>(account->burst)},
                {"gateways", m_state.gatewayCount()},
                {"config", context.config->version}});
    return Rejection{429, "over_quota",
                     m_state.retryAfterEstimator.planQuotaReturn(
                         account->name, quota->timeUntilCredit(now), cost,
                         quota->ownRatePerSecond(), context.deadline - now, m_state.random(), now)};
}

const ServiceSpec *RequestAdmission::chooseService(const RequestContext &context) const
{
    int totalWeight = 0;
    for (const RouteTarget &target : context.route->targets)
        totalWeight += target.weight;
    double point = m_state.random() * totalWeight;
    for (const RouteTarget &target : context.route->targets) {
        point -= target.weight;
        if (point < 0)
            return context.config->findService(target.service);
    }
    return nullptr;
}

} // namespace quetzalyoke
