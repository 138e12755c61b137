#include "ChildProcess.h"

#include "Core/Error.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace quetzalyoke::scenarios {

namespace {

constexpr std::chrono::milliseconds pollInterval{5};
constexpr int exitNotStarted = 127;
constexpr mode_t logMode = 0600;

[[noreturn]] void becomeProgram(const std::string &program, const std::string &settingsFile,
                                int log)
{
    // Ends the child even if the runner itself is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), "--settings", settingsFile.c_str(), nullptr);
    _exit(exitNotStarted);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::string &settingsFile,
                           const std::string &logFile)
{
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logMode);
    if (log < 0)
        throw Error(ErrorKind::BadSettings, logFile + " can't be opened for writing; check TMPDIR");
    m_pid = fork();
    if (m_pid == 0)
        becomeProgram(program, settingsFile, log);
    close(log);
    if (m_pid < 0)
        throw Error(ErrorKind::BadSettings, "can't start a process; raise the process limit");
}

ChildProcess::~ChildProcess()
{
    if (m_ending)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void ChildProcess::sendSignal(int signal)
{
    if (!m_ending)
        kill(m_pid, signal);
}

std::optional<ProcessExit> ChildProcess::waitForExit(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!m_ending) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_ending.emplace();
            if (WIFEXITED(status))
                m_ending->exitStatus = WEXITSTATUS(status);
            else
                m_ending->signal = WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= end)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    return m_ending;
}

} // namespace quetzalyoke::scenarios
