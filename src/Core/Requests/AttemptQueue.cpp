#include "Core/Requests/AttemptQueue.h"

#include "Core/Error.h"
#include "Core/Requests/FairQueue.h"

#include <deque>

namespace quetzalyoke {

namespace {

class FifoQueue : public AttemptQueue
{
public:
    void push(const QueuedAttempt &attempt) override { m_attempts.push_back(attempt); }

    std::optional<QueuedAttempt> pop(Instant) override
    {
        if (m_attempts.empty())
            return std::nullopt;
        QueuedAttempt attempt = m_attempts.front();
        m_attempts.pop_front();
        return attempt;
    }

    std::size_t size() const override { return m_attempts.size(); }

private:
    std::deque<QueuedAttempt> m_attempts;
};

} // namespace

std::unique_ptr<AttemptQueue> makeFifoQueue()
{
    return std::make_unique<FifoQueue>();
}

AttemptQueueFactory attemptQueueFactory(const std::string &name)
{
    if (name == "fifo")
        return makeFifoQueue;
    if (name == "fair")
        return [] { return std::make_unique<FairQueue>(); };
    throw Error(ErrorKind::BadSettings,
                "queue_policy = " + name + " is not known; use fifo or fair");
}

} // namespace quetzalyoke
