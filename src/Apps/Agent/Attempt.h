#ifndef QUETZALYOKE_APPS_AGENT_ATTEMPT_H
#define QUETZALYOKE_APPS_AGENT_ATTEMPT_H

#include "Core/StrongTypes.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>

namespace quetzalyoke {

/// \brief One attempt at a request: its submission, and its answer as far as it has come.
///
/// The backend thread appends; gateway threads fetch from an offset, which also releases the
/// bytes before it. The buffer is bounded, so a slow caller slows the backend's stream.
class Attempt
{
public:
    Attempt(const wire::Submission &submission, Instant now, std::size_t bufferBytes);

    const wire::Submission &submission() const { return m_submission; }
    Instant deadline() const { return m_deadline; }

    /// Marks the attempt as handed to the backend server; false where it was cancelled before.
    bool start();
    bool isCancelled() const;
    bool hasStarted() const;
    /// Cancels; an attempt that has not started will never run.
    void cancel();

    void setHeaders(int status, std::vector<wire::Header> headers);
    /// Appends answer bytes. Waits while the buffer is full; false once cancelled.
    bool append(const char *data, std::size_t n, std::int64_t tokens);
    void finish(Instant now);
    void fail(Instant now, wire::ErrorCode::type error, const std::string &message,
              std::chrono::milliseconds retryAfter);

    /// What is known from \a offset on; waits up to \a wait for something new.
    wire::Progress fetch(std::int64_t offset, std::chrono::milliseconds wait);

    bool isFinished() const;
    Instant finishedAt() const;

private:
    wire::RunState::type runStateLocked() const;
    void endLocked(Instant now);

    const wire::Submission m_submission;
    const Instant m_deadline;
    const std::size_t m_bufferBytes;

    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_changed;
    bool m_started = false;
    bool m_cancelled = false;
    bool m_finished = false;
    Instant m_finishedAt;
    bool m_headersKnown = false;
    int m_status = 0;
    std::vector<wire::Header> m_headers;
    std::string m_buffer;
    std::int64_t m_bufferOffset = 0; // of the first buffered byte in the answer
    std::int64_t m_tokens = 0;
    wire::ErrorCode::type m_error = wire::ErrorCode::None;
    std::string m_errorMessage;
    std::chrono::milliseconds m_retryAfter{0};
};

} // namespace quetzalyoke

#endif
