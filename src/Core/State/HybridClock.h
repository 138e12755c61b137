#ifndef QUETZALYOKE_CORE_STATE_HYBRIDCLOCK_H
#define QUETZALYOKE_CORE_STATE_HYBRIDCLOCK_H

#include <compare>
#include <cstdint>

namespace quetzalyoke {

/// \brief A reading of a hybrid logical clock. Readings are ordered causally and are close to wall
/// clock time.
struct HybridTime
{
    std::int64_t physicalMicros = 0; ///< Since the Unix epoch; 0 if there is no reading.
    std::int64_t logical = 0; ///< Orders readings with the same physical time.

    auto operator<=>(const HybridTime &) const = default;
};

/// \brief Hybrid logical clock of one process.
///
/// Each reading is greater than all earlier readings and all readings received before it, however
/// far the wall clocks of the processes differ and even if one of them is set back.
class HybridClock
{
public:
    /// Returns the reading for a local event or an outgoing message. \a wallMicros is the time of
    /// this process's wall clock.
    HybridTime tick(std::int64_t wallMicros);
    /// Updates the clock with the reading of a received message.
    void receive(HybridTime remote);

private:
    HybridTime m_last;
};

} // namespace quetzalyoke

#endif
