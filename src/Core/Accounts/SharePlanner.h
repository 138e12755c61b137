#ifndef QUETZALYOKE_CORE_ACCOUNTS_SHAREPLANNER_H
#define QUETZALYOKE_CORE_ACCOUNTS_SHAREPLANNER_H

#include "Core/Accounts/AccountShares.h"
#include "Core/State/ClusterView.h"

#include <map>
#include <random>
#include <vector>

namespace quetzalyoke {

enum class SharePolicy {
    Static, ///< The same part for every gateway.
    Demand, ///< Parts follow the demand.
};

/// \brief A share row to be written.
struct ShareWrite
{
    AccountId account;
    ShareRow row;
    Version expectedVersion; ///< Of the row that this one replaces; 0: none.
    std::optional<ShareWeight> shrinkTo; ///< Own part, to be given up before the write.

    ConditionalWrite toConditionalWrite() const;
};

/// \brief Decides how one gateway changes the division of accounts over gateways.
///
/// Creates missing rows, gives parts to gateways that need them more, and takes over what gone
/// gateways held.
class SharePlanner
{
public:
    explicit SharePlanner(SharePolicy policy) : m_policy(policy) { }

    void updatePeer(const PeerStatus &peer, Instant now);
    /// The writes that are due, at most maxWrites.
    std::vector<ShareWrite> planWrites(const ClusterView &sync, AccountShares &shares,
                                       const std::map<AccountId, AccountEntry> &accounts,
                                       Instant now, std::mt19937_64 &random) const;
    /// Other gateways by how much of \a account they last had, most first.
    std::vector<InstanceId> possibleLenders(const AccountId &account, Instant now) const;

    static constexpr std::size_t maxWrites = 8;

private:
    struct Peer
    {
        PeerStatus status;
        Instant updatedAt;
    };
    struct Context;

    std::optional<ShareWrite> planAccount(const Context &context, const AccountEntry &entry) const;
    static ShareWrite createRow(const Context &context, const AccountId &account);
    bool reclaimShares(const Context &context, const ClusterView::ObservedShareRow &known,
                       ShareRow &row) const;
    std::optional<ShareWrite> transferSurplus(const Context &context, const AccountEntry &entry,
                                              const ClusterView::ObservedShareRow &known) const;
    ShareWeight fairWeight(const AccountEntry &entry, const AccountWorkload &own,
                           const AccountWorkload &other, std::size_t members) const;

    const SharePolicy m_policy;
    std::map<InstanceId, Peer> m_peers;
};

} // namespace quetzalyoke

#endif
