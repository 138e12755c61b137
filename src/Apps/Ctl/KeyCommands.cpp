#include "Apps/Ctl/KeyCommands.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr const char *keysPath = "/operator/keys";

// Adds \a remedy to the message if the outcome of a change is unknown.
Error withRemedy(const Error &e, const std::string &remedy)
{
    if (e.kind() != ErrorKind::OutcomeUnknown)
        return e;
    return {e.kind(), std::string(e.what()) + "; " + remedy};
}

void requireKeyId(const std::string &id)
{
    const bool isHex = !id.empty() && id.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!isHex) {
        throw Error(ErrorKind::BadSettings,
                    "a key's id is hexadecimal; see quetzalyokectl key list");
    }
}

} // namespace

KeyCommands::KeyCommands(OperatorClient &client, std::ostream &out) : m_client(client), m_out(out)
{ }

ExitCode KeyCommands::grant(const std::string &account)
{
    try {
        const auto key = m_client.post(keysPath, {{"account", account}});
        m_out << key.at("id").get<std::string>() << ' ' << key.at("key").get<std::string>() << '\n';
    } catch (const Error &e) {
        throw withRemedy(e,
                         "run quetzalyokectl key list, withdraw the key that you were not "
                         "shown, and grant another");
    }
    return ExitCode::Done;
}

ExitCode KeyCommands::withdraw(const std::string &id)
{
    requireKeyId(id);
    try {
        m_client.remove(std::string(keysPath) + "/" + id);
    } catch (const Error &e) {
        throw withRemedy(e, "withdraw it again: withdrawing twice does no harm");
    }
    m_out << id << " is withdrawn\n";
    return ExitCode::Done;
}

ExitCode KeyCommands::list()
{
    const auto response = m_client.get(keysPath);
    for (const auto &it : response.at("keys")) {
        m_out << it.at("id").get<std::string>() << ' ' << it.at("account").get<std::string>()
              << (it.at("withdrawn").get<bool>() ? " withdrawn" : "") << '\n';
    }
    return ExitCode::Done;
}

} // namespace quetzalyoke
