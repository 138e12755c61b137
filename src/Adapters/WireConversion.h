#ifndef QUETZALYOKE_ADAPTERS_WIRECONVERSION_H
#define QUETZALYOKE_ADAPTERS_WIRECONVERSION_H

#include "Core/Routing/AgentDirectory.h"
#include "Core/State/PeerStatus.h"
#include "Core/State/StateCache.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <vector>

namespace quetzalyoke {

/// Converts \a status for a peer message. Ages are rounded up to whole milliseconds, so that they
/// are never understated.
wire::PeerDigest toWire(const PeerStatus &status);
PeerStatus fromWire(const wire::PeerDigest &digest);

std::vector<wire::StateRow> toWire(const std::vector<StateRow> &rows);
std::vector<StateRow> fromWire(const std::vector<wire::StateRow> &rows);

/// Converts an agent's \a report. An agent whose backend server is down counts as draining.
AgentStatus fromWire(const wire::AgentReport &report);

} // namespace quetzalyoke

#endif
