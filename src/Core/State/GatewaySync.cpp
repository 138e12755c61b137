#include "Core/State/GatewaySync.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

void raise(std::optional<Instant> &latest, Instant value)
{
    if (!latest || *latest < value)
        latest = value;
}

} // namespace

GatewaySync::GatewaySync(const MemberRow &self, const SyncLimits &limits)
    : m_self(self), m_limits(limits)
{ }

void GatewaySync::setAddresses(const std::string &door, const std::string &http)
{
    m_self.doorAddress = door;
    m_self.httpAddress = http;
}

void GatewaySync::onTableRead(const std::vector<StateRow> &rows, Instant startedAt, Instant now)
{
    apply(rows, now);
    if (!m_lastReadAt || startedAt - *m_lastReadAt > m_limits.freshness)
        m_readingSince = now;
    m_lastReadAt = startedAt;
    raise(m_readAt, startedAt);
}

ConditionalWrite GatewaySync::heartbeatWrite(bool leaving) const
{
    MemberRow row = m_self;
    row.heartbeat = m_ownHeartbeat + 1;
    row.seen = m_cache.version();
    row.leaving = leaving;
    return {MemberRow::rowName(row.instance), row.toJson(), m_ownVersion};
}

void GatewaySync::onHeartbeatWritten(Instant startedAt)
{
    raise(m_ownHeartbeatAt, startedAt);
}

// A gateway that is silent for the whole tolerance has stopped serving unless it reads the
// table, and then it sees this write and joins again.
std::optional<ConditionalWrite> GatewaySync::removalWrite(Instant now) const
{
    if (!mayAccept(now))
        return std::nullopt;
    for (const auto &[instance, member] : m_members) {
        if (member.row.leaving)
            continue;
        if (now - member.heartbeatAt <= m_limits.outageTolerance + m_limits.margin)
            continue;
        MemberRow row = member.row;
        row.leaving = true;
        return ConditionalWrite{MemberRow::rowName(instance), row.toJson(), member.version};
    }
    return std::nullopt;
}

PeerStatus GatewaySync::status(Instant now) const
{
    PeerStatus status;
    status.instance = m_self.instance;
    status.incarnation = m_self.incarnation;
    status.stateVersion = m_cache.version();
    status.inForce = m_cache.version();
    if (m_readAt)
        status.tableReadAge = now - *m_readAt;
    if (m_joinedAt && m_ownHeartbeatAt)
        status.memberAge = now - *m_ownHeartbeatAt;
    return status;
}

bool GatewaySync::needsRowsOf(const PeerStatus &answer) const
{
    return answer.stateVersion > m_cache.version();
}

// The ages are counted back from the start of the call, which came before the other gateway's
// answer: so they can only be taken for longer than they are.
void GatewaySync::onPeerAnswer(const PeerStatus &answer, const std::vector<StateRow> &rows,
                               Instant startedAt, Instant now)
{
    apply(rows, now);
    if (m_cache.version() < answer.stateVersion)
        return;
    if (answer.tableReadAge)
        raise(m_readAt, startedAt - *answer.tableReadAge);
    if (answer.memberAge)
        raise(m_memberAt, startedAt - *answer.memberAge);
    const auto it = m_members.find(answer.instance);
    if (it == m_members.end())
        return;
    // Another incarnation may have forgotten what the known one had accepted.
    if (it->second.row.incarnation != answer.incarnation)
        return;
    raise(it->second.answeredAt, startedAt);
    it->second.knows = std::max(it->second.knows, answer.stateVersion);
    it->second.inForce = std::max(it->second.inForce, answer.inForce);
}

void GatewaySync::onPeerCall(const PeerStatus &caller, Instant now)
{
    const auto it = m_members.find(caller.instance);
    const bool member = it != m_members.end() && !it->second.row.leaving
        && it->second.row.incarnation == caller.incarnation;
    if (!member)
        m_strangers[caller.instance] = {caller.incarnation, now};
    // What it had accepted is known here, and it accepts no more.
    else if (caller.leaving && caller.stateVersion <= m_cache.version())
        it->second.left = true;
}

std::vector<MemberRow> GatewaySync::others() const
{
    std::vector<MemberRow> rows;
    for (const auto &[instance, member] : m_members) {
        if (!member.row.leaving && !member.left)
            rows.push_back(member.row);
    }
    return rows;
}

bool GatewaySync::isSilent(const InstanceId &instance, Instant now) const
{
    const auto it = m_members.find(instance);
    if (it == m_members.end() || !m_readingSince)
        return false;
    return now - std::max(it->second.heartbeatAt, *m_readingSince) > m_limits.silence;
}

