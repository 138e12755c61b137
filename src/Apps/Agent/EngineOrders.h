#ifndef QUETZALYOKE_APPS_AGENT_ENGINEORDERS_H
#define QUETZALYOKE_APPS_AGENT_ENGINEORDERS_H

#include "Adapters/Address.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A model or adapter that an engine holds.
struct Holding
{
    std::string name;
    std::string version;
    Megabytes memory;
    bool adapter = false;
    bool ready = false;
};

/// \brief Orders to the engine and its own report, over its HTTP interface.
class EngineOrders
{
public:
    EngineOrders(const Address &engine, std::chrono::milliseconds timeout);

    /// What the engine says that it holds. Throws Error (PeerUnavailable).
    std::vector<Holding> holdings();
    /// Throws Error (PeerUnavailable, OutcomeUnknown or Conflict).
    void load(const Holding &holding, std::int64_t fencing);
    void unload(const std::string &name, std::int64_t fencing);

private:
    void order(const std::string &body);

    Address m_engine;
    std::chrono::milliseconds m_timeout;
};

} // namespace quetzalyoke

#endif
