#ifndef QUETZALYOKE_CORE_STATE_CLUSTERVIEW_H
#define QUETZALYOKE_CORE_STATE_CLUSTERVIEW_H

#include "Core/Accounts/ShareRow.h"
#include "Core/State/MemberRow.h"
#include "Core/State/PeerStatus.h"
#include "Core/State/StateCache.h"
#include "Ports/TableStore.h"

#include <map>
#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief Durations on which the guarantees about shared state depend. They must be the same on
/// every gateway.
struct ConsistencyTimeouts
{
    Duration maxStateAge; ///< Requests with a key need state that is no older than this.
    Duration outageTolerance; ///< How long gateways may serve while the table is unavailable.
    Duration safetyMargin; ///< Added when waiting for another gateway's timeout to pass.
    Duration heartbeatTimeout; ///< A gateway without a heartbeat for this long has probably ended.
};

/// \brief One gateway's view of the shared state, of the age of that state, and of the other
/// gateways.
///
/// The outcomes of table reads, heartbeats and calls between gateways are passed in as events; the
/// class does no I/O. A member is fresh while a read of the table, by itself or by another gateway,
/// is recent. Any gateway is fresh while every gateway that it knows has answered recently and no
/// unknown gateway can have accepted a change.
class ClusterView
{
public:
    /// \a self describes this gateway; its heartbeatCount and stateVersion are ignored.
    ClusterView(const MemberRow &self, const ConsistencyTimeouts &timeouts);

    const InstanceId &instance() const { return m_self.instance; }
    Incarnation incarnation() const { return m_self.incarnation; }
    const ConsistencyTimeouts &timeouts() const { return m_timeouts; }
    const StateCache &state() const { return m_cache; }
    /// Sets this gateway's addresses once they are bound.
    void setAddresses(const std::string &thriftAddress, const std::string &httpAddress);

    /// Applies the result of a table read that began at \a startedAt. \a rows are all rows above
    /// the version that state() had then.
    void onTableRead(const std::vector<StateRow> &rows, Instant startedAt, Instant now);
    /// Returns the next write of this gateway's own row. If \a leaving, the row marks it as left.
    ConditionalWrite heartbeatWrite(bool leaving) const;
    /// Records that the heartbeat that began at \a startedAt has taken effect.
    void onHeartbeatWritten(Instant startedAt);
    /// Returns a write that marks a gateway as left if its time to serve without the table has
    /// passed.
    std::optional<ConditionalWrite> memberRemovalWrite(Instant now) const;

    /// Returns what this gateway tells other gateways. The caller adds the demands.
    PeerStatus status(Instant now) const;
    /// Returns whether rows must be fetched before \a response can be used.
    bool needsRowsFrom(const PeerStatus &response) const;
    /// Applies \a rows, and then the response to a call that began at \a startedAt.
    void onPeerResponse(const PeerStatus &response, const std::vector<StateRow> &rows,
                        Instant startedAt, Instant now);
    /// Records a call from another gateway, which may announce that it has stopped serving.
    void onPeerCall(const PeerStatus &caller, Instant now);

    /// Returns the other gateways that have not left.
    std::vector<MemberRow> activePeers() const;
    /// Returns whether \a instance has not written a heartbeat for longer than
    /// ConsistencyTimeouts::heartbeatTimeout, while this gateway could read the table.
    bool isHeartbeatOverdue(const InstanceId &instance, Instant now) const;
    bool hasLeft(const InstanceId &instance) const;
    bool isKnownMember(const InstanceId &instance) const { return m_members.contains(instance); }
    /// Returns whether this gateway itself has read the table within
    /// ConsistencyTimeouts::maxStateAge.
    bool hasRecentTableRead(Instant now) const;

    /// Returns the last instant at which requests with a key may be served on the known state, or
    /// nothing if they may not be served.
    std::optional<Instant> freshUntil(Instant now) const;
    bool isFresh(Instant now) const;
    /// Returns whether this gateway may accept changes, that is, whether every gateway that may
    /// serve knows it.
    bool mayAcceptChanges(Instant now) const;
    /// Returns the version at which this incarnation joined, or nothing while it is no member.
    std::optional<Version> joinVersion() const { return m_joinVersion; }

    /// A change that this gateway has accepted: it was committed and then read back.
    struct AcceptedChange
    {
        Version version;
        Instant knownSince;
    };
    /// Confirms a change that this gateway committed at \a version, after a later read of the
    /// table. Returns nothing if a gateway that doesn't know this one may still serve.
    std::optional<AcceptedChange> confirmCommit(Version version, Instant now) const;
    /// Returns whether every gateway acts on \a change, or serves no requests with a key on older
    /// state.
    bool isEffectiveEverywhere(const AcceptedChange &change, Instant now) const;

    /// A share row and when its current version became known here.
    struct ObservedShareRow
    {
        ShareRow row;
        Version version;
        Instant knownSince;
        std::optional<Version> joinVersion; ///< Of this gateway at that time.
    };
    const std::map<AccountId, ObservedShareRow> &shareRows() const { return m_shares; }

private:
    struct Member
    {
        MemberRow row;
        Version version;
        Instant heartbeatAt; // this gateway's time when the heartbeat count last changed
        std::optional<Instant> answeredAt; // start of the last call that it answered
        Version stateVersion; // version that it reported to know
        Version appliedVersion; // version that it reported to act on
        bool announcedLeave = false; // in a call to this gateway
    };

    struct UnjoinedCaller
    {
        Incarnation incarnation;
        Instant calledAt;
    };

    void applyRows(std::vector<StateRow> rows, Instant now);
    bool mayUnjoinedCallerServe(Instant now) const;
    void applyMemberRow(const StateRow &row, Instant now);
    void applyShareRow(const StateRow &row, Instant now);
    std::optional<Instant> oldestPeerResponseAt(Instant now) const;

    MemberRow m_self;
    const ConsistencyTimeouts m_timeouts;
    StateCache m_cache;
    std::map<InstanceId, Member> m_members; // without this gateway
    std::map<AccountId, ObservedShareRow> m_shares;
    Version m_ownRowVersion; // of this gateway's own row
    std::int64_t m_ownHeartbeat = 0;
    std::optional<Version> m_joinVersion;
    std::optional<Instant> m_stateReadAt; // start of the last read in m_cache
    std::optional<Instant> m_ownReadAt; // start of this gateway's own last read
    std::optional<Instant> m_steadyReadsSince; // reads have had no long gap
    std::optional<Instant> m_membershipConfirmedAt; // last heartbeat that confirms m_members
    std::optional<Instant> m_ownHeartbeatAt;
    std::map<InstanceId, UnjoinedCaller> m_unjoinedCallers; // that called before they joined
};

} // namespace quetzalyoke

#endif
