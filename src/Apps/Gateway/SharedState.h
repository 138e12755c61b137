#ifndef QUETZALYOKE_APPS_GATEWAY_SHAREDSTATE_H
#define QUETZALYOKE_APPS_GATEWAY_SHAREDSTATE_H

#include "Core/FloorPlan.h"
#include "Core/ServiceList.h"
#include "Core/StateCache.h"

#include <memory>
#include <mutex>
#include <optional>

namespace quetzalyoke {

/// \brief The service list in force with what follows from it; immutable.
struct Configuration
{
    Version version;
    std::string text;
    ServiceList list;
    FloorPlan plan;
};

/// \brief Keys and configuration as this gateway knows them, shared by its threads.
class SharedState
{
public:
    explicit SharedState(Duration freshness);

    /// Takes rows that were current at \a readAt.
    void apply(const std::vector<StateRow> &rows, std::optional<Instant> readAt);
    /// Puts \a configuration in force unless a newer one is.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// The configuration in force; nothing before the first one is known.
    std::shared_ptr<const Configuration> configuration() const;
    std::optional<KeyRecord> findKey(const KeyId &id) const;
    std::vector<KeyRecord> keys() const;
    Version version() const;
    std::vector<StateRow> rowsAfter(Version version) const;
    /// Pointer to the newest configuration, which may not be loaded yet.
    ConfigurationPointer newestConfiguration(Version &version) const;

    /// Whether the state is recent enough to serve keyed traffic.
    bool isFresh(Instant now) const;

private:
    const Duration m_freshness;
    mutable std::mutex m_mutex; // of the members below
    StateCache m_cache;
    std::optional<Instant> m_readAt;
    std::shared_ptr<const Configuration> m_configuration;
};

} // namespace quetzalyoke

#endif
