#include "Adapters/Process.h"
#include "Apps/Ctl/KeyCommands.h"
#include "Apps/Ctl/ServiceListCommands.h"
#include "Apps/Ctl/StatusCommand.h"
#include "Apps/Ctl/TimelineCommand.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace quetzalyoke;

namespace {

constexpr const char *footer
    = "Exit codes: 0 done, 1 refused or the list has mistakes, 2 wrong command line, file or\n"
      "credential, 3 no gateway answered (nothing happened), 4 outcome unknown, 5 somebody else\n"
      "changed it first (look again), 6 diff found changes.";

// The values of the command line's options.
struct Options
{
    std::vector<std::string> gateways;
    std::string secretFile;
    std::string file;
    std::int64_t seen = 0;
    bool first = false;
    std::string account;
    std::string keyId;
    TimelineQuery timeline;
};

using Command = std::function<ExitCode(OperatorClient &)>;

// Defines the subcommands with their options and runs the chosen one.
class CommandLine
{
public:
    CommandLine() : m_app("Operates quetzalyoke through any of its gateways")
    {
        m_app.set_version_flag("--version", "quetzalyokectl " + Process::version());
        m_app.footer(footer);
        m_app.require_subcommand(1);
        m_app.fallthrough();
        m_app
            .add_option("--gateway", m_options.gateways,
                        "IP:PORT of a gateway, or several with commas: the next one is tried "
                        "if one does not respond")
            ->delimiter(',')
            ->envname("QUETZALYOKE_GATEWAY");
        m_app
            .add_option("--operator-secret-file", m_options.secretFile,
                        "file with the operators' credential")
            ->envname("QUETZALYOKE_OPERATOR_SECRET_FILE");
        addServiceListCommands();
        addKeyCommands();
        addCommand(m_app, "status", "print what each named gateway knows, as JSON",
                   [](OperatorClient &client) { return printStatus(client, std::cout); });
        addTimelineCommand();
    }

    int run(int argc, char **argv)
    {
        try {
            m_app.parse(argc, argv);
        } catch (const CLI::ParseError &e) {
            return static_cast<int>(m_app.exit(e) == 0 ? ExitCode::Done : ExitCode::BadUsage);
        }
        try {
            return static_cast<int>(runCommand());
        } catch (const Error &e) {
            std::cerr << e.what() << '\n';
            return static_cast<int>(exitCodeFor(e.kind()));
        } catch (const nlohmann::json::exception &e) {
            std::cerr << "the gateway's response could not be parsed (" << e.what()
                      << "); use a quetzalyokectl of the same version\n";
            return static_cast<int>(ExitCode::Refused);
        }
    }

private:
    ExitCode runCommand()
    {
        if (*m_checkCommand)
            return checkServiceList(m_options.file, std::cout);
        OperatorClient client(m_options.gateways, readSecret());
        return m_chosenCommand(client);
    }

    std::string readSecret() const
    {
        if (m_options.secretFile.empty()) {
            throw Error(ErrorKind::BadSettings,
                        "no credential; give --operator-secret-file or set "
                        "QUETZALYOKE_OPERATOR_SECRET_FILE");
        }
        return Process::readFile(m_options.secretFile);
    }

    CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &brief,
                         const Command &command)
    {
        CLI::App *added = parent.add_subcommand(name, brief);
        added->fallthrough();
        added->callback([this, command] { m_chosenCommand = command; });
        return added;
    }

    void addServiceListCommands()
    {
        m_checkCommand = m_app.add_subcommand("check", "report every mistake in a service list");
        m_checkCommand->add_option("FILE", m_options.file)->required();
        addCommand(
            m_app, "show", "print the service list in force, with its version on the first line",
            [](OperatorClient &client) { return ServiceListCommands(client, std::cout).show(); });
        addCommand(m_app, "diff", "print what apply would change, by entry",
                   [this](OperatorClient &client) {
                       return ServiceListCommands(client, std::cout).diff(m_options.file);
                   })
            ->add_option("FILE", m_options.file)
            ->required();
        CLI::App *apply = addCommand(
            m_app, "apply", "put a service list in force", [this](OperatorClient &client) {
                return ServiceListCommands(client, std::cout).apply(m_options.file, seenVersion());
            });
        apply->add_option("FILE", m_options.file)->required();
        m_seenOption
            = apply
                  ->add_option("--seen", m_options.seen,
                               "version that the change is based on; without it, the one on "
                               "the file's first line")
                  ->check(CLI::NonNegativeNumber);
        apply->add_flag("--first", m_options.first, "no service list is in force yet")
            ->excludes(m_seenOption);
    }

    void addKeyCommands()
    {
        CLI::App *keys = m_app.add_subcommand("key", "grant, withdraw and list keys");
        keys->require_subcommand(1);
        keys->fallthrough();
        addCommand(*keys, "grant", "grant a key to a client account; prints its id and the key",
                   [this](OperatorClient &client) {
                       return KeyCommands(client, std::cout).grant(m_options.account);
                   })
            ->add_option("ACCOUNT", m_options.account)
            ->required();
        addCommand(*keys, "withdraw", "withdraw a key; returns once it works nowhere",
                   [this](OperatorClient &client) {
                       return KeyCommands(client, std::cout).withdraw(m_options.keyId);
                   })
            ->add_option("ID", m_options.keyId)
            ->required();
        addCommand(*keys, "list", "list keys: id, account, withdrawn or not",
                   [](OperatorClient &client) { return KeyCommands(client, std::cout).list(); });
    }

    void addTimelineCommand()
    {
        TimelineQuery &query = m_options.timeline;
        CLI::App *timeline
            = addCommand(m_app, "timeline", "print the events of all processes in causal order",
                         [&query](OperatorClient &client) {
                             return printTimeline(client, query, std::cout, std::cerr);
                         });
        timeline->add_option("--request", query.requestId, "only the events of this request id");
        timeline->add_option("--limit", query.limit, "maximum number of events of each process")
            ->check(CLI::Range(1, 10'000))
            ->capture_default_str();
        timeline->add_flag("--json", query.json, "print JSON instead of text");
    }

    std::optional<Version> seenVersion() const
    {
        if (m_options.first)
            return Version(0);
        return *m_seenOption ? std::optional(Version(m_options.seen)) : std::nullopt;
    }

    CLI::App m_app;
    Options m_options;
    CLI::App *m_checkCommand = nullptr;
    CLI::Option *m_seenOption = nullptr;
    Command m_chosenCommand;
};

} // namespace

int main(int argc, char **argv)
{
    CommandLine commandLine;
    return commandLine.run(argc, argv);
}
