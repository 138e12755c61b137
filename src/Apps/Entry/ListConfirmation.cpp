#include "Apps/Entry/ListConfirmation.h"

#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// A caller that is refused after this time can still take its stream up at another gateway.
constexpr Duration confirmationTime = std::chrono::milliseconds(600);

// Messages of peers that arrived while this instance was suspended are read by then.
constexpr Duration bufferedMessageTime = std::chrono::milliseconds(100);

// Between calls to a store that doesn't confirm the list.
constexpr Duration retryDelay = std::chrono::milliseconds(200);

} // namespace

ListConfirmation::ListConfirmation(EntryPlatform &platform, Hooks hooks)
    : m_platform(platform), m_hooks(std::move(hooks))
{ }

void ListConfirmation::request(DoneHook done)
{
    m_pending.push_back({m_hooks.now(), std::move(done)});
    askStore();
}

void ListConfirmation::askStore()
{
    const Instant now = m_hooks.now();
    // A call that is lost when the connections to the store are dropped gets no response.
    const bool isAsking = m_askedAt && now - *m_askedAt < confirmationTime;
    if (isAsking || m_pending.empty() || now < m_nextAskAt)
        return;
    m_askedAt = now;
    Metrics::incrementCounter("list_confirmations");
    m_platform.confirmServers([this, now](bool isConfirmed) {
        if (m_askedAt == now)
            m_askedAt.reset();
        if (!isConfirmed) {
            m_nextAskAt = m_hooks.now() + retryDelay;
            return;
        }
        finish([now](const Pending &it) { return it.requestedAt <= now; }, true);
        askStore();
    });
}

void ListConfirmation::tick()
{
    const Instant now = m_hooks.now();
    const auto isConfirmedByPeers = [this](const Pending &it) {
        return m_hooks.isConfirmedByPeers(it.requestedAt + bufferedMessageTime);
    };
    finish(isConfirmedByPeers, true);
    finish([now](const Pending &it) { return now - it.requestedAt >= confirmationTime; }, false);
    askStore();
}

void ListConfirmation::finish(const std::function<bool(const Pending &)> &isReady, bool isConfirmed)
{
    std::vector<Pending> ready;
    std::erase_if(m_pending, [&](const Pending &it) {
        if (!isReady(it))
            return false;
        ready.push_back(it);
        return true;
    });
    if (!ready.empty() && !isConfirmed)
        logNotable("list_not_confirmed", {{"requests", ready.size()}});
    for (const Pending &it : ready)
        it.done(isConfirmed);
}

} // namespace quetzalyoke
