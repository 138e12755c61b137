#include "Core/State/ClusterView.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

void setToLater(std::optional<Instant> &latest, Instant value)
{
    if (!latest || *latest < value)
        latest = value;
}

} // namespace

ClusterView::ClusterView(const MemberRow &self, const ConsistencyTimeouts &timeouts)
    : m_self(self), m_timeouts(timeouts)
{ }

void ClusterView::setAddresses(const std::string &thriftAddress, const std::string &httpAddress)
{
    m_self.thriftAddress = thriftAddress;
    m_self.httpAddress = httpAddress;
}

void ClusterView::onTableRead(const std::vector<StateRow> &rows, Instant startedAt, Instant now)
{
    applyRows(rows, now);
    if (!m_ownReadAt || startedAt - *m_ownReadAt > m_timeouts.maxStateAge)
        m_steadyReadsSince = now;
    m_ownReadAt = startedAt;
    setToLater(m_stateReadAt, startedAt);
}

ConditionalWrite ClusterView::heartbeatWrite(bool leaving) const
{
    MemberRow row = m_self;
    row.heartbeatCount = m_ownHeartbeat + 1;
    row.stateVersion = m_cache.version();
    row.hasLeft = leaving;
    return {MemberRow::rowKey(row.instance), row.toJson(), m_ownRowVersion};
}

void ClusterView::onHeartbeatWritten(Instant startedAt)
{
    setToLater(m_ownHeartbeatAt, startedAt);
}

// A gateway without a heartbeat for longer than outageTolerance has stopped serving unless it reads
// the table. In that case it sees this write and joins again.
std::optional<ConditionalWrite> ClusterView::memberRemovalWrite(Instant now) const
{
    if (!mayAcceptChanges(now))
        return std::nullopt;
    for (const auto &[instance, member] : m_members) {
        if (member.row.hasLeft)
            continue;
        if (now - member.heartbeatAt <= m_timeouts.outageTolerance + m_timeouts.safetyMargin)
            continue;
        MemberRow row = member.row;
        row.hasLeft = true;
        return ConditionalWrite{MemberRow::rowKey(instance), row.toJson(), member.version};
    }
    return std::nullopt;
}

PeerStatus ClusterView::status(Instant now) const
{
    PeerStatus status;
    status.instance = m_self.instance;
    status.incarnation = m_self.incarnation;
    status.stateVersion = m_cache.version();
    status.appliedVersion = m_cache.version();
    if (m_stateReadAt)
        status.tableReadAge = now - *m_stateReadAt;
    if (m_joinVersion && m_ownHeartbeatAt)
        status.heartbeatAge = now - *m_ownHeartbeatAt;
    return status;
}

bool ClusterView::needsRowsFrom(const PeerStatus &response) const
{
    return response.stateVersion > m_cache.version();
}

// The ages in the response are counted back from the start of the call. Since the call began before
// the other gateway responded, they can only be overestimated.
void ClusterView::onPeerResponse(const PeerStatus &response, const std::vector<StateRow> &rows,
                                 Instant startedAt, Instant now)
{
    applyRows(rows, now);
    if (m_cache.version() < response.stateVersion)
        return;
    if (response.tableReadAge)
        setToLater(m_stateReadAt, startedAt - *response.tableReadAge);
    if (response.heartbeatAge)
        setToLater(m_membershipConfirmedAt, startedAt - *response.heartbeatAge);
    const auto it = m_members.find(response.instance);
    if (it == m_members.end())
        return;
    // Another incarnation may have forgotten the changes that the known incarnation accepted.
    if (it->second.row.incarnation != response.incarnation)
        return;
    setToLater(it->second.answeredAt, startedAt);
    it->second.stateVersion = std::max(it->second.stateVersion, response.stateVersion);
    it->second.appliedVersion = std::max(it->second.appliedVersion, response.appliedVersion);
}

void ClusterView::onPeerCall(const PeerStatus &caller, Instant now)
{
    const auto it = m_members.find(caller.instance);
    const bool member = it != m_members.end() && !it->second.row.hasLeft
        && it->second.row.incarnation == caller.incarnation;
    if (!member)
        m_unjoinedCallers[caller.instance] = {caller.incarnation, now};
    // All changes that it accepted are known here, and it accepts no more.
    else if (caller.hasLeft && caller.stateVersion <= m_cache.version())
        it->second.announcedLeave = true;
}

std::vector<MemberRow> ClusterView::activePeers() const
{
    std::vector<MemberRow> rows;
    for (const auto &[instance, member] : m_members) {
        if (!member.row.hasLeft && !member.announcedLeave)
            rows.push_back(member.row);
    }
    return rows;
}

bool ClusterView::isHeartbeatOverdue(const InstanceId &instance, Instant now) const
{
    const auto it = m_members.find(instance);
    if (it == m_members.end() || !m_steadyReadsSince)
        return false;
    return now - std::max(it->second.heartbeatAt, *m_steadyReadsSince)
        > m_timeouts.heartbeatTimeout;
}

bool ClusterView::hasLeft(const InstanceId &instance) const
{
    const auto it = m_members.find(instance);
    return it != m_members.end() && it->second.row.hasLeft;
}

bool ClusterView::hasRecentTableRead(Instant now) const
{
    return m_ownReadAt && now - *m_ownReadAt <= m_timeouts.maxStateAge;
}

