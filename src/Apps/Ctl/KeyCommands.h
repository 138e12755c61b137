#ifndef QUETZALYOKE_APPS_CTL_KEYCOMMANDS_H
#define QUETZALYOKE_APPS_CTL_KEYCOMMANDS_H

#include "Apps/Ctl/ExitCode.h"
#include "Apps/Ctl/OperatorClient.h"

#include <ostream>
#include <string>

namespace quetzalyoke {

/// \brief Commands that grant, withdraw and list keys.
class KeyCommands
{
public:
    KeyCommands(OperatorClient &client, std::ostream &out);

    /// Prints the key's id and the key; it is shown only this once.
    ExitCode grant(const std::string &account);
    ExitCode withdraw(const std::string &id);
    /// Prints a line a key: id, account, and "withdrawn" where it is.
    ExitCode list();

private:
    OperatorClient &m_client;
    std::ostream &m_out;
};

} // namespace quetzalyoke

#endif
