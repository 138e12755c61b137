#ifndef QUETZALYOKE_STANDINS_ENGINE_SEQUENCE_H
#define QUETZALYOKE_STANDINS_ENGINE_SEQUENCE_H

#include "StandIns/Engine/Prompt.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief A request in the batch; the thread that writes its response waits here for tokens.
struct Sequence
{
    Sequence(Prompt requestPrompt, std::int64_t firstToken, std::int64_t endToken)
        : prompt(std::move(requestPrompt)), m_outputTokens(firstToken), m_endToken(endToken)
    { }

    /// Waits up to \a wait until there are more than \a sent tokens or the sequence is cancelled.
    /// Returns the number of output tokens.
    std::int64_t waitForTokens(std::int64_t sent, std::chrono::milliseconds wait);
    void addToken();
    void cancel();
    bool isCancelled() const;
    bool isComplete() const;
    std::int64_t outputTokens() const;

    const Prompt prompt;
    int priority = 0; ///< Lower values run first.
    bool crashesEngine = false;
    nlohmann::json runLogEntry; ///< Line of /record; guarded by the batch's lock.
    std::int64_t remainingPrefillTokens = 0; ///< Guarded by the batch's lock.

private:
    mutable std::mutex m_mutex; // guards the members below
    std::condition_variable m_changed;
    std::int64_t m_outputTokens = 0;
    const std::int64_t m_endToken;
    bool m_cancelled = false;
};

} // namespace quetzalyoke::standins

#endif
