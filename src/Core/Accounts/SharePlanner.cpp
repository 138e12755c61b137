#include "Core/Accounts/SharePlanner.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr Duration longestMemory = std::chrono::seconds(5); // of what a peer said of its demand
constexpr Duration shortestInterval = std::chrono::seconds(1); // between two moves of an account
constexpr std::int64_t leastMoveDivisor = 50; // a smaller piece of the whole share isn't moved
constexpr std::int64_t leastChangeDivisor = 6; // nor a smaller piece of the own part
constexpr std::int64_t idleDemandDivisor = 20; // of the rate: counts as everybody's demand

AccountWorkload demandOf(const std::vector<AccountWorkload> &demands, const AccountId &account)
{
    for (const AccountWorkload &it : demands) {
        if (it.account == account)
            return it;
    }
    return {account, {}, {}, {}};
}

} // namespace

struct SharePlanner::Context
{
    const ClusterView &sync;
    AccountShares &shares;
    Instant now;
    std::mt19937_64 &random;
    std::vector<MemberRow> others;

    // One gateway of all, on average, acts on what all of them see.
    bool isChosenAtRandom() const
    {
        return std::uniform_int_distribution<std::size_t>(0, others.size())(random) == 0;
    }
};

ConditionalWrite ShareWrite::toConditionalWrite() const
{
    return {ShareRow::rowKey(account), row.toJson(), expectedVersion};
}

void SharePlanner::updatePeer(const PeerStatus &peer, Instant now)
{
    m_peers[peer.instance] = {peer, now};
    std::erase_if(m_peers,
                  [now](const auto &it) { return now - it.second.updatedAt > longestMemory; });
}

std::vector<ShareWrite> SharePlanner::planWrites(const ClusterView &sync, AccountShares &shares,
                                                 const std::map<AccountId, AccountEntry> &accounts,
                                                 Instant now, std::mt19937_64 &random) const
{
    std::vector<ShareWrite> writes;
    if (!sync.mayAcceptChanges(now) || !sync.hasRecentTableRead(now))
        return writes;
    const Context context{sync, shares, now, random, sync.activePeers()};
    for (const auto &[id, entry] : accounts) {
        if (writes.size() == maxWrites)
            break;
        auto write = planAccount(context, entry);
        if (write)
            writes.push_back(std::move(*write));
    }
    return writes;
}

std::optional<ShareWrite> SharePlanner::planAccount(const Context &context,
                                                    const AccountEntry &entry) const
{
    const auto it = context.sync.shareRows().find(entry.name);
    if (it == context.sync.shareRows().end()) {
        if (!context.isChosenAtRandom())
            return std::nullopt;
        return createRow(context, entry.name);
    }
    const ClusterView::ObservedShareRow &known = it->second;
    ShareRow row = known.row;
    row.startsFull = false;
    // A write in doubt can't take effect any more once another one has replaced its row.
    const auto inDoubt = context.shares.pendingShrinkVersion(entry.name);
    if (inDoubt == known.version || reclaimShares(context, known, row))
        return ShareWrite{entry.name, row, known.version, std::nullopt};
    return transferSurplus(context, entry, known);
}

ShareWrite SharePlanner::createRow(const Context &context, const AccountId &account)
{
    ShareWrite write;
    write.account = account;
    write.row.startsFull = true;
    std::vector<MemberRow> members;
    for (const MemberRow &it : context.others) {
        if (!context.sync.isHeartbeatOverdue(it.instance, context.now))
            members.push_back(it);
    }
    const auto n = static_cast<std::int64_t>(members.size()) + 1;
    ShareWeight left = ShareRow::fullWeight;
    for (const MemberRow &it : members) {
        const ShareWeight part(ShareRow::fullWeight.count() / n);
        write.row.shares[it.instance] = {part, it.incarnation};
        left -= part;
    }
    write.row.shares[context.sync.instance()] = {left, context.sync.incarnation()};
    return write;
}

