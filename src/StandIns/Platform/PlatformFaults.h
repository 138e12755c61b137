#ifndef QUETZALYOKE_STANDINS_PLATFORM_PLATFORMFAULTS_H
#define QUETZALYOKE_STANDINS_PLATFORM_PLATFORMFAULTS_H

#include "Core/StrongTypes.h"

#include <chrono>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief Faults that the platform stand-in simulates, as set by POST /faults.
struct PlatformFaultSettings
{
    bool outage = false; ///< Every call fails with 503 and has no effect.
    int responsesToDrop = 0; ///< Number of commits that take effect without a response.
    std::chrono::milliseconds delay{0}; ///< Added to each call.
    std::chrono::milliseconds duration{0}; ///< The faults end after it; 0: when they are set again.
    std::chrono::milliseconds instanceListLag{0}; ///< Age of the instance list in responses.
};

/// \brief The fault settings in force. Thread-safe.
class PlatformFaults
{
public:
    void set(const PlatformFaultSettings &settings, Instant now);
    PlatformFaultSettings current(Instant now) const;
    /// Counts down the responses to drop. Returns false if none is left to drop.
    bool consumeResponseDrop();

private:
    mutable std::mutex m_mutex;
    PlatformFaultSettings m_settings;
    Instant m_setAt{};
};

} // namespace quetzalyoke::standins

#endif
