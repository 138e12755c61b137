#include "Apps/Entry/SpendingExchange.h"

#include "Adapters/Async/HandlerGuard.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// With more peers, a gateway's messages to all others are more than 0.8 s apart, which is too rare
// to bound a surge of requests.
constexpr std::size_t maxPeersForDirectExchange = 48;

wire::PeerSpendingKind::type encodeKind(SpendingRelay::MessageKind kind)
{
    switch (kind) {
    case SpendingRelay::MessageKind::MemberSpending:
        return wire::PeerSpendingKind::MEMBER;
    case SpendingRelay::MessageKind::MembersSum:
        return wire::PeerSpendingKind::MEMBERS;
    case SpendingRelay::MessageKind::OthersSum:
        break;
    }
    return wire::PeerSpendingKind::OTHERS;
}

SpendingRelay::MessageKind decodeKind(wire::PeerSpendingKind::type kind)
{
    switch (kind) {
    case wire::PeerSpendingKind::MEMBER:
        return SpendingRelay::MessageKind::MemberSpending;
    case wire::PeerSpendingKind::MEMBERS:
        return SpendingRelay::MessageKind::MembersSum;
    case wire::PeerSpendingKind::OTHERS:
        break;
    }
    return SpendingRelay::MessageKind::OthersSum;
}

wire::PeerSpending encode(const SpendingRelay::Message &message)
{
    wire::PeerSpending spending;
    spending.kind = encodeKind(message.kind);
    spending.accounts = encodeSpending(message.sum.accounts);
    spending.gateways = static_cast<std::int32_t>(message.sum.gatewayCount);
    spending.isAllFresh = message.sum.isAllFresh;
    return spending;
}

SpendingRelay::Message decode(const wire::PeerSpending &spending)
{
    SpendingRelay::Message message;
    message.kind = decodeKind(spending.kind);
    message.sum.accounts = decodeSpending(spending.accounts);
    message.sum.gatewayCount = static_cast<std::size_t>(std::max(0, spending.gateways));
    message.sum.isAllFresh = spending.isAllFresh;
    return message;
}

} // namespace

std::vector<wire::PeerSpent> encodeSpending(const SpendingByAccount &spending)
{
    std::vector<wire::PeerSpent> entries;
    for (const auto &[account, amount] : spending) {
        wire::PeerSpent entry;
        entry.account = account.text();
        entry.spent = amount.spent;
        entry.asked = amount.requested;
        entries.push_back(std::move(entry));
    }
    return entries;
}

SpendingByAccount decodeSpending(const std::vector<wire::PeerSpent> &entries)
{
    SpendingByAccount spending;
    for (const wire::PeerSpent &entry : entries)
        spending[AccountId(entry.account)] = {entry.spent, entry.asked};
    return spending;
}

SpendingExchange::SpendingExchange(EntryState &state, Hooks hooks)
    : m_state(state), m_hooks(std::move(hooks)),
      m_relay(
          SpendingRelay::Settings(),
          {state.settings.instance, state.settings.zone, true, true, state.settings.processorShare},
          relayHooks()),
      m_timer(state.loop)
{ }

SpendingRelay::Hooks SpendingExchange::relayHooks()
{
    SpendingRelay::Hooks hooks;
    hooks.onOthersSum = [this](const MessageOrigin &aggregator, const SpendingSum &sum) {
        // Near the limit, this gateway may be the aggregator of others that count more peers than
        // it does and already relay. It ignores the sums until it relays itself.
        if (m_isRelaying) {
            m_state.quotas.updatePeerSpending(aggregator.instance, aggregator.incarnation,
                                              sum.accounts, steadyNow(), sum.gatewayCount);
        }
    };
    hooks.onAggregatorReplaced = [this](const InstanceId &aggregator) {
        if (!m_isRelaying)
            return;
        logNotable("speaker", {{"before", aggregator}, {"now", m_relay.aggregator()}});
        m_state.quotas.replacePeer(aggregator, steadyNow());
    };
    return hooks;
}

void SpendingExchange::start()
{
    tick();
}

void SpendingExchange::setPeerCount(std::size_t peers)
{
    const bool isRelaying = peers > maxPeersForDirectExchange;
    if (isRelaying == m_isRelaying)
        return;
    m_isRelaying = isRelaying;
    logNotable("spending_news",
               {{"by", isRelaying ? "speakers" : "each to all"}, {"peers", peers}});
    m_state.quotas.clearPeers();
}

void SpendingExchange::tick()
{
    if (m_isRelaying || m_relay.hasMembers())
        callGuarded("spending", [this] { sendMessages(); });
    m_timer.expires_after(SpendingRelay::Settings().tickInterval);
    m_timer.async_wait([this](const SystemErrorCode &ec) {
        if (!ec)
            tick();
    });
}

void SpendingExchange::sendMessages()
{
    const auto messages = m_relay.tick(m_hooks.peers(), Process::incarnation(),
                                       m_state.quotas.spending(), steadyNow());
    for (const SpendingRelay::OutgoingMessage &outgoing : messages)
        m_hooks.send(outgoing.to, encode(outgoing.message));
}

void SpendingExchange::onPeerMessage(const wire::PeerNews &message)
{
    const MessageOrigin origin{InstanceId(message.instance), Incarnation(message.incarnation),
                               message.sequence};
    m_relay.onMessage(origin, decode(message.spending), steadyNow());
}

} // namespace quetzalyoke
