#ifndef QUETZALYOKE_APPS_ENTRY_SERVERINCARNATIONCHECK_H
#define QUETZALYOKE_APPS_ENTRY_SERVERINCARNATIONCHECK_H

#include "Adapters/Async/HttpClientConnection.h"
#include "Core/StrongTypes.h"
#include "Ports/ServingProtocol.h"

namespace quetzalyoke {

/// Asks the engine at the other end of an idle or new \a connection for its incarnation, which is
/// then known for as long as the connection lasts. \a maySend is called once the connection is
/// established. \a done gets how the exchange ended, and the incarnation if the engine told it.
void checkServerIncarnation(const ServingProtocol &protocol, const std::string &address,
                            const std::shared_ptr<HttpClientConnection> &connection,
                            std::function<bool()> maySend,
                            std::function<void(ExchangeOutcome, std::optional<Incarnation>)> done);

} // namespace quetzalyoke

#endif
