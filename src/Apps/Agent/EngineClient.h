#ifndef QUETZALYOKE_APPS_AGENT_ENGINECLIENT_H
#define QUETZALYOKE_APPS_AGENT_ENGINECLIENT_H

#include "Adapters/Address.h"
#include "Core/Placement/EngineOrder.h"

#include <chrono>
#include <string>

namespace quetzalyoke {

/// \brief Sends load and unload orders to the engine and reads its report, over HTTP.
class EngineClient
{
public:
    EngineClient(const Address &engine, std::chrono::milliseconds timeout);

    /// Reads the engine's memory, loaded models and highest fencing token. Throws Error
    /// (PeerUnavailable).
    EngineReport readReport();
    /// Sends \a order. Throws Error (PeerUnavailable; OutcomeUnknown without a response; Conflict
    /// if the engine refused the order).
    void sendOrder(const EngineOrder &order);

private:
    Address m_engine;
    std::chrono::milliseconds m_timeout;
};

} // namespace quetzalyoke

#endif
