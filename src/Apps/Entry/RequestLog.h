#ifndef QUETZALYOKE_APPS_ENTRY_REQUESTLOG_H
#define QUETZALYOKE_APPS_ENTRY_REQUESTLOG_H

#include "Apps/Entry/BackendAttempt.h"
#include "Apps/Entry/RequestAdmission.h"
#include "Serving/Requests/AdmissionPolicy.h"

namespace quetzalyoke {

/// Each of these functions writes the log line of one decision on a request and counts it in the
/// metrics. \a age is the time since the request arrived, \a events the number of events of its
/// stream that were forwarded, and \a attempts the number of attempts that reached a server.

void logWaiting(const RequestContext &context, const AdmissionInput &input, const char *reason,
                Duration age);
/// \a isLimited states whether the request needed a permit.
void logSent(const RequestContext &context, const ServerChoice &choice, const ServerState &server,
             bool isLimited, Duration age, int attempts);
void logAttemptBroken(const RequestContext &context, const BackendAttempt &attempt,
                      ExchangeOutcome outcome, std::size_t events, Duration age);
void logAnswered(const RequestContext &context, const BackendAttempt &attempt, std::size_t events,
                 Duration age);
void logRefused(const RequestContext &context, int status, const char *reason,
                std::optional<Milliseconds> retryAfterMs, Duration age, int attempts);
void logFailed(const RequestContext &context, int status, const char *reason, std::size_t events,
               Duration age, int attempts);

} // namespace quetzalyoke

#endif
