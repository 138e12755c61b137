#ifndef QUETZALYOKE_ADAPTERS_PROCESS_H
#define QUETZALYOKE_ADAPTERS_PROCESS_H

#include "Core/Configuration/IniSectionReader.h"
#include "Core/StrongTypes.h"

#include <functional>
#include <string>

namespace quetzalyoke {

/// \brief Startup, signal handling and settings that every long-running program shares.
///
/// Accepts `--settings FILE` (or QUETZALYOKE_SETTINGS), `--check-settings`, `--help` and
/// `--version`.
class Process
{
public:
    /// Reads a settings file into the program's own structure.
    using SettingsReader = std::function<void(const IniDocument &, Problems &)>;
    /// Runs the program until isStopRequested() and returns the exit status.
    using MainFunction = std::function<int()>;

    /// Parses the command line, starts logging, reads the settings and runs \a mainFunction.
    /// Returns the exit status: 2 for wrong arguments or settings, 1 for another Error.
    static int run(int argc, char **argv, const std::string &name, const SettingsReader &reader,
                   const MainFunction &mainFunction);

    /// Returns the product's version, as --version prints it.
    static std::string version();
    /// Returns whether SIGTERM or SIGINT has arrived.
    static bool isStopRequested();
    /// Returns whether a second signal has arrived, which asks to stop without draining.
    static bool isForcedStopRequested();
    /// Waits until a signal arrives or \a timeout has passed; returns isStopRequested().
    static bool waitForStop(std::chrono::milliseconds timeout);

    /// Returns the time of the monotonic clock.
    static Instant now();
    /// Returns this process's incarnation: the wall-clock time of its start, in microseconds.
    static Incarnation incarnation();
    /// Returns the text of the file \a path without trailing white space. Throws Error
    /// (BadSettings).
    static std::string readFile(const std::string &path);
};

} // namespace quetzalyoke

#endif
