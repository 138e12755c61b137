#ifndef QUETZALYOKE_STANDINS_ENGINE_ORDERFAULTS_H
#define QUETZALYOKE_STANDINS_ENGINE_ORDERFAULTS_H

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief What is wrong with the engine at the moment; set by POST /faults.
class OrderFaults
{
public:
    /// Replaces the plan; see the members for the names in \a body.
    void set(const nlohmann::json &body);

    bool takeLostOrder();
    bool takeDuplicatedOrder();
    bool takeCutAnswer();
    std::chrono::milliseconds orderDelay() const;
    std::chrono::milliseconds answerDelay() const;
    std::chrono::milliseconds reportLag() const;
    /// While orders are reordered, holds every other order until the next one was carried out.
    void waitForTurn();
    void orderDone();

private:
    static bool take(int &count);

    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_changed;
    int m_loseOrders = 0; // so many next orders take no effect and get no answer
    int m_duplicateOrders = 0; // so many next orders take effect twice
    int m_cutAnswers = 0; // so many next answers end in the middle
    bool m_reorderOrders = false;
    std::chrono::milliseconds m_delayOrders{0};
    std::chrono::milliseconds m_delayAnswers{0};
    std::chrono::milliseconds m_lagReport{0};
    std::uint64_t m_arrived = 0;
    std::uint64_t m_done = 0;
};

} // namespace quetzalyoke::standins

#endif
