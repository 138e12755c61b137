#include "Apps/Entry/RequestAdmission.h"

#include "Adapters/StructuredLog.h"

#include <xxhash.h>

namespace quetzalyoke {

namespace {

// Of several requests that share a part of their prompts, one has it read.
constexpr std::int64_t sharedPartsPerRead = 4;

// Until a gateway that has just started knows the configuration.
constexpr Duration startTime = std::chrono::milliseconds(500);

// Priorities of accounts go before those of routes; both together span the servers' 0 to 9.
constexpr int routePriorities = 3;

Fingerprint fingerprintOf(const AccountId &account, const HttpRequest &request)
{
    XXH64_state_t *state = XXH64_createState();
    XXH64_reset(state, 0);
    for (const std::string *text : {&account.text(), &request.target, &request.body})
        XXH64_update(state, text->data(), text->size());
    const std::uint64_t digest = XXH64_digest(state);
    XXH64_freeState(state);
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(digest));
    return Fingerprint(buf.data());
}

// Prompt tokens that an engine is likely to read: shared parts are mostly cached.
std::int64_t demandOf(const RequestMetadata &call)
{
    if (call.promptParts.empty())
        return call.promptTokens.count();
    const std::int64_t own = call.promptParts.back().length.count();
    return own + (call.promptTokens.count() - own) / sharedPartsPerRead;
}

int priorityOf(const Route &route, const ClientAccount *account)
{
    const int routePriority = std::min(route.priority, routePriorities - 1);
    if (!account || !account->priorityOverride)
        return routePriority;
    return *account->priorityOverride * routePriorities + routePriority;
}

} // namespace

std::optional<Rejection> RequestAdmission::admit(RequestContext &context) const
{
    std::string problem;
    const auto call = m_state.protocol.parseRequestHeaders(m_request.fields, problem);
    if (!call)
        return Rejection{400, "bad_header", {}};
    context.call = *call;
    context.config = m_state.config;
    if (!context.config || !m_state.platform.isLoaded())
        return Rejection{503, "not_ready", startTime};
    if (const auto rejection = findRoute(context))
        return rejection;
    context.service = pickService(context);
    if (!context.service)
        return Rejection{503, "no_service", startTime};
    if (isKnownToCrash(context))
        return Rejection{503, "crashes_servers", {}};
    if (const auto rejection = chargeQuota(context))
        return rejection;
    m_state.retryBudget(context.service->name).onRequest();
    context.prefixHashes = computePrefixHashes(context.call);
    context.priority = priorityOf(*context.route, context.account);
    if (context.service->engine && !context.call.model.isEmpty())
        m_state.recordPromptTokens(context.call.model, demandOf(context.call));
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
    if (context.call.timeLeft)
        context.deadline
            = std::min(context.deadline, m_request.arrivedAt + Duration(*context.call.timeLeft));
    context.account = context.config->findAccount(context.call.apiKey);
    if (context.account || context.route->isPublic)
        return {};
    return Rejection{401, "unknown_key", {}};
}

bool RequestAdmission::isKnownToCrash(RequestContext &context) const
{
    if (m_request.body.empty())
        return false;
    context.fingerprint
        = fingerprintOf(context.account ? context.account->name : AccountId(), m_request);
    return m_state.crashDetector.mustRefuse(context.fingerprint, steadyNow());
}

std::optional<Rejection> RequestAdmission::chargeQuota(RequestContext &context) const
{
    const ClientAccount *account = context.account;
    SharedQuota *quota = account ? m_state.quotas.find(account->name) : nullptr;
    if (!quota)
        return {};
    const RequestMetadata &call = context.call;
    const double tokens
        = static_cast<double>(call.promptTokens.count() + call.maxOutputTokens.count());
    const double cost = quotaCost(*account, call.hasTokenCounts, tokens);
    const Instant now = steadyNow();
    if (quota->charge(cost, now)) {
        context.chargedCost = cost;
        return {};
    }
    logNotable("over_quota",
               {{"id", call.id},
                {"account", account->name},
                {"cost", static_cast<std::int64_t>(cost)},
                {"level", static_cast<std::int64_t>(quota->credit(now))},
                {"rate", static_cast<std::int64_t>(account->ratePerSecond)},
                {"burst", static_cast<std::int64_t>(account->burst)},
                {"gateways", m_state.gatewayCount()},
                {"config", context.config->version}});
    return Rejection{429, "over_quota", scaled(quota->timeUntilCredit(now), 1 + m_state.random())};
}

const ServiceSpec *RequestAdmission::pickService(const RequestContext &context) const
{
    int sum = 0;
    for (const RouteTarget &share : context.route->targets)
        sum += share.weight;
    double point = m_state.random() * sum;
    for (const RouteTarget &share : context.route->targets) {
        point -= share.weight;
        if (point < 0)
            return context.config->findService(share.service);
    }
    return nullptr;
}

} // namespace quetzalyoke
