#include "Apps/Ctl/ServiceListCommands.h"

#include "Adapters/Process.h"
#include "Core/Configuration/ServiceListCheck.h"
#include "Core/Configuration/ServiceListDiff.h"
#include "Core/Configuration/VersionLine.h"

namespace quetzalyoke {

namespace {

constexpr const char *configurationPath = "/operator/configuration";

std::string readText(const std::string &path)
{
    return Process::readFile(path) + "\n";
}

// Throws Error (BadSettings) if neither the command line nor the text names a version.
Version requireSeenVersion(const std::string &text, const std::optional<Version> &given)
{
    if (given)
        return *given;
    const auto version = VersionLine::read(text);
    if (version)
        return *version;
    throw Error(ErrorKind::BadSettings,
                "the file does not say which version it is based on; begin with the output of "
                "quetzalyokectl show, whose first line is \"; version N\", or give --seen N, or "
                "--first if no list is in force yet");
}

} // namespace

ExitCode checkServiceList(const std::string &path, std::ostream &out)
{
    const CheckedServiceList checked = ServiceListCheck::parseAndCheck(readText(path), path);
    out << formatProblems(checked.problems);
    for (const Problem &it : checked.notices)
        out << "note: " << it.text() << '\n';
    if (!checked.problems.empty())
        return ExitCode::Refused;
    out << path << ": the service list is valid\n";
    return ExitCode::Done;
}

ServiceListCommands::ServiceListCommands(OperatorClient &client, std::ostream &out)
    : m_client(client), m_out(out)
{ }

ExitCode ServiceListCommands::show()
{
    const auto response = m_client.get(configurationPath);
    m_out << VersionLine::add(response.at("text"), Version(response.at("version")));
    return ExitCode::Done;
}

ExitCode ServiceListCommands::diff(const std::string &path)
{
    const CheckedServiceList wanted = ServiceListCheck::parseAndCheck(readText(path), path);
    if (!wanted.problems.empty()) {
        m_out << formatProblems(wanted.problems);
        return ExitCode::Refused;
    }
    const auto response = m_client.get(configurationPath);
    Problems ignored; // The text in force was checked when it was applied.
    const ServiceList current = ServiceList::parse(response.at("text"), "in force", ignored);
    const auto changes = diffServiceLists(current, wanted.list);
    m_out << "in force: version " << response.at("version") << '\n';
    m_out << (changes.empty() ? "no entry differs\n" : formatChanges(changes));
    return changes.empty() ? ExitCode::Done : ExitCode::Differs;
}

ExitCode ServiceListCommands::apply(const std::string &path,
                                    const std::optional<Version> &seenVersion)
{
    const std::string text = readText(path);
    const Version version = requireSeenVersion(text, seenVersion);
    try {
        const auto response = m_client.put(
            configurationPath, {{"seen", std::to_string(version.count())}, {"file", path}}, text);
        m_out << "version " << response.at("version") << " is in force\n";
    } catch (const Error &e) {
        if (e.kind() != ErrorKind::OutcomeUnknown)
            throw;
        throw Error(e.kind(),
                    std::string(e.what()) + "; run quetzalyokectl diff " + path
                        + " to see, then apply the same file again: it is put in force once");
    }
    return ExitCode::Done;
}

} // namespace quetzalyoke
