#ifndef QUETZALYOKE_APPS_ENTRY_LISTCONFIRMATION_H
#define QUETZALYOKE_APPS_ENTRY_LISTCONFIRMATION_H

#include "Ports/EntryPlatform.h"

namespace quetzalyoke {

/// \brief Finds out whether the list of servers has all entries up to now; no I/O.
///
/// That the store's last call has not failed, or that a peer was heard lately, shows nothing of the
/// last seconds. Requests that come together share a call to the store; without the store, peers
/// that are heard after the request confirm the list.
class ListConfirmation
{
public:
    using DoneHook = std::function<void(bool isConfirmed)>;

    struct Hooks
    {
        std::function<Instant()> now;
        /// Returns whether every peer that is heard has stated since \a time that it knows no later
        /// list, and there is one.
        std::function<bool(Instant time)> isConfirmedByPeers;
    };

    ListConfirmation(EntryPlatform &platform, Hooks hooks);

    /// Calls \a done once it is known that the list has all that was in the store at the time of
    /// this call, or at the latest after 0.6 s.
    void request(DoneHook done);
    void tick();

private:
    struct Pending
    {
        Instant requestedAt;
        DoneHook done;
    };

    void askStore();
    void finish(const std::function<bool(const Pending &)> &isReady, bool isConfirmed);

    EntryPlatform &m_platform;
    const Hooks m_hooks;
    std::vector<Pending> m_pending;
    std::optional<Instant> m_askedAt; // the latest call that the store has not responded to
    Instant m_nextAskAt;
};

} // namespace quetzalyoke

#endif
