#ifndef QUETZALYOKE_SERVING_REQUESTS_SURVIVEDSUSPECTS_H
#define QUETZALYOKE_SERVING_REQUESTS_SURVIVEDSUSPECTS_H

#include "Core/StrongTypes.h"

#include <array>
#include <cstdint>

namespace quetzalyoke {

/// \brief The parts of prompts and the requests that a backend server has lately answered without
/// crashing; no I/O.
///
/// Callers choose the parts, so memory is fixed: a set-associative cache of hashes. A part that is
/// in use is recorded again and again and stays.
class SurvivedSuspects
{
public:
    void record(const Fingerprint &suspect);
    bool contains(const Fingerprint &suspect) const;

private:
    static constexpr std::size_t setCount = 1'024;
    static constexpr std::size_t waysPerSet = 4;
    using Set = std::array<std::uint64_t, waysPerSet>; // the latest first; 0: empty

    static std::uint64_t hashOf(const Fingerprint &suspect);

    std::array<Set, setCount> m_sets{};
};

} // namespace quetzalyoke

#endif
