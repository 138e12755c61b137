#ifndef QUETZALYOKE_CORE_STATE_HYBRIDCLOCK_H
#define QUETZALYOKE_CORE_STATE_HYBRIDCLOCK_H

#include <compare>
#include <cstdint>

namespace quetzalyoke {

/// \brief A reading of a hybrid logical clock. Readings order by cause, and nearly by wall clock.
struct HybridTime
{
    std::int64_t physicalMicros = 0; ///< Since the Unix epoch; 0: no reading.
    std::int64_t logical = 0; ///< Orders readings with the same physical part.

    auto operator<=>(const HybridTime &) const = default;
};

/// \brief Hybrid logical clock of one process.
///
/// Each reading is above all earlier ones and above every reading received before it, however far
/// the wall clocks of the processes are apart and also where one is set back.
class HybridClock
{
public:
    /// Reading for a local event or a message to send; \a wallMicros is this process's wall clock.
    HybridTime tick(std::int64_t wallMicros);
    /// Takes the reading that came with a message.
    void receive(HybridTime remote);

private:
    HybridTime m_last;
};

} // namespace quetzalyoke

#endif
