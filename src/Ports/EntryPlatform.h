#ifndef QUETZALYOKE_PORTS_ENTRYPLATFORM_H
#define QUETZALYOKE_PORTS_ENTRYPLATFORM_H

#include "Serving/Placement/PlacementLease.h"
#include "Serving/Requests/CrashSuspects.h"
#include "Serving/Requests/StreamVersions.h"
#include "Serving/Servers/EvacuatedZones.h"
#include "Serving/Servers/ServiceVersions.h"
#include "Serving/State/ServingConfig.h"
#include "Serving/State/StateFreshness.h"
#include "Serving/State/TableVersion.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A gateway in the list of the users' platform's metadata store.
struct ListedGateway
{
    InstanceId instance;
    std::string address; ///< IP:PORT for peer messages.
};

/// \brief What a gateway has of the operators' table and of the servers' table.
///
/// Versions of a store that came back from a copy are above all earlier ones.
struct StateVersions
{
    TableVersion operators;
    TableVersion servers;
    Version configuration = {}; ///< The operators' own version of the configuration in force.

    bool operator==(const StateVersions &) const = default;
};

/// \brief Access of an entry gateway to the platform's metadata store. All calls return without
/// waiting; all callbacks are called from the event loop.
class EntryPlatform
{
public:
    struct Hooks
    {
        std::function<void(const ServingConfigPtr &)> onConfigChanged;
        std::function<void(const ListedServer &)> onServerChanged;
        std::function<void(const ServerName &)> onServerRemoved;
        /// The operators' row that evacuates \a zone has changed.
        std::function<void(const ZoneName &zone, EvacuationChange change)> onEvacuationChanged;
        std::function<void()> onBatchApplied; ///< Called after a batch of the calls above.
        /// The store became unreachable or reachable; \a reason gives the observed error.
        std::function<void(bool isReachable, const std::string &reason)> onReachabilityChanged;
        std::function<void()> onCallFailed; ///< Called for each failed call that reads changes.
        /// The store has come back from a copy: its latest changes are lost, and what the operators
        /// and the servers wrote is written again soon.
        std::function<void(StoreEra era)> onStoreRestored;
        /// An entry with \a key is invalid; \a problem gives the reason.
        std::function<void(const std::string &key, const std::string &problem)> onInvalidEntry;
    };

    enum class WriteOutcome { Done, Conflict, Failed };

    virtual ~EntryPlatform() = default;

    /// Starts to read the store and to call \a hooks.
    virtual void start(Hooks hooks) = 0;
    virtual void stop() = 0;
    /// Reads everything again, for example because connections may have been lost unnoticed.
    virtual void refresh() = 0;
    /// Returns whether configuration and servers have been read at least once.
    virtual bool isLoaded() const = 0;
    /// Returns whether the store has responded recently.
    virtual bool isReachable() const = 0;
    /// Returns what this gateway has.
    virtual StateVersions versions() const = 0;
    /// Returns until when what this gateway has is known to be complete.
    virtual StateTimes confirmedAt() const = 0;

    /// Asks the store for changes of the servers at once, also if this gateway gets them from
    /// another one. Passes whether all that were made before this call are known now.
    virtual void confirmServers(std::function<void(bool isConfirmed)> done) = 0;

    /// Sets whether this gateway reads changes from the store itself. Otherwise it gets them from
    /// another gateway through applyChanges().
    virtual void setFollowing(bool isFollowing) = 0;
    /// Sets whether other gateways rely on this one, which then asks the store more often.
    virtual void setHasFollowers(bool hasFollowers) = 0;
    /// Returns what a gateway that has \a known lacks: the changes since, or the whole state if
    /// they can't be determined.
    virtual std::string changesSince(const StateVersions &known) const = 0;
    /// Applies the changes from changesSince() of another gateway. Parts that are older than the
    /// known ones are ignored. \a confirmedAt states until when the other gateway's state is
    /// complete. Returns false if the changes are invalid or their result differs from the other
    /// gateway's state.
    virtual bool applyChanges(const std::string &changes, const StateTimes &confirmedAt) = 0;

    /// Passes nothing if the call failed or the row is invalid, and a row without a holder if there
    /// is none.
    using LeaseReadHook = std::function<void(const std::optional<LeaseRow> &)>;
    /// Reads the lease row.
    virtual void readLease(LeaseReadHook done) = 0;
    /// Writes the lease row if the store still has the version in \a row, otherwise reports
    /// Conflict. The new version is passed with Done.
    virtual void writeLease(const LeaseRow &row, std::function<void(WriteOutcome, Version)> done)
        = 0;
    /// Passes nothing if the call failed.
    using CrashRecordsHook
        = std::function<void(const std::optional<std::vector<CrashRecord>> &records)>;
    /// Reads the records that writeCrashRecords() has written last.
    virtual void readCrashRecords(CrashRecordsHook done) = 0;
    /// Replaces the stored records.
    virtual void writeCrashRecords(const std::vector<CrashRecord> &records,
                                   std::function<void(bool ok)> done)
        = 0;
    /// Adds and removes rows of the software versions that began streams.
    virtual void writeStreamVersions(const StreamVersionWrite &write,
                                     std::function<void(bool ok)> done)
        = 0;
    /// Passes nothing if the call failed, and an empty version if none is stored.
    using StreamVersionHook = std::function<void(const std::optional<SoftwareVersion> &)>;
    virtual void readStreamVersion(const StreamKey &key, StreamVersionHook done) = 0;
    /// Replaces the stored sightings.
    virtual void writeVersionSightings(const std::vector<VersionSighting> &sightings,
                                       std::function<void(bool ok)> done)
        = 0;
    /// Passes nothing if the call failed.
    using VersionSightingsHook
        = std::function<void(const std::optional<std::vector<VersionSighting>> &)>;
    virtual void readVersionSightings(VersionSightingsHook done) = 0;
    /// Adds this gateway to the store's list and reads the other gateways.
    virtual void join(const ListedGateway &self,
                      std::function<void(bool ok, const std::vector<ListedGateway> &)> done)
        = 0;
};

} // namespace quetzalyoke

#endif
