#include "StandIns/Engine/EngineFaults.h"

namespace quetzalyoke::standins {

namespace {

constexpr std::chrono::milliseconds longestHold{2000};

std::chrono::milliseconds millis(const nlohmann::json &body, const char *name)
{
    return std::chrono::milliseconds(body.value(name, 0));
}

} // namespace

void EngineFaults::set(const nlohmann::json &body)
{
    const std::lock_guard lock(m_mutex);
    m_loseOrders = body.value("lose_orders", 0);
    m_duplicateOrders = body.value("duplicate_orders", 0);
    m_cutResponses = body.value("cut_answers", 0);
    m_reorderOrders = body.value("reorder_orders", false);
    m_delayOrders = millis(body, "delay_orders_ms");
    m_delayResponses = millis(body, "delay_answers_ms");
    m_lagReport = millis(body, "lag_report_ms");
    m_changed.notify_all();
}

bool EngineFaults::consume(int &count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

bool EngineFaults::consumeOrderDrop()
{
    const std::lock_guard lock(m_mutex);
    return consume(m_loseOrders);
}

bool EngineFaults::consumeOrderDuplication()
{
    const std::lock_guard lock(m_mutex);
    return consume(m_duplicateOrders);
}

bool EngineFaults::consumeResponseTruncation()
{
    const std::lock_guard lock(m_mutex);
    return consume(m_cutResponses);
}

std::chrono::milliseconds EngineFaults::orderDelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_delayOrders;
}

std::chrono::milliseconds EngineFaults::responseDelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_delayResponses;
}

std::chrono::milliseconds EngineFaults::reportLag() const
{
    const std::lock_guard lock(m_mutex);
    return m_lagReport;
}

void EngineFaults::waitForReordering()
{
    std::unique_lock lock(m_mutex);
    if (!m_reorderOrders || ++m_arrived % 2 == 0)
        return;
    const std::uint64_t seen = m_done;
    m_changed.wait_for(lock, longestHold, [&] { return m_done > seen || !m_reorderOrders; });
}

void EngineFaults::onOrderExecuted()
{
    const std::lock_guard lock(m_mutex);
    ++m_done;
    m_changed.notify_all();
}

} // namespace quetzalyoke::standins
