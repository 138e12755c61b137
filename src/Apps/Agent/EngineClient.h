#ifndef QUETZALYOKE_APPS_AGENT_ENGINECLIENT_H
#define QUETZALYOKE_APPS_AGENT_ENGINECLIENT_H

#include "Adapters/Address.h"
#include "Core/Placement/EngineOrder.h"

#include <chrono>
#include <string>

namespace quetzalyoke {

/// \brief Orders to the engine and its own report, over its HTTP interface.
class EngineClient
{
public:
    EngineClient(const Address &engine, std::chrono::milliseconds timeout);

    /// What the engine says of itself. Throws Error (PeerUnavailable).
    EngineReport readReport();
    /// Throws Error (PeerUnavailable, OutcomeUnknown or Conflict).
    void sendOrder(const EngineOrder &order);

private:
    Address m_engine;
    std::chrono::milliseconds m_timeout;
};

} // namespace quetzalyoke

#endif
