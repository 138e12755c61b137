#ifndef QUETZALYOKE_CORE_ACCOUNTS_SHAREPLANNER_H
#define QUETZALYOKE_CORE_ACCOUNTS_SHAREPLANNER_H

#include "Core/Accounts/AccountShares.h"
#include "Core/State/ClusterView.h"

#include <map>
#include <random>
#include <vector>

namespace quetzalyoke {

enum class SharePolicy {
    Static, ///< Every gateway has the same share.
    Demand, ///< Shares follow the demand.
};

/// \brief A share row to be written.
struct ShareWrite
{
    AccountId account;
    ShareRow row;
    Version expectedVersion; ///< Version of the replaced row; 0 if the row is new.
    std::optional<ShareWeight> shrinkTo; ///< The own share must shrink to this before the write.

    ConditionalWrite toConditionalWrite() const;
};

/// \brief Decides how one gateway changes the distribution of accounts over the gateways.
///
/// Creates missing rows, transfers shares to gateways that need them more, and reclaims the shares
/// of gateways that are gone.
class SharePlanner
{
public:
    explicit SharePlanner(SharePolicy policy) : m_policy(policy) { }

    void updatePeer(const PeerStatus &peer, Instant now);
    /// Returns the writes that are due, at most maxWrites.
    std::vector<ShareWrite> planWrites(const ClusterView &view, AccountShares &shares,
                                       const std::map<AccountId, AccountEntry> &accounts,
                                       Instant now, std::mt19937_64 &random) const;
    /// Returns the other gateways that last had tokens of \a account, the highest level first.
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
    bool reclaimShares(const Context &context, const ClusterView::ObservedShareRow &observed,
                       ShareRow &row) const;
    std::optional<ShareWrite> transferSurplus(const Context &context, const AccountEntry &entry,
                                              const ClusterView::ObservedShareRow &observed) const;
    ShareWeight fairWeight(const AccountEntry &entry, const AccountWorkload &own,
                           const AccountWorkload &other, std::size_t members) const;

    const SharePolicy m_policy;
    std::map<InstanceId, Peer> m_peers;
};

} // namespace quetzalyoke

#endif
