#include "Apps/Entry/SpendingNews.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Process.h"

namespace quetzalyoke {

namespace {

// Above, each gateway's news to all others are more than 0.8 s apart, too rare to bound a surge.
constexpr std::size_t peersToldDirectly = 48;

wire::PeerSpendingKind::type encodeKind(SpendingRelay::Kind kind)
{
    switch (kind) {
    case SpendingRelay::Kind::Member:
        return wire::PeerSpendingKind::MEMBER;
    case SpendingRelay::Kind::Members:
        return wire::PeerSpendingKind::MEMBERS;
    case SpendingRelay::Kind::Others:
        break;
    }
    return wire::PeerSpendingKind::OTHERS;
}

SpendingRelay::Kind decodeKind(wire::PeerSpendingKind::type kind)
{
    switch (kind) {
    case wire::PeerSpendingKind::MEMBER:
        return SpendingRelay::Kind::Member;
    case wire::PeerSpendingKind::MEMBERS:
        return SpendingRelay::Kind::Members;
    case wire::PeerSpendingKind::OTHERS:
        break;
    }
    return SpendingRelay::Kind::Others;
}

wire::PeerSpending encode(const SpendingRelay::Message &message)
{
    wire::PeerSpending spending;
    spending.kind = encodeKind(message.kind);
    spending.accounts = encodeSpending(message.sum.accounts);
    spending.gateways = static_cast<std::int32_t>(message.sum.gateways);
    spending.isAllFresh = message.sum.isAllFresh;
    return spending;
}

SpendingRelay::Message decode(const wire::PeerSpending &spending)
{
    SpendingRelay::Message message;
    message.kind = decodeKind(spending.kind);
    message.sum.accounts = decodeSpending(spending.accounts);
    message.sum.gateways = static_cast<std::size_t>(std::max(0, spending.gateways));
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
        entry.asked = amount.asked;
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

SpendingNews::SpendingNews(EntryState &state, Hooks hooks)
    : m_state(state), m_hooks(std::move(hooks)),
      m_relay(
          SpendingRelay::Settings(),
          {state.settings.instance, state.settings.zone, true, true, state.settings.processorShare},
          relayHooks()),
      m_timer(state.loop)
{ }

SpendingRelay::Hooks SpendingNews::relayHooks()
{
    SpendingRelay::Hooks hooks;
    hooks.onOthers = [this](const NewsOrigin &speaker, const SpendingSum &sum) {
        // Close to the limit a gateway may speak for others that count more peers than it does.
        if (m_isRelaying) {
            m_state.quotas.takePeerSpending(speaker.instance, speaker.incarnation, sum.accounts,
                                            loopNow(), sum.gateways);
        }
    };
    hooks.onSpeakerLeft = [this](const InstanceId &speaker) {
        if (!m_isRelaying)
            return;
        logNotable("speaker", {{"before", speaker}, {"now", m_relay.speaker()}});
        m_state.quotas.replacePeer(speaker, loopNow());
    };
    return hooks;
}

void SpendingNews::start()
{
    tick();
}

void SpendingNews::setPeers(std::size_t peers)
{
    const bool isRelaying = peers > peersToldDirectly;
    if (isRelaying == m_isRelaying)
        return;
    m_isRelaying = isRelaying;
    logNotable("spending_news",
               {{"by", isRelaying ? "speakers" : "each to all"}, {"peers", peers}});
    m_state.quotas.forgetPeers();
}

void SpendingNews::tick()
{
    if (m_isRelaying || m_relay.hasMembers())
        tell();
    m_timer.expires_after(SpendingRelay::Settings().interval);
    m_timer.async_wait([this](const SystemError &ec) {
        if (!ec)
            tick();
    });
}

void SpendingNews::tell()
{
    const auto messages = m_relay.tick(m_hooks.peers(), Process::incarnation(),
                                       m_state.quotas.spending(), loopNow());
    for (const SpendingRelay::Outgoing &outgoing : messages)
        m_hooks.send(outgoing.to, encode(outgoing.message));
}

void SpendingNews::take(const wire::PeerNews &news)
{
    const NewsOrigin origin{InstanceId(news.instance), Incarnation(news.incarnation),
                            news.sequence};
    m_relay.take(origin, decode(news.spending), loopNow());
}

} // namespace quetzalyoke
