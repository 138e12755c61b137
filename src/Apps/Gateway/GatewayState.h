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

/// \brief A service list with the minimum placement computed from it; immutable.
struct Configuration
{
    Version version;
    std::string text;
    ServiceList serviceList;
    MinimumPlacement minimumPlacement;
};

/// \brief The keys, the configuration and the other gateways as known to this one. Thread-safe.
///
/// Its lock is taken before AccountLimiter's lock.
class GatewayState
{
public:
    /// \brief A change of the state; passed to the listener while the lock is held.
    struct Change
    {
        const ClusterView &cluster;
        const Configuration *configuration; ///< Null before the first one is known.
        std::optional<Instant> freshUntil;
        Instant now;
    };
    using Listener = std::function<void(const Change &)>;

    GatewayState(const MemberRow &self, const ConsistencyTimeouts &limits);

    /// Sets the function that is called on every change. To be called before the first update().
    void setListener(Listener listener) { m_listener = std::move(listener); }

    /// Runs \a f on the cluster view under the lock, then calls the listener. Returns the result of
    /// \a f.
    template<typename F>
    auto update(Instant now, F &&f)
    {
        const std::lock_guard lock(m_mutex);
        updateFreshUntil(now);
        if constexpr (std::is_void_v<decltype(f(m_cluster))>) {
            f(m_cluster);
            notifyListener(now);
        } else {
            auto result = f(m_cluster);
            notifyListener(now);
            return result;
        }
    }
    /// Runs \a f on the cluster view under the lock. Returns the result of \a f.
    template<typename F>
    auto read(F &&f) const
    {
        const std::lock_guard lock(m_mutex);
        return f(m_cluster);
    }

    /// Puts \a configuration in force unless a newer one is in force.
    void setConfiguration(std::shared_ptr<const Configuration> configuration, Instant now);

    /// Returns the configuration in force, or null before the first one is known.
    std::shared_ptr<const Configuration> configuration() const;
    std::optional<ApiKeyRow> findKey(const ApiKeyId &id) const;
    std::vector<ApiKeyRow> keys() const;
    Version version() const;
    std::vector<StateRow> rowsAfter(Version version) const;
    /// Returns the row that names the newest configuration, which may not be loaded yet, and sets
    /// \a version to its version.
    ConfigurationRow newestConfigurationRow(Version &version) const;
    /// Returns the status that is sent to other gateways, without the demands of accounts.
    PeerStatus status(Instant now) const;

    /// Returns whether the state is recent enough to serve requests with a key.
    bool isFresh(Instant now) const;

private:
    bool isNewestConfigurationLoaded() const;
    void updateFreshUntil(Instant now);
    void notifyListener(Instant now);

    mutable std::mutex m_mutex; // protects the members below
    ClusterView m_cluster;
    std::shared_ptr<const Configuration> m_configuration;
    std::optional<Instant> m_freshUntil;
    Listener m_listener;
};

} // namespace quetzalyoke

#endif
