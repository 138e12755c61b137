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
    int exitStatus = -1; ///< -1 if a signal ended it.
    int signal = 0; ///< 0 if it exited.
};

/// \brief A process of the system or of a stand-in, which is killed and reaped on destruction.
class ChildProcess
{
public:
    /// Starts \a program with \a settingsFile and writes its log to \a logFile. Throws Error
    /// (BadSettings) if that fails.
    ChildProcess(const std::string &program, const std::string &settingsFile,
                 const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }
    /// Sends \a signal; does nothing once the process has ended.
    void sendSignal(int signal);
    /// Waits up to \a limit for the process to end. Returns nothing if it is still running.
    std::optional<ProcessExit> waitForExit(std::chrono::milliseconds limit);

private:
    pid_t m_pid = -1;
    std::optional<ProcessExit> m_ending;
};

} // namespace quetzalyoke::scenarios

#endif
