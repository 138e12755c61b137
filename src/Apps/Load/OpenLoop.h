#ifndef QUETZALYOKE_APPS_LOAD_OPENLOOP_H
#define QUETZALYOKE_APPS_LOAD_OPENLOOP_H

#include "Adapters/Address.h"
#include "Apps/Load/RequestOutcome.h"
#include "Apps/Load/Schedule.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalyoke {

using AccountKeys = std::map<AccountId, std::string>;

/// Sends \a requests at their times, whatever the answers do, and gives an outcome for each.
///
/// A request that starts late, because all callers are busy, is still timed from when it was due.
/// The events of \a experiment are printed to the standard output as they fall due.
std::vector<RequestOutcome> runOpenLoop(const Experiment &experiment,
                                        const std::vector<PlannedRequest> &requests,
                                        const std::vector<Address> &gateways,
                                        const AccountKeys &keys);

} // namespace quetzalyoke

#endif
