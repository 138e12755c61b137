#ifndef QUETZALYOKE_STANDINS_PLATFORM_PLATFORMFAULTS_H
#define QUETZALYOKE_STANDINS_PLATFORM_PLATFORMFAULTS_H

#include "Core/StrongTypes.h"

#include <chrono>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief What is wrong with the platform at the moment; set by POST /faults.
struct PlatformFaultSettings
{
    bool outage = false; ///< Every call is refused before it takes effect.
    int responsesToDrop = 0; ///< So many next commits take effect without an answer.
    std::chrono::milliseconds delay{0}; ///< Added to each call.
    std::chrono::milliseconds duration{0}; ///< Then all is well again; 0: until the next plan.
    std::chrono::milliseconds instanceListLag{0}; ///< Age of the instance list that is shown.
};

/// \brief The fault plan in force, shared by the request threads.
class PlatformFaults
{
public:
    void set(const PlatformFaultSettings &plan, Instant now);
    PlatformFaultSettings current(Instant now) const;
    /// Takes one lost answer from the plan; false where none is left.
    bool consumeResponseDrop();

private:
    mutable std::mutex m_mutex;
    PlatformFaultSettings m_plan;
    Instant m_setAt{};
};

} // namespace quetzalyoke::standins

#endif
