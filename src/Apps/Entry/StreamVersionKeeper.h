#ifndef QUETZALYOKE_APPS_ENTRY_STREAMVERSIONKEEPER_H
#define QUETZALYOKE_APPS_ENTRY_STREAMVERSIONKEEPER_H

#include "Apps/Entry/EntryState.h"

namespace quetzalyoke {

/// \brief Keeps in the store which software versions began streams, and which versions the
/// servers of each service ran lately.
///
/// Streams are written only while a service has, or lately had, several versions.
class StreamVersionKeeper
{
public:
    explicit StreamVersionKeeper(EntryState &state) : m_state(state) { }

    void tick(bool holdsLease);
    /// Called when the list of servers has changed.
    void onListChanged();
    /// Called when the store has come back from a copy.
    void onStoreRestored();

private:
    void readSightings();
    void writeSightings(bool holdsLease, Instant now);
    void writeStreams(Instant now);

    EntryState &m_state;
    bool m_isReadPending = false;
    bool m_isSightingWritePending = false;
    bool m_isStreamWritePending = false;
    Instant m_nextUpdateAt;
    Instant m_nextReadAt;
    Instant m_nextStreamWriteAt;
    std::optional<Instant> m_writeSightingsAt; // set after a change
    Instant m_sightingsWrittenAt;
};

} // namespace quetzalyoke

#endif
