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

    /// Grants a key to \a account and prints its id and the key, which can't be shown again.
    ExitCode grant(const std::string &account);
    ExitCode withdraw(const std::string &id);
    /// Prints one line per key: its id, its account, and "withdrawn" if it is withdrawn.
    ExitCode list();

private:
    OperatorClient &m_client;
    std::ostream &m_out;
};

} // namespace quetzalyoke

#endif