std::optional<Instant> ClusterView::oldestPeerResponseAt(Instant now) const
{
    Instant oldest = now;
    for (const auto &[instance, member] : m_members) {
        if (member.row.hasLeft || member.announcedLeave)
            continue;
        if (!member.answeredAt)
            return std::nullopt;
        oldest = std::min(oldest, *member.answeredAt);
    }
    return oldest;
}

// Every change is accepted by some gateway, so a gateway that has responses from all of them knows
// all changes. A gateway that is unknown here may not accept changes until the last heartbeat that
// confirms the membership is older than outageTolerance.
std::optional<Instant> ClusterView::freshUntil(Instant now) const
{
    std::optional<Instant> until;
    // A gateway that has not joined is unknown to the gateways that accept changes.
    if (m_stateReadAt && m_joinVersion)
        until = *m_stateReadAt + m_timeouts.maxStateAge;
    std::optional<Instant> membershipAt = m_membershipConfirmedAt;
    if (m_joinVersion && m_ownHeartbeatAt)
        setToLater(membershipAt, *m_ownHeartbeatAt);
    const auto answeredAt = oldestPeerResponseAt(now);
    if (membershipAt && answeredAt) {
        setToLater(until,
                   std::min(*answeredAt + m_timeouts.maxStateAge,
                            *membershipAt + m_timeouts.outageTolerance));
    }
    return until;
}

bool ClusterView::isFresh(Instant now) const
{
    const auto until = freshUntil(now);
    return until && now <= *until;
}

bool ClusterView::mayAcceptChanges(Instant now) const
{
    if (!m_joinVersion)
        return false;
    for (const auto &[instance, member] : m_members) {
        if (member.row.hasLeft
            || std::max(member.row.stateVersion, member.stateVersion) >= *m_joinVersion)
            continue;
        if (now - member.heartbeatAt <= m_timeouts.outageTolerance + m_timeouts.safetyMargin)
            return false;
    }
    return true;
}

// The read after the commit shows every gateway that joined before the commit, and that this
// gateway was still a member then. So every gateway that serves on older state knows this gateway.
std::optional<ClusterView::AcceptedChange> ClusterView::confirmCommit(Version version,
                                                                      Instant now) const
{
    if (m_cache.version() < version || !m_joinVersion || *m_joinVersion >= version
        || !mayAcceptChanges(now))
        return std::nullopt;
    return AcceptedChange{version, now};
}

bool ClusterView::isEffectiveEverywhere(const AcceptedChange &change, Instant now) const
{
    const Duration maxAge = m_timeouts.maxStateAge + m_timeouts.safetyMargin;
    if (now - change.knownSince > maxAge)
        return true;
    if (mayUnjoinedCallerServe(now))
        return false;
    for (const auto &[instance, member] : m_members) {
        // A gateway that was marked as left by another one may not know that yet.
        const bool isGone = member.row.hasLeft && now - member.heartbeatAt > maxAge;
        if (!isGone && member.appliedVersion < change.version)
            return false;
    }
    return true;
}

bool ClusterView::mayUnjoinedCallerServe(Instant now) const
{
    const Duration maxAge = m_timeouts.maxStateAge + m_timeouts.safetyMargin;
    return std::any_of(
        m_unjoinedCallers.begin(), m_unjoinedCallers.end(),
        [now, maxAge](const auto &it) { return now - it.second.calledAt <= maxAge; });
}

// Rows are applied by ascending version, so that a row that can't be read leaves no gap below
// version().
void ClusterView::applyRows(std::vector<StateRow> rows, Instant now)
{
    std::sort(rows.begin(), rows.end(),
              [](const StateRow &a, const StateRow &b) { return a.version < b.version; });
    for (const StateRow &it : rows) {
        if (!m_cache.applyRow(it))
            continue;
        if (it.key.starts_with(MemberRow::rowKeyPrefix))
            applyMemberRow(it, now);
        else if (it.key.starts_with(ShareRow::rowKeyPrefix))
            applyShareRow(it, now);
    }
}

void ClusterView::applyMemberRow(const StateRow &row, Instant now)
{
    const MemberRow memberRow = MemberRow::fromJson(row.value);
    if (memberRow.instance == m_self.instance) {
        m_ownRowVersion = row.version;
        m_ownHeartbeat = memberRow.heartbeatCount;
        const bool isJoined = memberRow.incarnation == m_self.incarnation && !memberRow.hasLeft;
        if (!isJoined)
            m_joinVersion = std::nullopt;
        else if (!m_joinVersion)
            m_joinVersion = row.version;
        return;
    }
    const auto unjoinedCaller = m_unjoinedCallers.find(memberRow.instance);
    if (unjoinedCaller != m_unjoinedCallers.end()
        && unjoinedCaller->second.incarnation == memberRow.incarnation)
        m_unjoinedCallers.erase(unjoinedCaller);
    Member &member = m_members[memberRow.instance];
    if (member.row.incarnation != memberRow.incarnation) {
        member.answeredAt = std::nullopt;
        member.stateVersion = Version();
        member.appliedVersion = Version();
        member.announcedLeave = false;
    }
    member.heartbeatAt = now;
    member.row = memberRow;
    member.version = row.version;
}

void ClusterView::applyShareRow(const StateRow &row, Instant now)
{
    m_shares[ShareRow::accountOf(row.key)]
        = {ShareRow::fromJson(row.value), row.version, now, m_joinVersion};
}

} // namespace quetzalyoke
