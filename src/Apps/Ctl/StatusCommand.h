#ifndef QUETZALYOKE_APPS_CTL_STATUSCOMMAND_H
#define QUETZALYOKE_APPS_CTL_STATUSCOMMAND_H

#include "Apps/Ctl/ExitCode.h"
#include "Apps/Ctl/OperatorClient.h"

#include <ostream>

namespace quetzalyoke {

/// Prints what each gateway named on the command line knows, as a JSON array with one object a
/// gateway. A gateway that gives no answer is an object with "gateway" and "error".
ExitCode printStatus(OperatorClient &client, std::ostream &out);

} // namespace quetzalyoke

#endif
