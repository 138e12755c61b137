#ifndef QUETZALYOKE_APPS_LOAD_REPORT_H
#define QUETZALYOKE_APPS_LOAD_REPORT_H

#include "Apps/Load/Experiment.h"
#include "Apps/Load/RequestOutcome.h"
#include "Apps/Load/Schedule.h"
#include "Apps/Load/StandInRunSummary.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace quetzalyoke {

/// Returns for each of \a requests whether it was within its account's rate and burst. This is
/// computed with a token bucket that is charged with everything the account was served before, even
/// beyond its rate.
std::vector<bool> findWithinRate(const Experiment &experiment,
                                 const std::vector<PlannedRequest> &requests,
                                 const std::vector<RequestOutcome> &outcomes);

/// Computes the report of an experiment from the planned requests, their outcomes as seen by
/// callers, and the stand-ins' records of what they ran.
nlohmann::json makeReport(const Experiment &experiment, const std::vector<PlannedRequest> &requests,
                          const std::vector<RequestOutcome> &outcomes,
                          const StandInRunSummary &summary);

/// Formats \a report as text.
std::string describeReport(const nlohmann::json &report);

} // namespace quetzalyoke

#endif
