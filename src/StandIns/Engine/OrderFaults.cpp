#include "StandIns/Engine/OrderFaults.h"

namespace quetzalyoke::standins {

namespace {

constexpr std::chrono::milliseconds longestHold{2000};

std::chrono::milliseconds millis(const nlohmann::json &body, const char *name)
{
    return std::chrono::milliseconds(body.value(name, 0));
}

} // namespace

void OrderFaults::set(const nlohmann::json &body)
{
    const std::lock_guard lock(m_mutex);
    m_loseOrders = body.value("lose_orders", 0);
    m_duplicateOrders = body.value("duplicate_orders", 0);
    m_cutAnswers = body.value("cut_answers", 0);
    m_reorderOrders = body.value("reorder_orders", false);
    m_delayOrders = millis(body, "delay_orders_ms");
    m_delayAnswers = millis(body, "delay_answers_ms");
    m_lagReport = millis(body, "lag_report_ms");
    m_changed.notify_all();
}

bool OrderFaults::take(int &count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

bool OrderFaults::takeLostOrder()
{
    const std::lock_guard lock(m_mutex);
    return take(m_loseOrders);
}

bool OrderFaults::takeDuplicatedOrder()
{
    const std::lock_guard lock(m_mutex);
    return take(m_duplicateOrders);
}

bool OrderFaults::takeCutAnswer()
{
    const std::lock_guard lock(m_mutex);
    return take(m_cutAnswers);
}

std::chrono::milliseconds OrderFaults::orderDelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_delayOrders;
}

std::chrono::milliseconds OrderFaults::answerDelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_delayAnswers;
}

std::chrono::milliseconds OrderFaults::reportLag() const
{
    const std::lock_guard lock(m_mutex);
    return m_lagReport;
}

void OrderFaults::waitForTurn()
{
    std::unique_lock lock(m_mutex);
    if (!m_reorderOrders || ++m_arrived % 2 == 0)
        return;
    const std::uint64_t seen = m_done;
    m_changed.wait_for(lock, longestHold, [&] { return m_done > seen || !m_reorderOrders; });
}

void OrderFaults::orderDone()
{
    const std::lock_guard lock(m_mutex);
    ++m_done;
    m_changed.notify_all();
}

} // namespace quetzalyoke::standins
