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
    Address callerListen; ///< Where callers connect.
    Address readinessListen; ///< Where the platform asks whether to send callers.
    Address peerListen; ///< TCP: state and metrics; UDP: news of other gateways.
    Address storeAddress;
    std::size_t maxCallerConnections = 1; ///< Of callers.
    std::chrono::milliseconds entryExpiryGrace{}; ///< For entries that lapsed with the store away.
    std::chrono::milliseconds
        holderChangeInterval{}; ///< Engines take no turns of holders within it.
    std::chrono::milliseconds shutdownTimeout{}; ///< From SIGTERM to the end.
    double retriesPerRequest = 0; ///< Repeats for each request of a service, over all gateways.
    double retryReserve = 0; ///< Repeats beyond the share, over all gateways.
    double processorShare = 0; ///< Of a core that this instance has.
    double prefillTokensPerMs = 0; ///< That a healthy engine reads.

    /// Mistakes are added to \a problems.
    static EntrySettings read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
