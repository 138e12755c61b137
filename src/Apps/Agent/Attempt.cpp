#include "Apps/Agent/Attempt.h"

#include "Adapters/ProcessTimeline.h"

#include <utility>

namespace quetzalyoke {

Attempt::Attempt(const wire::Submission &submission, Instant now, std::size_t bufferBytes)
    : m_submission(submission),
      m_deadline(now + std::chrono::milliseconds(m_submission.deadlineMillis)),
      m_bufferBytes(bufferBytes)
{ }

bool Attempt::tryStart()
{
    const std::lock_guard lock(m_mutex);
    if (m_cancelled || m_finished)
        return false;
    m_started = true;
    recordEvent(TimelineEventKind::AttemptStarted);
    return true;
}

bool Attempt::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

wire::RunState::type Attempt::cancel()
{
    std::function<void()> hook;
    wire::RunState::type state{};
    {
        const std::lock_guard lock(m_mutex);
        state = runStateLocked();
        if (m_finished)
            return state;
        if (!m_cancelled)
            recordEvent(TimelineEventKind::AttemptCancelled);
        m_cancelled = true;
        m_delivered = true; // no gateway will fetch the response
        hook = std::exchange(m_cancelHook, nullptr);
        m_changed.notify_all();
    }
    if (hook)
        hook();
    return state;
}

void Attempt::setCancelHook(std::function<void()> hook)
{
    const std::lock_guard lock(m_mutex);
    m_cancelHook = std::move(hook);
}

void Attempt::setStatusAndHeaders(int status, std::vector<wire::Header> headers)
{
    const std::lock_guard lock(m_mutex);
    m_headersKnown = true;
    m_status = status;
    m_headers = std::move(headers);
    m_changed.notify_all();
}

bool Attempt::append(const char *data, std::size_t n, std::int64_t tokens)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_cancelled || m_buffer.size() < m_bufferBytes; });
    if (m_cancelled)
        return false;
    m_buffer.append(data, n);
    m_tokenCount += tokens;
    m_changed.notify_all();
    return true;
}

void Attempt::complete(Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_finished)
        recordEvent(TimelineEventKind::AttemptFinished);
    finishLocked(now);
}

void Attempt::fail(Instant now, wire::ErrorCode::type error, const std::string &message,
                   std::chrono::milliseconds retryAfter)
{
    const std::lock_guard lock(m_mutex);
    if (m_finished)
        return;
    m_error = error;
    m_errorMessage = message;
    m_retryAfter = retryAfter;
    recordEvent(TimelineEventKind::AttemptFailed, " reason=\"" + message + "\"");
    finishLocked(now);
}

void Attempt::failAsNotRun(Instant now, const std::string &message,
                           std::chrono::milliseconds retryAfter)
{
    {
        const std::lock_guard lock(m_mutex);
        m_started = false;
        m_headersKnown = false;
    }
    fail(now, wire::ErrorCode::ModelNotReady, message, retryAfter);
}

void Attempt::failAsCrashed(Instant now, const std::string &incident,
                            std::chrono::milliseconds retryAfter)
{
    {
        const std::lock_guard lock(m_mutex);
        m_incident = incident;
    }
    fail(now, wire::ErrorCode::BackendCrashed, "the backend server crashed; retry later",
         retryAfter);
}

void Attempt::recordEvent(TimelineEventKind kind, const std::string &detail) const
{
    ProcessTimeline::record(kind, RequestId(m_submission.requestId),
                            "attempt=" + m_submission.attemptId + detail);
}

void Attempt::finishLocked(Instant now)
{
    m_finished = true;
    m_finishedAt = now;
    m_cancelHook = nullptr;
    m_changed.notify_all();
}

wire::Progress Attempt::fetch(std::int64_t offset, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const auto hasNews = [this, offset] {
        const bool hasNewHeaders = offset == 0 && m_headersKnown;
        return m_finished || hasNewHeaders || endOffsetLocked() > offset;
    };
    m_changed.wait_for(lock, wait, hasNews);

    wire::Progress progress;
    progress.attemptId = m_submission.attemptId;
    progress.offset = offset;
    progress.tokens = m_tokenCount;
    progress.headersKnown = m_headersKnown;
    progress.status = m_status;
    if (offset == 0)
        progress.headers = m_headers;
    progress.runState = runStateLocked();
    if (offset < m_bufferOffset || offset > endOffsetLocked()) {
        progress.finished = true;
        progress.error = wire::ErrorCode::UnknownAttempt;
        progress.errorMessage = "the response bytes at this offset are no longer stored";
        progress.runState = wire::RunState::Partial;
        return progress;
    }
    discardBeforeLocked(offset);
    progress.data = m_buffer.substr(static_cast<std::size_t>(offset - m_bufferOffset));
    progress.finished = m_finished;
    progress.totalLength = endOffsetLocked();
    progress.error = m_error;
    progress.errorMessage = m_errorMessage;
    progress.retryAfterMillis = m_retryAfter.count();
    progress.incident = m_incident;
    m_delivered = m_delivered || m_finished;
    return progress;
}

// A gateway that fetches from an offset has received all bytes before it and won't fetch them
// again.
void Attempt::discardBeforeLocked(std::int64_t offset)
{
    const bool retainsAll = !m_submission.idempotent && m_buffer.size() < m_bufferBytes;
    if (retainsAll || offset == m_bufferOffset)
        return;
    m_buffer.erase(0, static_cast<std::size_t>(offset - m_bufferOffset));
    m_bufferOffset = offset;
    m_changed.notify_all();
}

std::int64_t Attempt::endOffsetLocked() const
{
    return m_bufferOffset + static_cast<std::int64_t>(m_buffer.size());
}

wire::RunState::type Attempt::runStateLocked() const
{
    if (!m_started)
        return wire::RunState::NotRun;
    if (m_finished && m_error == wire::ErrorCode::None)
        return wire::RunState::Completed;
    return endOffsetLocked() > 0 ? wire::RunState::Partial : wire::RunState::Unknown;
}

bool Attempt::isFinished() const
{
    const std::lock_guard lock(m_mutex);
    return m_finished;
}

Instant Attempt::finishedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_finishedAt;
}

bool Attempt::isDelivered() const
{
    const std::lock_guard lock(m_mutex);
    return m_delivered;
}

} // namespace quetzalyoke
