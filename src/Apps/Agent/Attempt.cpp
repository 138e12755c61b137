#include "Apps/Agent/Attempt.h"

namespace quetzalyoke {

Attempt::Attempt(const wire::Submission &submission, Instant now, std::size_t bufferBytes)
    : m_submission(submission),
      m_deadline(now + std::chrono::milliseconds(m_submission.deadlineMillis)),
      m_bufferBytes(bufferBytes)
{ }

bool Attempt::start()
{
    const std::lock_guard lock(m_mutex);
    if (m_cancelled || m_finished)
        return false;
    m_started = true;
    return true;
}

bool Attempt::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

bool Attempt::hasStarted() const
{
    const std::lock_guard lock(m_mutex);
    return m_started;
}

void Attempt::cancel()
{
    const std::lock_guard lock(m_mutex);
    m_cancelled = true;
    m_changed.notify_all();
}

void Attempt::setHeaders(int status, std::vector<wire::Header> headers)
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
    m_tokens += tokens;
    m_changed.notify_all();
    return true;
}

void Attempt::finish(Instant now)
{
    const std::lock_guard lock(m_mutex);
    endLocked(now);
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
    endLocked(now);
}

void Attempt::endLocked(Instant now)
{
    m_finished = true;
    m_finishedAt = now;
    m_changed.notify_all();
}

wire::Progress Attempt::fetch(std::int64_t offset, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const auto hasNews = [this, offset] {
        return m_finished || m_bufferOffset + static_cast<std::int64_t>(m_buffer.size()) > offset;
    };
    m_changed.wait_for(lock, wait, hasNews);

    wire::Progress progress;
    progress.attemptId = m_submission.attemptId;
    progress.offset = offset;
    progress.tokens = m_tokens;
    progress.headersKnown = m_headersKnown;
    progress.status = m_status;
    if (offset == 0)
        progress.headers = m_headers;
    progress.runState = runStateLocked();
    if (offset < m_bufferOffset) {
        progress.finished = true;
        progress.error = wire::ErrorCode::UnknownAttempt;
        progress.errorMessage = "the answer's bytes before this offset were released already";
        progress.runState = wire::RunState::Partial;
        return progress;
    }
    // Bytes before the offset have arrived at the gateway and are not asked for again.
    const auto released = static_cast<std::size_t>(offset - m_bufferOffset);
    m_buffer.erase(0, released);
    m_bufferOffset = offset;
    progress.data = m_buffer;
    if (released > 0)
        m_changed.notify_all();
    progress.finished = m_finished;
    progress.totalLength = m_bufferOffset + static_cast<std::int64_t>(m_buffer.size());
    progress.error = m_error;
    progress.errorMessage = m_errorMessage;
    progress.retryAfterMillis = m_retryAfter.count();
    return progress;
}

wire::RunState::type Attempt::runStateLocked() const
{
    if (!m_started)
        return wire::RunState::NotRun;
    if (m_finished && m_error == wire::ErrorCode::None)
        return wire::RunState::Completed;
    return m_bufferOffset + static_cast<std::int64_t>(m_buffer.size()) > 0
        ? wire::RunState::Partial
        : wire::RunState::Unknown;
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

} // namespace quetzalyoke
