#ifndef QUETZALYOKE_APPS_AGENT_ATTEMPT_H
#define QUETZALYOKE_APPS_AGENT_ATTEMPT_H

#include "Core/Requests/Timeline.h"
#include "Core/StrongTypes.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief One attempt at a request: its submission and the response received so far.
///
/// A worker thread appends response bytes; gateway threads fetch them from an offset, which also
/// discards the bytes before it. The buffer is bounded, so a slow caller slows down the backend
/// server's stream. The response to a request that is not idempotent is kept whole while it fits
/// into the buffer, so that another gateway can still fetch it.
class Attempt
{
public:
    Attempt(const wire::Submission &submission, Instant now, std::size_t bufferBytes);

    const wire::Submission &submission() const { return m_submission; }
    Instant deadline() const { return m_deadline; }

    /// Marks the attempt as started, just before it is sent to the backend server. Returns false if
    /// it is already cancelled or finished.
    bool tryStart();
    bool isCancelled() const;
    /// Cancels the attempt and returns its run state. An attempt that has not started never runs.
    wire::RunState::type cancel();
    /// Sets a function that is called once when the attempt is cancelled; an empty one removes it.
    void setCancelHook(std::function<void()> hook);

    void setStatusAndHeaders(int status, std::vector<wire::Header> headers);
    /// Appends response bytes. Waits while the buffer is full. Returns false once the attempt is
    /// cancelled.
    bool append(const char *data, std::size_t n, std::int64_t tokens);
    void complete(Instant now);
    void fail(Instant now, wire::ErrorCode::type error, const std::string &message,
              std::chrono::milliseconds retryAfter);
    /// Like fail(), for a request that the backend server refused or did not receive, so that it
    /// did not run.
    void failAsNotRun(Instant now, const std::string &message,
                      std::chrono::milliseconds retryAfter);
    /// Like fail(), for a crash of the backend server; \a incident identifies the crash.
    void failAsCrashed(Instant now, const std::string &incident,
                       std::chrono::milliseconds retryAfter);

    /// Returns the attempt's state and the response bytes from \a offset on. Waits up to \a wait
    /// for something new.
    wire::Progress fetch(std::int64_t offset, std::chrono::milliseconds wait);

    bool isFinished() const;
    Instant finishedAt() const;
    /// Returns whether a gateway has fetched the response to its end, or the attempt was cancelled.
    bool isDelivered() const;

private:
    wire::RunState::type runStateLocked() const;
    void finishLocked(Instant now);
    void recordEvent(TimelineEventKind kind, const std::string &detail = {}) const;
    void discardBeforeLocked(std::int64_t offset);
    std::int64_t endOffsetLocked() const;

    const wire::Submission m_submission;
    const Instant m_deadline;
    const std::size_t m_bufferBytes;

    mutable std::mutex m_mutex; // guards the members below
    std::condition_variable m_changed;
    std::function<void()> m_cancelHook;
    bool m_started = false;
    bool m_cancelled = false;
    bool m_finished = false;
    bool m_delivered = false;
    Instant m_finishedAt;
    bool m_headersKnown = false;
    int m_status = 0;
    std::vector<wire::Header> m_headers;
    std::string m_buffer;
    std::int64_t m_bufferOffset = 0; // of the first buffered byte in the response
    std::int64_t m_tokenCount = 0;
    wire::ErrorCode::type m_error = wire::ErrorCode::None;
    std::string m_errorMessage;
    std::chrono::milliseconds m_retryAfter{0};
    std::string m_incident;
};

} // namespace quetzalyoke

#endif
