#ifndef QUETZALYOKE_STANDINS_PLATFORM_FAULTS_H
#define QUETZALYOKE_STANDINS_PLATFORM_FAULTS_H

#include "Core/StrongTypes.h"

#include <chrono>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief What is wrong with the platform at the moment; set by POST /faults.
struct FaultPlan
{
    bool outage = false; ///< Every call is refused before it takes effect.
    int lostAnswers = 0; ///< So many next commits take effect without an answer.
    std::chrono::milliseconds delay{0}; ///< Added to each call.
    std::chrono::milliseconds lasts{0}; ///< Then all is well again; 0: until the next plan.
    std::chrono::milliseconds listLag{0}; ///< Age of the instance list that is shown.
};

/// \brief The fault plan in force, shared by the request threads.
class Faults
{
public:
    void set(const FaultPlan &plan, Instant now);
    FaultPlan current(Instant now) const;
    /// Takes one lost answer from the plan; false where none is left.
    bool takeLostAnswer();

private:
    mutable std::mutex m_mutex;
    FaultPlan m_plan;
    Instant m_setAt{};
};

} // namespace quetzalyoke::standins

#endif
