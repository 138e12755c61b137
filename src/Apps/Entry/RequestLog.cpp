#include "Apps/Entry/RequestLog.h"

#include "Adapters/Async/EventLoop.h"
#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Bounds the length of a log line.
constexpr std::size_t maxLoggedParts = 8;

// Returns the parts of the prompt that other requests may share, which are all but the last.
std::string sharedPartsText(const RequestMetadata &metadata)
{
    std::string text;
    for (std::size_t i = 0; i + 1 < metadata.promptParts.size() && i < maxLoggedParts; ++i)
        text += (i == 0 ? "" : ",") + promptPartText(metadata.promptParts[i].id);
    return text;
}

// Returns the fingerprint of the whole request.
Fingerprint requestFingerprint(const std::vector<Fingerprint> &suspects)
{
    const auto it = std::find_if_not(suspects.begin(), suspects.end(), isPromptPart);
    return it == suspects.end() ? Fingerprint() : *it;
}

const char *kindText(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::NonIdempotent:
        return "non_idempotent";
    case RouteKind::Stream:
        return "stream";
    }
    return "unknown";
}

} // namespace

void logWaiting(const RequestContext &context, const AdmissionInput &input, const char *reason,
                Duration age)
{
    logRoutine("waiting",
               {{"id", context.metadata.id},
                {"reason", reason},
                {"model", context.metadata.model},
                {"adapter", context.metadata.adapter},
                {"priority", context.priority},
                {"expected_ms", input.serverChoice.expectedTimeToFirstByte},
                {"room_ms", input.timeUntilRoom.value_or(Duration::zero())},
                {"age_ms", age}});
    Metrics::incrementCounter("waits", {{"reason", reason}});
}

void logSent(const RequestContext &context, const ServerChoice &choice, const ServerState &server,
             bool isLimited, Duration age, int attempts)
{
    Metrics::incrementCounter("prompt_tokens_sent", {{"expected", "read"}},
                              static_cast<double>(choice.prefillTokens));
    Metrics::incrementCounter("prompt_tokens_sent", {{"expected", "cached"}},
                              static_cast<double>(choice.cachedTokens));
    logRoutine("sent",
               {{"id", context.metadata.id},
                {"route", context.route->name},
                {"server", choice.server},
                {"software", server.listed.softwareVersion},
                {"age_ms", age},
                {"expected_ms", choice.expectedTimeToFirstByte},
                {"prefill", choice.prefillTokens},
                {"cached", choice.cachedTokens},
                {"running", server.totalWork().requestsInFlight},
                {"pace", static_cast<int>(choice.pace * 100)},
                {"limited", isLimited ? 1 : 0},
                {"cold", server.isCold(steadyNow()) ? 1 : 0},
                {"config", context.config->version},
                {"attempt", attempts}});
}

void logAttemptBroken(const RequestContext &context, const BackendAttempt &attempt,
                      ExchangeOutcome outcome, std::size_t events, Duration age)
{
    logNotable("attempt_broken",
               {{"id", context.metadata.id},
                {"server", attempt.server},
                {"address", attempt.address},
                {"incarnation", attempt.incarnation},
                {"end", exchangeOutcomeText(outcome)},
                {"refused", attempt.connection->wasRefused() ? 1 : 0},
                {"status", attempt.status},
                {"events", events},
                {"request", requestFingerprint(context.crashSuspects)},
                {"parts", sharedPartsText(context.metadata)},
                {"took_ms", steadyNow() - attempt.sentAt},
                {"age_ms", age}});
    Metrics::incrementCounter("attempts_broken", {{"end", exchangeOutcomeText(outcome)}});
}

void logAnswered(const RequestContext &context, const BackendAttempt &attempt, std::size_t events,
                 Duration age)
{
    logRoutine("answered",
               {{"id", context.metadata.id},
                {"route", context.route->name},
                {"kind", kindText(context.route->kind)},
                {"server", attempt.server},
                {"status", attempt.status},
                {"age_ms", age},
                {"events", events}});
    Metrics::observeLatency("request_seconds", toSeconds(age),
                            {{"kind", kindText(context.route->kind)}});
}

void logRefused(const RequestContext &context, int status, const char *reason,
                std::optional<Milliseconds> retryAfterMs, Duration age, int attempts)
{
    logNotable("refused",
               {{"id", context.metadata.id},
                {"status", status},
                {"reason", reason},
                {"route", context.route ? context.route->name : std::string("none")},
                {"account", context.account ? context.account->name : AccountId()},
                {"model", context.metadata.model},
                {"adapter", context.metadata.adapter},
                {"priority", context.priority},
                {"age_ms", age},
                {"retry_after_ms", retryAfterMs ? retryAfterMs->count() : 0},
                {"config", context.config ? context.config->version : Version()},
                {"arrivals", attempts}});
    Metrics::incrementCounter("refused", {{"reason", reason}, {"status", std::to_string(status)}});
}

void logFailed(const RequestContext &context, int status, const char *reason, std::size_t events,
               Duration age, int attempts)
{
    logNotable("failed",
               {{"id", context.metadata.id},
                {"status", status},
                {"reason", reason},
                {"route", context.route->name},
                {"age_ms", age},
                {"events", events},
                {"arrivals", attempts},
                {"config", context.config->version}});
    Metrics::incrementCounter("failed", {{"reason", reason}, {"status", std::to_string(status)}});
}

} // namespace quetzalyoke
