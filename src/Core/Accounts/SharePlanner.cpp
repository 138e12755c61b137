#include "Core/Accounts/SharePlanner.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr Duration maxPeerStatusAge = std::chrono::seconds(5); // older demands are ignored
constexpr Duration minTransferInterval = std::chrono::seconds(1); // of one account
constexpr std::int64_t minTransferDivisor = 50; // of an equal share: smaller parts stay
constexpr std::int64_t minChangeDivisor = 6; // of the own share: smaller parts stay
constexpr std::int64_t idleDemandDivisor = 20; // of the rate: added to every demand

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
    const ClusterView &view;
    AccountShares &shares;
    Instant now;
    std::mt19937_64 &random;
    std::vector<MemberRow> peers;

    // On average one gateway acts, since all of them see the same state.
    bool isChosenAtRandom() const
    {
        return std::uniform_int_distribution<std::size_t>(0, peers.size())(random) == 0;
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
                  [now](const auto &it) { return now - it.second.updatedAt > maxPeerStatusAge; });
}

std::vector<ShareWrite> SharePlanner::planWrites(const ClusterView &view, AccountShares &shares,
                                                 const std::map<AccountId, AccountEntry> &accounts,
                                                 Instant now, std::mt19937_64 &random) const
{
    std::vector<ShareWrite> writes;
    if (!view.mayAcceptChanges(now) || !view.hasRecentTableRead(now))
        return writes;
    const Context context{view, shares, now, random, view.activePeers()};
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
    const auto it = context.view.shareRows().find(entry.name);
    if (it == context.view.shareRows().end()) {
        if (!context.isChosenAtRandom())
            return std::nullopt;
        return createRow(context, entry.name);
    }
    const ClusterView::ObservedShareRow &observed = it->second;
    ShareRow row = observed.row;
    row.startsFull = false;
    // A write with an unknown outcome can't take effect any more once another write has replaced
    // the row version that it expects.
    const auto inDoubt = context.shares.pendingShrinkVersion(entry.name);
    if (inDoubt == observed.version || reclaimShares(context, observed, row))
        return ShareWrite{entry.name, row, observed.version, std::nullopt};
    return transferSurplus(context, entry, observed);
}

ShareWrite SharePlanner::createRow(const Context &context, const AccountId &account)
{
    ShareWrite write;
    write.account = account;
    write.row.startsFull = true;
    std::vector<MemberRow> members;
    for (const MemberRow &it : context.peers) {
        if (!context.view.isHeartbeatOverdue(it.instance, context.now))
            members.push_back(it);
    }
    const auto n = static_cast<std::int64_t>(members.size()) + 1;
    ShareWeight remaining = ShareRow::fullWeight;
    for (const MemberRow &it : members) {
        const ShareWeight share(ShareRow::fullWeight.count() / n);
        write.row.shares[it.instance] = {share, it.incarnation};
        remaining -= share;
    }
    write.row.shares[context.view.instance()] = {remaining, context.view.incarnation()};
    return write;
}

