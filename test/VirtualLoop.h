#ifndef QUETZALYOKE_TEST_VIRTUALLOOP_H
#define QUETZALYOKE_TEST_VIRTUALLOOP_H

#include "Core/StrongTypes.h"

#include <functional>
#include <map>

namespace quetzalyoke {

/// \brief Runs actions at their times on a virtual clock.
class VirtualLoop
{
public:
    Instant now() const { return m_now; }
    void after(Duration delay, std::function<void()> action)
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }
    /// Runs what is due within \a time. \a onStep is called after each action.
    void runFor(
        Duration time, const std::function<void()> &onStep = [] {})
    {
        const Instant end = m_now + time;
        while (!m_actions.empty() && m_actions.begin()->first <= end) {
            auto next = m_actions.extract(m_actions.begin());
            m_now = std::max(m_now, next.key());
            next.mapped()();
            onStep();
        }
        m_now = end;
    }

private:
    Instant m_now{std::chrono::hours(1)};
    std::multimap<Instant, std::function<void()>> m_actions; // in order of their times
};

} // namespace quetzalyoke

#endif
