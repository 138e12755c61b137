#ifndef QUETZALYOKE_APPS_CTL_SERVICELISTCOMMANDS_H
#define QUETZALYOKE_APPS_CTL_SERVICELISTCOMMANDS_H

#include "Apps/Ctl/ExitCode.h"
#include "Apps/Ctl/OperatorClient.h"
#include "Core/StrongTypes.h"

#include <optional>
#include <ostream>
#include <string>

namespace quetzalyoke {

/// Checks the service list in the file \a path and prints every mistake in it.
ExitCode checkServiceList(const std::string &path, std::ostream &out);

/// \brief Commands that show, compare and change the service list in force.
class ServiceListCommands
{
public:
    ServiceListCommands(OperatorClient &client, std::ostream &out);

    /// Prints a line with the version in force, followed by the text.
    ExitCode show();
    /// Prints each entry that applying \a path would change.
    ExitCode diff(const std::string &path);
    /// Puts the file \a path in force if the version that the operator saw is still in force. That
    /// version is \a seenVersion, or else the one in the file's version line.
    ExitCode apply(const std::string &path, const std::optional<Version> &seenVersion);

private:
    OperatorClient &m_client;
    std::ostream &m_out;
};

} // namespace quetzalyoke

#endif
