#ifndef QUETZALYOKE_SERVING_STATE_VERSIONLAGDETECTOR_H
#define QUETZALYOKE_SERVING_STATE_VERSIONLAGDETECTOR_H

#include "Ports/EntryPlatform.h"

#include <optional>

namespace quetzalyoke {

/// Whether who knows \a known misses nothing of \a other.
bool isAtLeastAsNew(const StateVersions &known, const StateVersions &other);

/// \brief Notices that a version which peers know has not come to this gateway in time; no I/O.
///
/// Answers servers whose entries change all the time: some peer is ahead at any moment, and a
/// gateway that asked whenever one is would never stop asking.
class VersionLagDetector
{
public:
    /// A version comes by the usual way within \a tolerance.
    explicit VersionLagDetector(Duration tolerance) : m_tolerance(tolerance) { }

    /// What this gateway knows and the newest of what its peers know. Returns whether this gateway
    /// misses something that was known elsewhere a tolerance ago; it then waits anew.
    bool isOverdue(const StateVersions &own, const StateVersions &newest, Instant now);

private:
    struct Expected
    {
        StateVersions versions;
        Instant since;
    };

    const Duration m_tolerance;
    std::optional<Expected> m_expected;
};

} // namespace quetzalyoke

#endif