// A part goes from a gone gateway in two steps. First the row says that it is revoked; after
// the freshness has passed since then, its former holder either knows that or spends nothing.
bool SharePlanner::reclaimShares(const Context &context, const ClusterView::ObservedShareRow &known,
                                 ShareRow &row) const
{
    const ClusterView &sync = context.sync;
    bool changed = false;
    // An earlier incarnation of this gateway is dead, but what it lent may still be handed out.
    const bool loansEnded = context.now - known.knownSince
        > AccountShares::loanLifetime + sync.timeouts().safetyMargin;
    const auto own = row.shares.find(sync.instance());
    if (own != row.shares.end() && own->second.incarnation != sync.incarnation() && loansEnded) {
        own->second.incarnation = sync.incarnation();
        changed = true;
    }
    const Duration needed = sync.timeouts().maxStateAge + sync.timeouts().safetyMargin;
    const bool settled = context.now - known.knownSince > needed && known.joinVersion
        && known.joinVersion == sync.joinVersion();
    if (!row.revoked.empty() && settled && context.isChosenAtRandom()) {
        GatewayShare &part = row.shares[sync.instance()];
        part.incarnation = sync.incarnation();
        for (const auto &[instance, weight] : row.revoked)
            part.weight += weight;
        row.revoked.clear();
        changed = true;
    }
    for (auto it = row.shares.begin(); it != row.shares.end();) {
        const InstanceId instance = it->first;
        const bool gone = instance != sync.instance()
            && (!sync.isKnownMember(instance) || sync.hasLeft(instance)
                || sync.isHeartbeatOverdue(instance, context.now));
        if (!gone || it->second.weight == ShareWeight() || !context.isChosenAtRandom()) {
            ++it;
            continue;
        }
        row.revoked[instance] += it->second.weight;
        it = row.shares.erase(it);
        changed = true;
    }
    return changed;
}

std::optional<ShareWrite>
SharePlanner::transferSurplus(const Context &context, const AccountEntry &entry,
                              const ClusterView::ObservedShareRow &known) const
{
    if (context.now - known.knownSince < shortestInterval)
        return std::nullopt;
    const ClusterView &sync = context.sync;
    const AccountWorkload own = demandOf(context.shares.demands(), entry.name);
    const ShareWeight held = known.row.weightOf(sync.instance(), sync.incarnation());
    const ShareWeight giveable
        = std::min(held, context.shares.transferableWeight(entry.name, context.now));
    ShareWeight largest;
    const MemberRow *receiver = nullptr;
    for (const MemberRow &it : context.others) {
        const auto peer = m_peers.find(it.instance);
        if (peer == m_peers.end() || peer->second.status.incarnation != it.incarnation)
            continue;
        if (context.now - peer->second.updatedAt > longestMemory || peer->second.status.hasLeft
            || sync.isHeartbeatOverdue(it.instance, context.now))
            continue;
        AccountWorkload mine = own;
        AccountWorkload theirs = demandOf(peer->second.status.demands, entry.name);
        mine.weight = held;
        theirs.weight = known.row.weightOf(it.instance, it.incarnation);
        const ShareWeight keep = fairWeight(entry, mine, theirs, context.others.size() + 1);
        const ShareWeight surplus = std::min(held - keep, giveable);
        if (surplus > largest) {
            largest = surplus;
            receiver = &it;
        }
    }
    const std::int64_t least = std::max(ShareRow::fullWeight.count() / leastMoveDivisor
                                            / static_cast<std::int64_t>(context.others.size() + 1),
                                        held.count() / leastChangeDivisor);
    if (receiver == nullptr || largest.count() < std::max<std::int64_t>(1, least))
        return std::nullopt;
    ShareWrite write{entry.name, known.row, known.version, held - largest};
    write.row.startsFull = false;
    write.row.shares[sync.instance()].weight = held - largest;
    GatewayShare &part = write.row.shares[receiver->instance];
    // What an earlier incarnation held stays with the instance.
    part.weight += largest;
    part.incarnation = receiver->incarnation;
    return write;
}

ShareWeight SharePlanner::fairWeight(const AccountEntry &entry, const AccountWorkload &own,
                                     const AccountWorkload &other, std::size_t members) const
{
    const std::int64_t both = own.weight.count() + other.weight.count();
    if (m_policy == SharePolicy::Static) {
        const std::int64_t equal
            = ShareRow::fullWeight.count() / static_cast<std::int64_t>(members);
        const std::int64_t lacking = std::max<std::int64_t>(0, equal - other.weight.count());
        return ShareWeight(std::max(equal, own.weight.count() - lacking));
    }
    const double idle = std::max(1.0, static_cast<double>(entry.rate.count()) / idleDemandDivisor);
    const double ownDemand = static_cast<double>(own.demand.count()) + idle;
    const double otherDemand = static_cast<double>(other.demand.count()) + idle;
    return ShareWeight(static_cast<std::int64_t>(static_cast<double>(both) * ownDemand
                                                 / (ownDemand + otherDemand)));
}

std::vector<InstanceId> SharePlanner::possibleLenders(const AccountId &account, Instant now) const
{
    std::vector<std::pair<Tokens, InstanceId>> levels;
    for (const auto &[instance, peer] : m_peers) {
        const AccountWorkload demand = demandOf(peer.status.demands, account);
        if (now - peer.updatedAt <= longestMemory && demand.level > Tokens())
            levels.emplace_back(demand.level, instance);
    }
    std::sort(levels.rbegin(), levels.rend());
    std::vector<InstanceId> instances;
    for (const auto &[level, instance] : levels)
        instances.push_back(instance);
    return instances;
}

} // namespace quetzalyoke
