#ifndef QUETZALYOKE_APPS_CTL_SERVICELISTCOMMANDS_H
#define QUETZALYOKE_APPS_CTL_SERVICELISTCOMMANDS_H

#include "Apps/Ctl/ExitCode.h"
#include "Apps/Ctl/OperatorClient.h"
#include "Core/StrongTypes.h"

#include <optional>
#include <ostream>
#include <string>

namespace quetzalyoke {

/// Prints every mistake in the service list \a path.
ExitCode checkServiceList(const std::string &path, std::ostream &out);

/// \brief Commands that show, compare and change the service list in force.
class ServiceListCommands
{
public:
    ServiceListCommands(OperatorClient &client, std::ostream &out);

    /// Prints the text in force below a line with its version.
    ExitCode show();
    /// Prints by entry what apply would change.
    ExitCode diff(const std::string &path);
    /// Puts \a path in force if the version that the operator saw still is: \a seen, or the one in
    /// the text's version line.
    ExitCode apply(const std::string &path, const std::optional<Version> &seen);

private:
    OperatorClient &m_client;
    std::ostream &m_out;
};

} // namespace quetzalyoke

#endif
