#ifndef QUETZALYOKE_STANDINS_ENGINE_ENGINEFAULTS_H
#define QUETZALYOKE_STANDINS_ENGINE_ENGINEFAULTS_H

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief What is wrong with the engine at the moment; set by POST /faults.
class EngineFaults
{
public:
    /// Replaces the plan; see the members for the names in \a body.
    void set(const nlohmann::json &body);

    bool consumeOrderDrop();
    bool consumeOrderDuplication();
    bool consumeResponseTruncation();
    std::chrono::milliseconds orderDelay() const;
    std::chrono::milliseconds responseDelay() const;
    std::chrono::milliseconds reportLag() const;
    /// While orders are reordered, holds every other order until the next one was carried out.
    void waitForReordering();
    void onOrderExecuted();

private:
    static bool consume(int &count);

    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_changed;
    int m_loseOrders = 0; // so many next orders take no effect and get no answer
    int m_duplicateOrders = 0; // so many next orders take effect twice
    int m_cutResponses = 0; // so many next answers end in the middle
    bool m_reorderOrders = false;
    std::chrono::milliseconds m_delayOrders{0};
    std::chrono::milliseconds m_delayResponses{0};
    std::chrono::milliseconds m_lagReport{0};
    std::uint64_t m_arrived = 0;
    std::uint64_t m_done = 0;
};

} // namespace quetzalyoke::standins

#endif
