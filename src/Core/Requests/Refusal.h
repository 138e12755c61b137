#ifndef QUETZALYOKE_CORE_REQUESTS_REFUSAL_H
#define QUETZALYOKE_CORE_REQUESTS_REFUSAL_H

#include <chrono>
#include <string>

namespace quetzalyoke {

/// \brief Whether a refused request reached a backend server.
enum class RunState {
    NotRun, ///< The request never reached a backend server.
    Unknown, ///< The request may have run.
    Partial, ///< The request ran, but the response was cut off.
};

/// Returns the text for \a state in the response header that callers receive.
const char *runStateText(RunState state);

/// \brief The final response to a request that was not completed.
struct Refusal
{
    int status = 503; ///< HTTP status.
    std::string code; ///< Machine-readable error code, such as "rate_limited".
    std::string message; ///< Tells the caller what happened and what to do.
    RunState runState = RunState::NotRun;
    std::chrono::milliseconds retryAfter{0}; ///< 0 if a retry won't help.
};

} // namespace quetzalyoke

#endif