// The share of a gateway that is gone is reclaimed in two steps. First the row marks the share as
// revoked. Once maxStateAge has passed since then, the former holder either knows that or spends
// nothing.
bool SharePlanner::reclaimShares(const Context &context,
                                 const ClusterView::ObservedShareRow &observed, ShareRow &row) const
{
    const ClusterView &view = context.view;
    bool changed = false;
    // An earlier incarnation of this gateway has ended, but the tokens it lent may still be
    // charged.
    const bool loansExpired = context.now - observed.knownSince
        > AccountShares::loanLifetime + view.timeouts().safetyMargin;
    const auto own = row.shares.find(view.instance());
    if (own != row.shares.end() && own->second.incarnation != view.incarnation() && loansExpired) {
        own->second.incarnation = view.incarnation();
        changed = true;
    }
    const Duration revocationDelay = view.timeouts().maxStateAge + view.timeouts().safetyMargin;
    const bool isRevocationKnown = context.now - observed.knownSince > revocationDelay
        && observed.joinVersion && observed.joinVersion == view.joinVersion();
    if (!row.revoked.empty() && isRevocationKnown && context.isChosenAtRandom()) {
        GatewayShare &share = row.shares[view.instance()];
        share.incarnation = view.incarnation();
        for (const auto &[instance, weight] : row.revoked)
            share.weight += weight;
        row.revoked.clear();
        changed = true;
    }
    for (auto it = row.shares.begin(); it != row.shares.end();) {
        const InstanceId instance = it->first;
        const bool isGone = instance != view.instance()
            && (!view.isKnownMember(instance) || view.hasLeft(instance)
                || view.isHeartbeatOverdue(instance, context.now));
        if (!isGone || it->second.weight == ShareWeight() || !context.isChosenAtRandom()) {
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
                              const ClusterView::ObservedShareRow &observed) const
{
    if (context.now - observed.knownSince < minTransferInterval)
        return std::nullopt;
    const ClusterView &view = context.view;
    const AccountWorkload own = demandOf(context.shares.demands(), entry.name);
    const ShareWeight held = observed.row.weightOf(view.instance(), view.incarnation());
    const ShareWeight transferable
        = std::min(held, context.shares.transferableWeight(entry.name, context.now));
    ShareWeight largestSurplus;
    const MemberRow *receiver = nullptr;
    for (const MemberRow &it : context.peers) {
        const auto peer = m_peers.find(it.instance);
        if (peer == m_peers.end() || peer->second.status.incarnation != it.incarnation)
            continue;
        if (context.now - peer->second.updatedAt > maxPeerStatusAge || peer->second.status.hasLeft
            || view.isHeartbeatOverdue(it.instance, context.now))
            continue;
        AccountWorkload mine = own;
        AccountWorkload theirs = demandOf(peer->second.status.demands, entry.name);
        mine.weight = held;
        theirs.weight = observed.row.weightOf(it.instance, it.incarnation);
        const ShareWeight kept = fairWeight(entry, mine, theirs, context.peers.size() + 1);
        const ShareWeight surplus = std::min(held - kept, transferable);
        if (surplus > largestSurplus) {
            largestSurplus = surplus;
            receiver = &it;
        }
    }
    const std::int64_t minTransfer
        = std::max(ShareRow::fullWeight.count() / minTransferDivisor
                       / static_cast<std::int64_t>(context.peers.size() + 1),
                   held.count() / minChangeDivisor);
    if (receiver == nullptr || largestSurplus.count() < std::max<std::int64_t>(1, minTransfer))
        return std::nullopt;
    ShareWrite write{entry.name, observed.row, observed.version, held - largestSurplus};
    write.row.startsFull = false;
    write.row.shares[view.instance()].weight = held - largestSurplus;
    GatewayShare &share = write.row.shares[receiver->instance];
    // The share of the receiver's earlier incarnation stays with the instance.
    share.weight += largestSurplus;
    share.incarnation = receiver->incarnation;
    return write;
}

ShareWeight SharePlanner::fairWeight(const AccountEntry &entry, const AccountWorkload &own,
                                     const AccountWorkload &other, std::size_t members) const
{
    const std::int64_t combined = own.weight.count() + other.weight.count();
    if (m_policy == SharePolicy::Static) {
        const std::int64_t equalWeight
            = ShareRow::fullWeight.count() / static_cast<std::int64_t>(members);
        const std::int64_t shortfall
            = std::max<std::int64_t>(0, equalWeight - other.weight.count());
        return ShareWeight(std::max(equalWeight, own.weight.count() - shortfall));
    }
    const double baseDemand
        = std::max(1.0, static_cast<double>(entry.rate.count()) / idleDemandDivisor);
    const double ownDemand = static_cast<double>(own.demand.count()) + baseDemand;
    const double otherDemand = static_cast<double>(other.demand.count()) + baseDemand;
    return ShareWeight(static_cast<std::int64_t>(static_cast<double>(combined) * ownDemand
                                                 / (ownDemand + otherDemand)));
}

std::vector<InstanceId> SharePlanner::possibleLenders(const AccountId &account, Instant now) const
{
    std::vector<std::pair<Tokens, InstanceId>> levels;
    for (const auto &[instance, peer] : m_peers) {
        const AccountWorkload demand = demandOf(peer.status.demands, account);
        if (now - peer.updatedAt <= maxPeerStatusAge && demand.level > Tokens())
            levels.emplace_back(demand.level, instance);
    }
    std::sort(levels.rbegin(), levels.rend());
    std::vector<InstanceId> instances;
    for (const auto &[level, instance] : levels)
        instances.push_back(instance);
    return instances;
}

} // namespace quetzalyoke
