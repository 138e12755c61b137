#include "Core/Accounts/SharePlanner.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr Duration longestMemory = std::chrono::seconds(5); // of what a peer said of its demand
constexpr Duration shortestInterval = std::chrono::seconds(1); // between two moves of an account
constexpr std::int64_t leastMoveDivisor = 50; // a smaller piece of the whole share isn't moved
constexpr std::int64_t leastChangeDivisor = 6; // nor a smaller piece of the own part
constexpr std::int64_t idleDemandDivisor = 20; // of the rate: counts as everybody's demand

AccountDemand demandOf(const std::vector<AccountDemand> &demands, const AccountId &account)
{
    for (const AccountDemand &it : demands) {
        if (it.account == account)
            return it;
    }
    return {account, {}, {}, {}};
}

} // namespace

struct SharePlanner::Context
{
    const GatewaySync &sync;
    AccountShares &shares;
    Instant now;
    std::mt19937_64 &random;
    std::vector<MemberRow> others;

    // One gateway of all, on average, acts on what all of them see.
    bool isMyTurn() const
    {
        return std::uniform_int_distribution<std::size_t>(0, others.size())(random) == 0;
    }
};

ConditionalWrite ShareWrite::toWrite() const
{
    return {ShareRow::rowName(account), row.toJson(), expected};
}

void SharePlanner::notePeer(const PeerStatus &peer, Instant now)
{
    m_peers[peer.instance] = {peer, now};
    std::erase_if(m_peers,
                  [now](const auto &it) { return now - it.second.heardAt > longestMemory; });
}

