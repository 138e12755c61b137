#include "StandIns/Engine/EngineFaults.h"

namespace quetzalyoke::standins {

namespace {

constexpr std::chrono::milliseconds maximumReorderDelay{2000};

std::chrono::milliseconds millis(const nlohmann::json &body, const char *name)
{
    return std::chrono::milliseconds(body.value(name, 0));
}

} // namespace

void EngineFaults::set(const nlohmann::json &body)
{
    const std::lock_guard lock(m_mutex);
    m_ordersToDrop = body.value("lose_orders", 0);
    m_ordersToDuplicate = body.value("duplicate_orders", 0);
    m_responsesToTruncate = body.value("cut_answers", 0);
    m_isReorderingOrders = body.value("reorder_orders", false);
    m_orderDelay = millis(body, "delay_orders_ms");
    m_responseDelay = millis(body, "delay_answers_ms");
    m_reportLag = millis(body, "lag_report_ms");
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
    return consume(m_ordersToDrop);
}

bool EngineFaults::consumeOrderDuplication()
{
    const std::lock_guard lock(m_mutex);
    return consume(m_ordersToDuplicate);
}

bool EngineFaults::consumeResponseTruncation()
{
    const std::lock_guard lock(m_mutex);
    return consume(m_responsesToTruncate);
}

std::chrono::milliseconds EngineFaults::orderDelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_orderDelay;
}

std::chrono::milliseconds EngineFaults::responseDelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_responseDelay;
}

std::chrono::milliseconds EngineFaults::reportLag() const
{
    const std::lock_guard lock(m_mutex);
    return m_reportLag;
}

void EngineFaults::waitForReordering()
{
    std::unique_lock lock(m_mutex);
    if (!m_isReorderingOrders || ++m_ordersArrived % 2 == 0)
        return;
    const std::uint64_t executedBefore = m_ordersExecuted;
    m_changed.wait_for(lock, maximumReorderDelay,
                       [&] { return m_ordersExecuted > executedBefore || !m_isReorderingOrders; });
}

void EngineFaults::onOrderExecuted()
{
    const std::lock_guard lock(m_mutex);
    ++m_ordersExecuted;
    m_changed.notify_all();
}

} // namespace quetzalyoke::standins
