#ifndef QUETZALYOKE_ADAPTERS_PROCESS_H
#define QUETZALYOKE_ADAPTERS_PROCESS_H

#include "Core/Configuration/IniSectionReader.h"
#include "Core/StrongTypes.h"

#include <functional>
#include <string>

namespace quetzalyoke {

/// \brief Start, signals and settings shared by every long-running program.
///
/// Reads `--settings FILE` (or QUETZALYOKE_SETTINGS), `--check-settings`, `--help` and `--version`.
class Process
{
public:
    /// Reads a settings file into the program's own structure.
    using SettingsReader = std::function<void(const IniDocument &, Problems &)>;
    /// Runs until isStopRequested(); its result is the exit status.
    using MainFunction = std::function<int()>;

    /// Parses the command line, reads the settings, starts logging and runs \a body.
    static int run(int argc, char **argv, const std::string &name, const SettingsReader &reader,
                   const MainFunction &body);

    /// Version of the product, as --version prints it.
    static std::string version();
    /// Whether SIGTERM or SIGINT has arrived.
    static bool isStopRequested();
    /// Whether a second signal asked to stop without waiting.
    static bool isForcedStopRequested();
    /// Waits until a signal arrives or \a timeout has passed; true once a stop is requested.
    static bool waitForStop(std::chrono::milliseconds timeout);

    static Instant now();
    /// Of this process: the wall-clock time of its start, in microseconds.
    static Incarnation incarnation();
    /// Whole text of \a path without trailing white space. Throws Error (BadSettings).
    static std::string readFile(const std::string &path);
};

} // namespace quetzalyoke

#endif
