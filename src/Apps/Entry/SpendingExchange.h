#ifndef QUETZALYOKE_APPS_ENTRY_SPENDINGEXCHANGE_H
#define QUETZALYOKE_APPS_ENTRY_SPENDINGEXCHANGE_H

#include "Apps/Entry/EntryState.h"
#include "Serving/Accounts/SpendingRelay.h"
#include "Wire/generated/peers_types.h"

namespace quetzalyoke {

std::vector<wire::PeerSpent> encodeSpending(const SpendingByAccount &spending);
SpendingByAccount decodeSpending(const std::vector<wire::PeerSpent> &entries);

/// \brief Exchanges accounts' spending through each zone's aggregator when there are many gateways.
class SpendingExchange
{
public:
    struct Hooks
    {
        std::function<std::vector<GatewayCandidate>()> peers;
        std::function<void(const InstanceId &to, const wire::PeerSpending &spending)> send;
    };

    SpendingExchange(EntryState &state, Hooks hooks);

    void start();
    /// Returns whether spending goes through aggregators; if not, each gateway sends it to all
    /// others.
    bool isRelaying() const { return m_isRelaying; }
    void setPeerCount(std::size_t peers);
    /// Handles a peer message whose `spending` is set.
    void onPeerMessage(const wire::PeerNews &message);
    /// Called after a stall or suspension of the instance.
    void onResumed() { m_relay.onResumed(steadyNow()); }

private:
    SpendingRelay::Hooks relayHooks();
    void tick();
    void sendMessages();

    EntryState &m_state;
    const Hooks m_hooks;
    SpendingRelay m_relay;
    asio::steady_timer m_timer;
    bool m_isRelaying = false;
};

} // namespace quetzalyoke

#endif
