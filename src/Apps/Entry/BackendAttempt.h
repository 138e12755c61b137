#ifndef QUETZALYOKE_APPS_ENTRY_BACKENDATTEMPT_H
#define QUETZALYOKE_APPS_ENTRY_BACKENDATTEMPT_H

#include "Adapters/Async/ClientConnection.h"
#include "Ports/ServingDialect.h"
#include "Serving/Servers/ServerBook.h"

namespace quetzalyoke {

/// \brief One request at one backend server, from its sending to the end of its answer.
struct BackendAttempt
{
    ServerName server;
    Incarnation incarnation;
    std::string address;
    std::shared_ptr<ClientConnection> connection;
    Instant sentAt;
    Duration expected{0}; ///< Until the first byte, as predicted.
    ServerWork work; ///< Counted at the server for this attempt.
    bool isForwarding = false; ///< The answer goes to the caller as it comes.
    bool firstByteSeen = false;
    int status = 0;
    BackendVerdict verdict;
    std::string fields;
    std::string body;
};

} // namespace quetzalyoke

#endif
