#ifndef QUETZALYOKE_APPS_GATEWAY_GATEWAYSTATE_H
#define QUETZALYOKE_APPS_GATEWAY_GATEWAYSTATE_H

#include "Core/Configuration/ServiceList.h"
#include "Core/Placement/MinimumPlacement.h"
#include "Core/State/ClusterView.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace quetzalyoke {

/// \brief The service list in force with what follows from it; immutable.
struct Configuration
{
    Version version;
    std::string text;
    ServiceList serviceList;
    MinimumPlacement minimumPlacement;
};

/// \brief Keys, configuration and the other gateways as this one knows them, for its threads.
///
/// Its lock is taken before AccountLimiter's.
class GatewayState
{
public:
    /// What has changed, told under the lock.
    struct Change
    {
        const ClusterView &sync;
        const Configuration *configuration; ///< Null before the first one is known.
        std::optional<Instant> freshUntil;
        Instant now;
    };
    using Listener = std::function<void(const Change &)>;

    GatewayState(const MemberRow &self, const ConsistencyTimeouts &limits);

    /// Names who is told of changes. Call it before the first update().
    void setListener(Listener listener) { m_listener = std::move(listener); }

    /// Runs \a f with the decisions of this gateway, then tells the listener.
    template<typename F>
    auto update(Instant now, F &&f)
    {
        const std::lock_guard lock(m_mutex);
        updateFreshUntil(now);
        if constexpr (std::is_void_v<decltype(f(m_sync))>) {
            f(m_sync);
            notifyListener(now);
        } else {
            auto result = f(m_sync);
            notifyListener(now);
            return result;
        }
    }
    /// Runs \a f with the decisions of this gateway.
    template<typename F>
    auto read(F &&f) const
    {
        const std::lock_guard lock(m_mutex);
        return f(m_sync);
    }

    /// Puts \a configuration in force unless a newer one is.
    void setConfiguration(std::shared_ptr<const Configuration> configuration, Instant now);

    /// The configuration in force; nothing before the first one is known.
    std::shared_ptr<const Configuration> configuration() const;
    std::optional<ApiKeyRow> findKey(const ApiKeyId &id) const;
    std::vector<ApiKeyRow> keys() const;
    Version version() const;
    std::vector<StateRow> rowsAfter(Version version) const;
    /// Pointer to the newest configuration, which may not be loaded yet.
    ConfigurationRow newestConfigurationRow(Version &version) const;
    /// What this gateway tells others, without its demands.
    PeerStatus status(Instant now) const;

    /// Whether the state is recent enough to serve keyed traffic.
    bool isFresh(Instant now) const;

private:
    bool isNewestConfigurationLoaded() const;
    void updateFreshUntil(Instant now);
    void notifyListener(Instant now);

    mutable std::mutex m_mutex; // of the members below
    ClusterView m_sync;
    std::shared_ptr<const Configuration> m_configuration;
    std::optional<Instant> m_freshUntil;
    Listener m_listener;
};

} // namespace quetzalyoke

#endif