std::vector<ShareWrite> SharePlanner::plan(const GatewaySync &sync, AccountShares &shares,
                                           const std::map<AccountId, AccountEntry> &accounts,
                                           Instant now, std::mt19937_64 &random) const
{
    std::vector<ShareWrite> writes;
    if (!sync.mayAccept(now) || !sync.readsTable(now))
        return writes;
    const Context context{sync, shares, now, random, sync.others()};
    for (const auto &[id, entry] : accounts) {
        if (writes.size() == mostWrites)
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
    const auto it = context.sync.shares().find(entry.name);
    if (it == context.sync.shares().end()) {
        if (!context.isMyTurn())
            return std::nullopt;
        return create(context, entry.name);
    }
    const GatewaySync::KnownShare &known = it->second;
    ShareRow row = known.row;
    row.initial = false;
    // A write in doubt can't take effect any more once another one has replaced its row.
    const auto inDoubt = context.shares.shrinkInDoubt(entry.name);
    if (inDoubt == known.version || takeOver(context, known, row))
        return ShareWrite{entry.name, row, known.version, std::nullopt};
    return give(context, entry, known);
}

ShareWrite SharePlanner::create(const Context &context, const AccountId &account)
{
    ShareWrite write;
    write.account = account;
    write.row.initial = true;
    std::vector<MemberRow> members;
    for (const MemberRow &it : context.others) {
        if (!context.sync.isSilent(it.instance, context.now))
            members.push_back(it);
    }
    const auto n = static_cast<std::int64_t>(members.size()) + 1;
    ShareWeight left = ShareRow::wholeShare;
    for (const MemberRow &it : members) {
        const ShareWeight part(ShareRow::wholeShare.count() / n);
        write.row.parts[it.instance] = {part, it.incarnation};
        left -= part;
    }
    write.row.parts[context.sync.instance()] = {left, context.sync.incarnation()};
    return write;
}

// A part goes from a gone gateway in two steps. First the row says that it is revoked; after
// the freshness has passed since then, its former holder either knows that or spends nothing.
bool SharePlanner::takeOver(const Context &context, const GatewaySync::KnownShare &known,
                            ShareRow &row) const
{
    const GatewaySync &sync = context.sync;
    bool changed = false;
    // An earlier incarnation of this gateway is dead, but what it lent may still be handed out.
    const bool loansEnded
        = context.now - known.knownSince > AccountShares::loanLife + sync.limits().margin;
    const auto own = row.parts.find(sync.instance());
    if (own != row.parts.end() && own->second.incarnation != sync.incarnation() && loansEnded) {
        own->second.incarnation = sync.incarnation();
        changed = true;
    }
    const Duration needed = sync.limits().freshness + sync.limits().margin;
    const bool settled = context.now - known.knownSince > needed && known.joinedAt
        && known.joinedAt == sync.joinedAt();
    if (!row.revoked.empty() && settled && context.isMyTurn()) {
        SharePart &part = row.parts[sync.instance()];
        part.incarnation = sync.incarnation();
        for (const auto &[instance, weight] : row.revoked)
            part.weight += weight;
        row.revoked.clear();
        changed = true;
    }
    for (auto it = row.parts.begin(); it != row.parts.end();) {
        const InstanceId instance = it->first;
        const bool gone = instance != sync.instance()
            && (!sync.knows(instance) || sync.hasLeft(instance)
                || sync.isSilent(instance, context.now));
        if (!gone || it->second.weight == ShareWeight() || !context.isMyTurn()) {
            ++it;
            continue;
        }
        row.revoked[instance] += it->second.weight;
        it = row.parts.erase(it);
        changed = true;
    }
    return changed;
}

std::optional<ShareWrite> SharePlanner::give(const Context &context, const AccountEntry &entry,
                                             const GatewaySync::KnownShare &known) const
{
    if (context.now - known.knownSince < shortestInterval)
        return std::nullopt;
    const GatewaySync &sync = context.sync;
    const AccountDemand own = demandOf(context.shares.demands(), entry.name);
    const ShareWeight held = known.row.weightOf(sync.instance(), sync.incarnation());
    const ShareWeight giveable = std::min(held, context.shares.giveable(entry.name, context.now));
    ShareWeight largest;
    const MemberRow *receiver = nullptr;
    for (const MemberRow &it : context.others) {
        const auto peer = m_peers.find(it.instance);
        if (peer == m_peers.end() || peer->second.status.incarnation != it.incarnation)
            continue;
        if (context.now - peer->second.heardAt > longestMemory || peer->second.status.leaving
            || sync.isSilent(it.instance, context.now))
            continue;
        AccountDemand mine = own;
        AccountDemand theirs = demandOf(peer->second.status.demands, entry.name);
        mine.weight = held;
        theirs.weight = known.row.weightOf(it.instance, it.incarnation);
        const ShareWeight keep = fairPart(entry, mine, theirs, context.others.size() + 1);
        const ShareWeight surplus = std::min(held - keep, giveable);
        if (surplus > largest) {
            largest = surplus;
            receiver = &it;
        }
    }
    const std::int64_t least = std::max(ShareRow::wholeShare.count() / leastMoveDivisor
                                            / static_cast<std::int64_t>(context.others.size() + 1),
                                        held.count() / leastChangeDivisor);
    if (receiver == nullptr || largest.count() < std::max<std::int64_t>(1, least))
        return std::nullopt;
    ShareWrite write{entry.name, known.row, known.version, held - largest};
    write.row.initial = false;
    write.row.parts[sync.instance()].weight = held - largest;
    SharePart &part = write.row.parts[receiver->instance];
    // What an earlier incarnation held stays with the instance.
    part.weight += largest;
    part.incarnation = receiver->incarnation;
    return write;
}

ShareWeight SharePlanner::fairPart(const AccountEntry &entry, const AccountDemand &own,
                                   const AccountDemand &other, std::size_t members) const
{
    const std::int64_t both = own.weight.count() + other.weight.count();
    if (m_policy == SharePolicy::Static) {
        const std::int64_t equal
            = ShareRow::wholeShare.count() / static_cast<std::int64_t>(members);
        const std::int64_t lacking = std::max<std::int64_t>(0, equal - other.weight.count());
        return ShareWeight(std::max(equal, own.weight.count() - lacking));
    }
    const double idle = std::max(1.0, static_cast<double>(entry.rate.count()) / idleDemandDivisor);
    const double ownDemand = static_cast<double>(own.demand.count()) + idle;
    const double otherDemand = static_cast<double>(other.demand.count()) + idle;
    return ShareWeight(static_cast<std::int64_t>(static_cast<double>(both) * ownDemand
                                                 / (ownDemand + otherDemand)));
}

std::vector<InstanceId> SharePlanner::lenders(const AccountId &account, Instant now) const
{
    std::vector<std::pair<Tokens, InstanceId>> levels;
    for (const auto &[instance, peer] : m_peers) {
        const AccountDemand demand = demandOf(peer.status.demands, account);
        if (now - peer.heardAt <= longestMemory && demand.level > Tokens())
            levels.emplace_back(demand.level, instance);
    }
    std::sort(levels.rbegin(), levels.rend());
    std::vector<InstanceId> instances;
    for (const auto &[level, instance] : levels)
        instances.push_back(instance);
    return instances;
}

} // namespace quetzalyoke
