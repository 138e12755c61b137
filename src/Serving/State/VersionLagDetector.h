#ifndef QUETZALYOKE_SERVING_STATE_VERSIONLAGDETECTOR_H
#define QUETZALYOKE_SERVING_STATE_VERSIONLAGDETECTOR_H

#include "Ports/EntryPlatform.h"

#include <optional>

namespace quetzalyoke {

/// Returns whether \a known lacks nothing that \a other has.
bool isAtLeastAsNew(const StateVersions &known, const StateVersions &other);

/// \brief Detects that a version known to peers has not reached this gateway in time; no I/O.
///
/// Entries of servers change all the time, so some peer is ahead at any moment. A gateway that
/// asked for the state whenever a peer is ahead would ask all the time.
class VersionLagDetector
{
public:
    /// A version is expected to arrive in the usual way within \a tolerance.
    explicit VersionLagDetector(Duration tolerance) : m_tolerance(tolerance) { }

    /// Compares the versions that this gateway has with the newest ones of its peers. Returns
    /// whether this gateway lacks a version that peers had a tolerance ago; the wait then starts
    /// again.
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
