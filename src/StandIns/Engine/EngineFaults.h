#ifndef QUETZALYOKE_STANDINS_ENGINE_ENGINEFAULTS_H
#define QUETZALYOKE_STANDINS_ENGINE_ENGINEFAULTS_H

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief Faults that the engine stand-in simulates, as set by POST /faults. Thread-safe.
class EngineFaults
{
public:
    /// Replaces all faults by those in \a body; a field that is absent means no such fault.
    void set(const nlohmann::json &body);

    bool consumeOrderDrop();
    bool consumeOrderDuplication();
    bool consumeResponseTruncation();
    std::chrono::milliseconds orderDelay() const;
    std::chrono::milliseconds responseDelay() const;
    std::chrono::milliseconds reportLag() const;
    /// While orders are reordered, blocks every other order until the next one was executed.
    void waitForReordering();
    void onOrderExecuted();

private:
    static bool consume(int &count);

    mutable std::mutex m_mutex; // guards the members below
    std::condition_variable m_changed;
    int m_ordersToDrop = 0; // orders to come that have no effect and get no response
    int m_ordersToDuplicate = 0; // orders to come that are executed twice
    int m_responsesToTruncate = 0; // responses to come that end in the middle
    bool m_isReorderingOrders = false;
    std::chrono::milliseconds m_orderDelay{0};
    std::chrono::milliseconds m_responseDelay{0};
    std::chrono::milliseconds m_reportLag{0};
    std::uint64_t m_ordersArrived = 0;
    std::uint64_t m_ordersExecuted = 0;
};

} // namespace quetzalyoke::standins

#endif
