#ifndef QUETZALYOKE_APPS_AGENT_ENGINEORDERS_H
#define QUETZALYOKE_APPS_AGENT_ENGINEORDERS_H

#include "Adapters/Address.h"
#include "Core/Placement/EngineOrder.h"

#include <chrono>
#include <string>

namespace quetzalyoke {

/// \brief Orders to the engine and its own report, over its HTTP interface.
class EngineOrders
{
public:
    EngineOrders(const Address &engine, std::chrono::milliseconds timeout);

    /// What the engine says of itself. Throws Error (PeerUnavailable).
    EngineReport report();
    /// Throws Error (PeerUnavailable, OutcomeUnknown or Conflict).
    void send(const EngineOrder &order);

private:
    Address m_engine;
    std::chrono::milliseconds m_timeout;
};

} // namespace quetzalyoke

#endif
