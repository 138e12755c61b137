#ifndef QUETZALYOKE_CORE_REQUESTS_REFUSAL_H
#define QUETZALYOKE_CORE_REQUESTS_REFUSAL_H

#include <chrono>
#include <string>

namespace quetzalyoke {

/// \brief Whether a refused request reached a backend server.
enum class RunState {
    NotRun, ///< No backend server ever saw it.
    Unknown, ///< It may have run.
    Partial, ///< It ran, and the answer was cut.
};

/// The word for \a state in the header that callers see.
const char *runStateText(RunState state);

/// \brief The final answer to a request that is not completed.
struct Refusal
{
    int status = 503; ///< HTTP status.
    std::string code; ///< Machine-readable kind, such as "rate_limited".
    std::string message; ///< Names the remedy.
    RunState runState = RunState::NotRun;
    std::chrono::milliseconds retryAfter{0}; ///< 0: asking again won't help.
};

} // namespace quetzalyoke

#endif
