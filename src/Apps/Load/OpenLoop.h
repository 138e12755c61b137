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

/// Sends \a requests at their planned times regardless of the responses, and returns the outcome of
/// each.
///
/// If a request starts late because all callers are busy, its latency is still measured from its
/// planned time. The events of \a experiment are printed to the standard output when they are due.
std::vector<RequestOutcome> runOpenLoop(const Experiment &experiment,
                                        const std::vector<PlannedRequest> &requests,
                                        const std::vector<Address> &gateways,
                                        const AccountKeys &keys);

} // namespace quetzalyoke

#endif
