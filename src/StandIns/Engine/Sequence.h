#ifndef QUETZALYOKE_STANDINS_ENGINE_SEQUENCE_H
#define QUETZALYOKE_STANDINS_ENGINE_SEQUENCE_H

#include "StandIns/Engine/Prompt.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief A request's place in the batch; its stream waits here for words.
struct Sequence
{
    Sequence(Prompt requestPrompt, std::int64_t first, std::int64_t last)
        : prompt(std::move(requestPrompt)), m_made(first), m_limit(last)
    { }

    /// Waits up to \a wait until more than \a sent words are made, or none will be.
    std::int64_t waitForTokens(std::int64_t sent, std::chrono::milliseconds wait);
    void addToken();
    void cancel();
    bool isCancelled() const;
    bool isComplete() const;
    std::int64_t outputTokens() const;

    const Prompt prompt;
    int priority = 0; ///< Lower runs first.
    bool crashesEngine = false;
    nlohmann::json runLogEntry; ///< Line of /record; of the batch's lock.
    std::int64_t remainingPrefillTokens = 0; ///< Prompt tokens; of the batch's lock.

private:
    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_changed;
    std::int64_t m_made = 0;
    const std::int64_t m_limit;
    bool m_cancelled = false;
};

} // namespace quetzalyoke::standins

#endif
