#ifndef QUETZALYOKE_SCENARIOS_CHILDPROCESS_H
#define QUETZALYOKE_SCENARIOS_CHILDPROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>

namespace quetzalyoke::scenarios {

/// \brief How a process ended.
struct ProcessExit
{
    int exitStatus = -1; ///< -1 where a signal ended it.
    int signal = 0; ///< 0 where it exited.
};

/// \brief One process of the system or a stand-in; killed and reaped on destruction.
class ChildProcess
{
public:
    /// Starts \a program on \a settingsFile; its log goes to \a logFile. Throws Error
    /// (BadSettings).
    ChildProcess(const std::string &program, const std::string &settingsFile,
                 const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends \a signal; does nothing once the process has ended.
    void sendSignal(int signal);
    /// The ending, once the process has ended within \a limit.
    std::optional<ProcessExit> waitForExit(std::chrono::milliseconds limit);

private:
    pid_t m_pid = -1;
    std::optional<ProcessExit> m_ending;
};

} // namespace quetzalyoke::scenarios

#endif
