#ifndef QUETZALYOKE_APPS_ENTRY_BACKENDATTEMPT_H
#define QUETZALYOKE_APPS_ENTRY_BACKENDATTEMPT_H

#include "Adapters/Async/HttpClientConnection.h"
#include "Ports/ServingProtocol.h"
#include "Serving/Servers/ServerDirectory.h"

namespace quetzalyoke {

/// \brief One request at one backend server, from its sending to the end of its answer.
struct BackendAttempt
{
    ServerName server;
    Incarnation incarnation;
    std::string address;
    std::shared_ptr<HttpClientConnection> connection;
    Instant sentAt;
    Duration expectedFirstByteDelay{0}; ///< Until the first byte, as predicted.
    ServerWork serverWork; ///< Counted at the server for this attempt.
    bool isForwarding = false; ///< The answer goes to the caller as it comes.
    bool firstByteSeen = false;
    int status = 0;
    BackendResponseInfo verdict;
    std::string fields;
    std::string body;
};

} // namespace quetzalyoke

#endif