bool GatewaySync::hasLeft(const InstanceId &instance) const
{
    const auto it = m_members.find(instance);
    return it != m_members.end() && it->second.row.leaving;
}

bool GatewaySync::readsTable(Instant now) const
{
    return m_lastReadAt && now - *m_lastReadAt <= m_limits.freshness;
}

std::optional<Instant> GatewaySync::everybodyAnsweredAt(Instant now) const
{
    Instant earliest = now;
    for (const auto &[instance, member] : m_members) {
        if (member.row.leaving || member.left)
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
std::optional<Instant> GatewaySync::freshUntil(Instant now) const
{
    std::optional<Instant> until;
    // A gateway that has not joined is unknown to those that accept changes.
    if (m_readAt && m_joinedAt)
        until = *m_readAt + m_limits.freshness;
    std::optional<Instant> memberAt = m_memberAt;
    if (m_joinedAt && m_ownHeartbeatAt)
        raise(memberAt, *m_ownHeartbeatAt);
    const auto answeredAt = everybodyAnsweredAt(now);
    if (memberAt && answeredAt) {
        raise(until,
              std::min(*answeredAt + m_limits.freshness, *memberAt + m_limits.outageTolerance));
    }
    return until;
}

bool GatewaySync::isFresh(Instant now) const
{
    const auto until = freshUntil(now);
    return until && now <= *until;
}

bool GatewaySync::mayAccept(Instant now) const
{
    if (!m_joinedAt)
        return false;
    for (const auto &[instance, member] : m_members) {
        if (member.row.leaving || std::max(member.row.seen, member.knows) >= *m_joinedAt)
            continue;
        if (now - member.heartbeatAt <= m_limits.outageTolerance + m_limits.margin)
            return false;
    }
    return true;
}

// The read after the commit shows every gateway that had joined before the commit, and that this
// gateway was still a member then: so whoever serves on older state knows this gateway.
std::optional<GatewaySync::AcceptedChange> GatewaySync::confirm(Version version, Instant now) const
{
    if (m_cache.version() < version || !m_joinedAt || *m_joinedAt >= version || !mayAccept(now))
        return std::nullopt;
    return AcceptedChange{version, now};
}

bool GatewaySync::isInForce(const AcceptedChange &change, Instant now) const
{
    const Duration longest = m_limits.freshness + m_limits.margin;
    if (now - change.knownSince > longest)
        return true;
    if (mayStrangerServe(now))
        return false;
    for (const auto &[instance, member] : m_members) {
        // One that was taken for dead may not know that yet.
        const bool gone = member.row.leaving && now - member.heartbeatAt > longest;
        if (!gone && member.inForce < change.version)
            return false;
    }
    return true;
}

bool GatewaySync::mayStrangerServe(Instant now) const
{
    const Duration longest = m_limits.freshness + m_limits.margin;
    return std::any_of(m_strangers.begin(), m_strangers.end(), [now, longest](const auto &it) {
        return now - it.second.calledAt <= longest;
    });
}

// In the order of their versions, so that a row that can't be read leaves no gap below version().
void GatewaySync::apply(std::vector<StateRow> rows, Instant now)
{
    std::sort(rows.begin(), rows.end(),
              [](const StateRow &a, const StateRow &b) { return a.version < b.version; });
    for (const StateRow &it : rows) {
        if (!m_cache.apply(it))
            continue;
        if (it.key.starts_with(MemberRow::prefix))
            applyMember(it, now);
        else if (it.key.starts_with(ShareRow::prefix))
            applyShare(it, now);
    }
}

void GatewaySync::applyMember(const StateRow &row, Instant now)
{
    const MemberRow read = MemberRow::fromJson(row.value);
    if (read.instance == m_self.instance) {
        m_ownVersion = row.version;
        m_ownHeartbeat = read.heartbeat;
        const bool joined = read.incarnation == m_self.incarnation && !read.leaving;
        if (!joined)
            m_joinedAt = std::nullopt;
        else if (!m_joinedAt)
            m_joinedAt = row.version;
        return;
    }
    const auto stranger = m_strangers.find(read.instance);
    if (stranger != m_strangers.end() && stranger->second.incarnation == read.incarnation)
        m_strangers.erase(stranger);
    Member &member = m_members[read.instance];
    if (member.row.incarnation != read.incarnation) {
        member.answeredAt = std::nullopt;
        member.knows = Version();
        member.inForce = Version();
        member.left = false;
    }
    member.heartbeatAt = now;
    member.row = read;
    member.version = row.version;
}

void GatewaySync::applyShare(const StateRow &row, Instant now)
{
    m_shares[ShareRow::accountOf(row.key)]
        = {ShareRow::fromJson(row.value), row.version, now, m_joinedAt};
}

} // namespace quetzalyoke
