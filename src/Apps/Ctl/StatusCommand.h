#ifndef QUETZALYOKE_APPS_CTL_STATUSCOMMAND_H
#define QUETZALYOKE_APPS_CTL_STATUSCOMMAND_H

#include "Apps/Ctl/ExitCode.h"
#include "Apps/Ctl/OperatorClient.h"

#include <ostream>

namespace quetzalyoke {

/// Prints the status of each gateway named on the command line, as a JSON array with one object
/// per gateway. For a gateway that doesn't respond, the object has "gateway" and "error" only.
ExitCode printStatus(OperatorClient &client, std::ostream &out);

} // namespace quetzalyoke

#endif
