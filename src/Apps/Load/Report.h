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

/// Which of \a requests were within their account's rate and burst, by an exact bucket of what
/// the account was served before, also where that was too much.
std::vector<bool> findWithinRate(const Experiment &experiment,
                                 const std::vector<PlannedRequest> &requests,
                                 const std::vector<RequestOutcome> &outcomes);

/// Measures of an experiment from what was planned, seen by callers and run by the stand-ins.
nlohmann::json makeReport(const Experiment &experiment, const std::vector<PlannedRequest> &requests,
                          const std::vector<RequestOutcome> &outcomes,
                          const StandInRunSummary &record);

/// \a report in lines for people.
std::string describeReport(const nlohmann::json &report);

} // namespace quetzalyoke

#endif
