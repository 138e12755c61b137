#include "Core/State/ClusterView.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

void raiseTo(std::optional<Instant> &latest, Instant value)
{
    if (!latest || *latest < value)
        latest = value;
}

} // namespace

ClusterView::ClusterView(const MemberRow &self, const ConsistencyTimeouts &limits)
    : m_self(self), m_limits(limits)
{ }

void ClusterView::setAddresses(const std::string &door, const std::string &http)
{
    m_self.thriftAddress = door;
    m_self.httpAddress = http;
}

void ClusterView::onTableRead(const std::vector<StateRow> &rows, Instant startedAt, Instant now)
{
    applyRows(rows, now);
    if (!m_ownReadAt || startedAt - *m_ownReadAt > m_limits.maxStateAge)
        m_readingSince = now;
    m_ownReadAt = startedAt;
    raiseTo(m_stateReadAt, startedAt);
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
    raiseTo(m_ownHeartbeatAt, startedAt);
}

// A gateway that is silent for the whole tolerance has stopped serving unless it reads the
// table, and then it sees this write and joins again.
std::optional<ConditionalWrite> ClusterView::memberRemovalWrite(Instant now) const
{
    if (!mayAcceptChanges(now))
        return std::nullopt;
    for (const auto &[instance, member] : m_members) {
        if (member.row.hasLeft)
            continue;
        if (now - member.heartbeatAt <= m_limits.outageTolerance + m_limits.safetyMargin)
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

// The ages are counted back from the start of the call, which came before the other gateway's
// answer: so they can only be taken for longer than they are.
void ClusterView::onPeerResponse(const PeerStatus &response, const std::vector<StateRow> &rows,
                                 Instant startedAt, Instant now)
{
    applyRows(rows, now);
    if (m_cache.version() < response.stateVersion)
        return;
    if (response.tableReadAge)
        raiseTo(m_stateReadAt, startedAt - *response.tableReadAge);
    if (response.heartbeatAge)
        raiseTo(m_membershipConfirmedAt, startedAt - *response.heartbeatAge);
    const auto it = m_members.find(response.instance);
    if (it == m_members.end())
        return;
    // Another incarnation may have forgotten what the known one had accepted.
    if (it->second.row.incarnation != response.incarnation)
        return;
    raiseTo(it->second.answeredAt, startedAt);
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
    // What it had accepted is known here, and it accepts no more.
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
    if (it == m_members.end() || !m_readingSince)
        return false;
    return now - std::max(it->second.heartbeatAt, *m_readingSince) > m_limits.heartbeatTimeout;
}

bool ClusterView::hasLeft(const InstanceId &instance) const
{
    const auto it = m_members.find(instance);
    return it != m_members.end() && it->second.row.hasLeft;
}

bool ClusterView::hasRecentTableRead(Instant now) const
{
    return m_ownReadAt && now - *m_ownReadAt <= m_limits.maxStateAge;
}

std::optional<Instant> ClusterView::oldestPeerResponseAt(Instant now) const
{
    Instant earliest = now;
    for (const auto &[instance, member] : m_members) {
        if (member.row.hasLeft || member.announcedLeave)
            continue;
        if (!member.answeredAt)
            return std::nullopt;
        earliest = std::min(earliest, *member.answeredAt);
    }
    return earliest;
}

// Any change is accepted by a gateway, so whoever has heard from all of them knows all changes.
// A gateway that is not known here may accept none until the heartbeat behind m_memberAt has
// been silent for the whole tolerance.
std::optional<Instant> ClusterView::freshUntil(Instant now) const
{
    std::optional<Instant> until;
    // A gateway that has not joined is unknown to those that accept changes.
    if (m_stateReadAt && m_joinVersion)
        until = *m_stateReadAt + m_limits.maxStateAge;
    std::optional<Instant> memberAt = m_membershipConfirmedAt;
    if (m_joinVersion && m_ownHeartbeatAt)
        raiseTo(memberAt, *m_ownHeartbeatAt);
    const auto answeredAt = oldestPeerResponseAt(now);
    if (memberAt && answeredAt) {
        raiseTo(until,
                std::min(*answeredAt + m_limits.maxStateAge, *memberAt + m_limits.outageTolerance));
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
        if (now - member.heartbeatAt <= m_limits.outageTolerance + m_limits.safetyMargin)
            return false;
    }
    return true;
}

// The read after the commit shows every gateway that had joined before the commit, and that this
// gateway was still a member then: so whoever serves on older state knows this gateway.
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
    const Duration longest = m_limits.maxStateAge + m_limits.safetyMargin;
    if (now - change.knownSince > longest)
        return true;
    if (mayUnjoinedCallerServe(now))
        return false;
    for (const auto &[instance, member] : m_members) {
        // One that was taken for dead may not know that yet.
        const bool gone = member.row.hasLeft && now - member.heartbeatAt > longest;
        if (!gone && member.appliedVersion < change.version)
            return false;
    }
    return true;
}

bool ClusterView::mayUnjoinedCallerServe(Instant now) const
{
    const Duration longest = m_limits.maxStateAge + m_limits.safetyMargin;
    return std::any_of(
        m_unjoinedCallers.begin(), m_unjoinedCallers.end(),
        [now, longest](const auto &it) { return now - it.second.calledAt <= longest; });
}

// In the order of their versions, so that a row that can't be read leaves no gap below version().
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
    const MemberRow read = MemberRow::fromJson(row.value);
    if (read.instance == m_self.instance) {
        m_ownRowVersion = row.version;
        m_ownHeartbeat = read.heartbeatCount;
        const bool joined = read.incarnation == m_self.incarnation && !read.hasLeft;
        if (!joined)
            m_joinVersion = std::nullopt;
        else if (!m_joinVersion)
            m_joinVersion = row.version;
        return;
    }
    const auto stranger = m_unjoinedCallers.find(read.instance);
    if (stranger != m_unjoinedCallers.end() && stranger->second.incarnation == read.incarnation)
        m_unjoinedCallers.erase(stranger);
    Member &member = m_members[read.instance];
    if (member.row.incarnation != read.incarnation) {
        member.answeredAt = std::nullopt;
        member.stateVersion = Version();
        member.appliedVersion = Version();
        member.announcedLeave = false;
    }
    member.heartbeatAt = now;
    member.row = read;
    member.version = row.version;
}

void ClusterView::applyShareRow(const StateRow &row, Instant now)
{
    m_shares[ShareRow::accountOf(row.key)]
        = {ShareRow::fromJson(row.value), row.version, now, m_joinVersion};
}

} // namespace quetzalyoke
