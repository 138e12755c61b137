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

/// \brief Durations that the promises about shared state rest on; the same on every gateway.
struct ConsistencyTimeouts
{
    Duration maxStateAge; ///< Keyed traffic needs knowledge no older than this.
    Duration outageTolerance; ///< How long gateways may go on while the table is out.
    Duration safetyMargin; ///< Added by those that wait for another gateway's limit to pass.
    Duration
        heartbeatTimeout; ///< After this a gateway without a new heartbeat counts as probably dead.
};

/// \brief What one gateway knows of the shared state, how recent that is, and who the others are.
///
/// Takes the outcome of reads, heartbeats and calls of other gateways as events; does no I/O.
/// A member is fresh while a read of the table (its own or another gateway's) is recent. Any
/// gateway is fresh while every gateway it knows has answered recently and no unknown one can
/// have accepted a change.
class ClusterView
{
public:
    /// \a self names this gateway; its heartbeat and seen fields are ignored.
    ClusterView(const MemberRow &self, const ConsistencyTimeouts &timeouts);

    const InstanceId &instance() const { return m_self.instance; }
    Incarnation incarnation() const { return m_self.incarnation; }
    const ConsistencyTimeouts &timeouts() const { return m_limits; }
    const StateCache &state() const { return m_cache; }
    /// Names this gateway's addresses once they are bound.
    void setAddresses(const std::string &door, const std::string &http);

    /// Takes all rows above a version that state() had reached at \a startedAt.
    void onTableRead(const std::vector<StateRow> &rows, Instant startedAt, Instant now);
    /// Next write of this gateway's own row; nothing once it has left.
    ConditionalWrite heartbeatWrite(bool leaving) const;
    /// A heartbeat begun at \a startedAt has taken effect.
    void onHeartbeatWritten(Instant startedAt);
    /// Marks a gateway as gone whose time to serve without the table has passed.
    std::optional<ConditionalWrite> memberRemovalWrite(Instant now) const;

    /// What this gateway tells others; demands are left to the caller.
    PeerStatus status(Instant now) const;
    /// Whether rows must be fetched before \a response counts.
    bool needsRowsFrom(const PeerStatus &response) const;
    /// Takes the answer to a call begun at \a startedAt, after the rows that it needed.
    void onPeerResponse(const PeerStatus &response, const std::vector<StateRow> &rows,
                        Instant startedAt, Instant now);
    /// Another gateway has called this one, maybe to say that it serves no more.
    void onPeerCall(const PeerStatus &caller, Instant now);

    /// The other gateways that have not left.
    std::vector<MemberRow> activePeers() const;
    /// Whether \a instance, while the table could be read, has not written a heartbeat for
    /// longer than ConsistencyTimeouts::silence.
    bool isHeartbeatOverdue(const InstanceId &instance, Instant now) const;
    bool hasLeft(const InstanceId &instance) const;
    bool isKnownMember(const InstanceId &instance) const { return m_members.contains(instance); }
    /// Whether this gateway itself has read the table within the freshness.
    bool hasRecentTableRead(Instant now) const;

    /// Last instant at which keyed traffic may be served on what is known; nothing: not at all.
    std::optional<Instant> freshUntil(Instant now) const;
    bool isFresh(Instant now) const;
    /// Whether this gateway may accept changes: every gateway that may serve knows it.
    bool mayAcceptChanges(Instant now) const;
    /// Version at which this incarnation joined; nothing while it is no member.
    std::optional<Version> joinVersion() const { return m_joinVersion; }

    /// A change that this gateway has accepted: committed, then read back.
    struct AcceptedChange
    {
        Version version;
        Instant knownSince;
    };
    /// Takes a change that this gateway has committed, after a later read of the table; nothing
    /// where another gateway may serve without this one's knowledge.
    std::optional<AcceptedChange> confirmCommit(Version version, Instant now) const;
    /// Whether every gateway acts on \a change or serves no keyed traffic on older state.
    bool isEffectiveEverywhere(const AcceptedChange &change, Instant now) const;

    /// A share row with the moment it became known here as it is.
    struct ObservedShareRow
    {
        ShareRow row;
        Version version;
        Instant knownSince;
        std::optional<Version> joinVersion; ///< Of this gateway at that moment.
    };
    const std::map<AccountId, ObservedShareRow> &shareRows() const { return m_shares; }

private:
    struct Member
    {
        MemberRow row;
        Version version;
        Instant heartbeatAt; // when its counter was last seen to change, by this gateway's clock
        std::optional<Instant> answeredAt; // start of the last call that it answered
        Version stateVersion; // state that it said it knows
        Version appliedVersion; // state that it said it acts on
        bool announcedLeave = false; // as it said itself
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
    const ConsistencyTimeouts m_limits;
    StateCache m_cache;
    std::map<InstanceId, Member> m_members; // without this gateway
    std::map<AccountId, ObservedShareRow> m_shares;
    Version m_ownRowVersion; // of this gateway's own row
    std::int64_t m_ownHeartbeat = 0;
    std::optional<Version> m_joinVersion;
    std::optional<Instant> m_stateReadAt; // start of the last read that this state contains
    std::optional<Instant> m_ownReadAt; // start of this gateway's own last read
    std::optional<Instant> m_readingSince; // since when this gateway has read without a long gap
    std::optional<Instant>
        m_membershipConfirmedAt; // start of the last heartbeat that vouches for m_members
    std::optional<Instant> m_ownHeartbeatAt;
    std::map<InstanceId, UnjoinedCaller>
        m_unjoinedCallers; // gateways that called before they had joined
};

} // namespace quetzalyoke

#endif
