#ifndef QUETZALYOKE_APPS_ENTRY_BACKENDATTEMPT_H
#define QUETZALYOKE_APPS_ENTRY_BACKENDATTEMPT_H

#include "Adapters/Async/HttpClientConnection.h"
#include "Apps/Entry/CrashingRequestDetector.h"
#include "Apps/Entry/ResponseMemory.h"
#include "Ports/ServingProtocol.h"
#include "Serving/Servers/ServerDirectory.h"

#include <algorithm>

namespace quetzalyoke {

/// \brief One request at one backend server, from sending it to the end of the response.
struct BackendAttempt
{
    ServerName server;
    Incarnation incarnation;
    std::string address;
    SoftwareVersion softwareVersion; ///< Of the server; empty if it is not known.
    std::shared_ptr<HttpClientConnection> connection;
    bool isConnectionUsed = false; ///< The connection has carried another exchange before.
    bool isBeingChecked = false; ///< The server is asked for its incarnation; nothing is sent yet.
    Instant sentAt;
    Instant permitUntil; ///< End of its permit, if the server has a request limit.
    Duration expectedFirstByteDelay{0}; ///< Predicted time to first byte.
    Duration usualFirstByteDelay{0}; ///< Predicted for a server of usual speed.
    double pace = 1; ///< Expected pace of the server when the request was sent.
    ServerWork serverWork; ///< Work counted at the server for this attempt.
    CrashingRequestDetector::RunNumber run = 0; ///< Once the request is sent.
    bool isForwarding = false; ///< The response is streamed to the caller as it arrives.
    bool firstByteSeen = false;
    std::optional<Instant> firstEventAt; ///< When the first whole event of a stream arrived.
    bool arePartsSurvived = false; ///< The server has gone on for a while after it.
    int status = 0;
    BackendResponseInfo responseInfo;
    std::string fields;
    std::string body;
    ResponseMemory memory;

    /// Returns when a server that has sent no byte counts as timed out, on a route with \a
    /// latencyObjective. The attempt is then abandoned if the request may be retried.
    Instant firstByteTimeoutAt(Duration latencyObjective) const
    {
        constexpr double timeoutPerObjective = 1.5;
        constexpr double timeoutPerExpectedDelay = 4;
        constexpr Duration minTimeout = std::chrono::milliseconds(250);
        return sentAt
            + std::max({minTimeout, scaled(latencyObjective, timeoutPerObjective),
                        scaled(expectedFirstByteDelay, timeoutPerExpectedDelay)});
    }
};

} // namespace quetzalyoke

#endif
