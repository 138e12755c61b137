#ifndef QUETZALYOKE_PORTS_ENTRYPLATFORM_H
#define QUETZALYOKE_PORTS_ENTRYPLATFORM_H

#include "Serving/Placement/PlacementLease.h"
#include "Serving/Servers/BackendServer.h"
#include "Serving/State/ServingConfig.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Another gateway as the platform's store lists it.
struct ListedGateway
{
    InstanceId instance;
    std::string address; ///< IP:PORT for datagrams of gateways.
};

/// \brief Newest rows that are known of the operators' and the servers' tables.
struct StateVersions
{
    Version config;
    Version servers;

    bool operator==(const StateVersions &) const = default;
};

/// \brief What the platform's store keeps for an entry gateway. All calls return at once; every
/// callback comes from the event loop.
class EntryPlatform
{
public:
    struct Hooks
    {
        std::function<void(const ServingConfigPtr &)> onConfigChanged;
        std::function<void(const ListedServer &)> onServerChanged;
        std::function<void(const ServerName &)> onServerRemoved;
        std::function<void()> onBatchApplied; ///< After a batch of the calls above.
        /// The store is lost or back; \a reason says what was seen.
        std::function<void(bool isReachable, const std::string &reason)> onReachabilityChanged;
        /// An entry that can't be used: its key and why.
        std::function<void(const std::string &key, const std::string &problem)> onInvalidEntry;
    };

    enum class WriteOutcome { Done, Conflict, Failed };

    virtual ~EntryPlatform() = default;

    virtual void start(Hooks hooks) = 0;
    virtual void stop() = 0;
    /// Connections may have gone silent: asks for everything anew.
    virtual void refresh() = 0;
    /// Whether configuration and servers have been read at least once.
    virtual bool isLoaded() const = 0;
    /// Whether the store has answered lately.
    virtual bool isReachable() const = 0;
    virtual StateVersions versions() const = 0;

    /// Whether this gateway follows the store itself; else changes come from another gateway
    /// through applyChanges().
    virtual void setFollowing(bool isFollowing) = 0;
    /// What has changed since \a known, for another gateway; everything where that can't be told.
    virtual std::string changesSince(const StateVersions &known) const = 0;
    /// What another gateway knows; older parts are ignored.
    virtual void applyChanges(const std::string &text) = 0;

    /// Nothing in the outer optional: the call failed.
    using LeaseReadHook = std::function<void(const std::optional<std::optional<LeaseRow>> &)>;
    virtual void readLease(LeaseReadHook done) = 0;
    /// Replaces the version that \a row names; the new version comes with Done.
    virtual void writeLease(const LeaseRow &row, std::function<void(WriteOutcome, Version)> done)
        = 0;
    /// Enters this gateway and reads all others.
    virtual void join(const ListedGateway &self,
                      std::function<void(bool ok, const std::vector<ListedGateway> &)> done)
        = 0;
};

} // namespace quetzalyoke

#endif
