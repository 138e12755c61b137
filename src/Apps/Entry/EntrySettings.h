#ifndef QUETZALYOKE_APPS_ENTRY_ENTRYSETTINGS_H
#define QUETZALYOKE_APPS_ENTRY_ENTRYSETTINGS_H

#include "Adapters/Address.h"
#include "Core/Configuration/IniDocument.h"
#include "Core/StrongTypes.h"

#include <chrono>

namespace quetzalyoke {

/// \brief Settings of an entry gateway: the section [entry] of its INI file.
struct EntrySettings
{
    InstanceId instance;
    ZoneName zone;
    Address callerListen; ///< Callers connect here.
    Address readinessListen; ///< The platform checks here whether to send callers.
    Address peerListen; ///< TCP: state and metrics; UDP: peer messages.
    Address storeAddress;
    std::size_t maxCallerConnections = 1;
    std::size_t maxRequests = 1; ///< Handled at the same time; each may need a connection.
    double memoryMb = 0; ///< Memory of the machine that the process may use.
    std::chrono::milliseconds
        entryExpiryGrace{}; ///< For entries that expired while the store was unreachable.
    std::chrono::milliseconds
        holderChangeInterval{}; ///< Engines accept no change of the lease holder within it.
    std::chrono::milliseconds shutdownTimeout{}; ///< From SIGTERM to the end of the process.
    double retriesPerRequest = 0; ///< For each service, over all gateways.
    double retryReserve = 0; ///< Retries beyond that share, over all gateways.
    double processorShare = 0; ///< Processor cores of this instance.
    double prefillTokensPerMs = 0; ///< Prompt tokens that a healthy engine reads per ms.

    /// Reads the section [entry] of \a document; adds its mistakes to \a problems.
    static EntrySettings read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
