#ifndef QUETZALYOKE_APPS_ENTRY_PEERMESSAGECHECK_H
#define QUETZALYOKE_APPS_ENTRY_PEERMESSAGECHECK_H

#include "Wire/generated/peers_types.h"

#include <cstddef>

namespace quetzalyoke {

/// \brief The outcome of checkPeerMessage().
struct PeerMessageVerdict
{
    bool isUsable = true; ///< The message itself can be used.
    std::size_t invalidEntries = 0; ///< Removed from it.
};

/// Removes the entries of \a message with texts that may not be names; see isExternalName(). A
/// message whose sender's own texts may not be names isn't usable.
PeerMessageVerdict checkPeerMessage(wire::PeerNews &message);

} // namespace quetzalyoke

#endif
