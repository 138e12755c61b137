#include "StandIns/Engine/Batch.h"

#include "Adapters/Process.h"

#include <algorithm>
#include <cstdlib>

namespace quetzalyoke::standins {

namespace {

constexpr int crashExitStatus = 86;

} // namespace

Batch::Batch(const EngineSettings &settings)
    : m_settings(settings), m_cache(settings.cacheBlocks), m_thread([this] { runLoop(); })
{ }

Batch::~Batch()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_available.notify_all();
    }
    m_thread.join();
}

void Batch::add(const std::shared_ptr<Sequence> &sequence)
{
    const std::lock_guard lock(m_mutex);
    const auto at = std::find_if(m_waiting.begin(), m_waiting.end(),
                                 [&](const auto &it) { return it->priority > sequence->priority; });
    m_waiting.insert(at, sequence);
    m_available.notify_all();
}

void Batch::cancel(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    for (const SequenceList *list : {&m_waiting, &m_running}) {
        for (const auto &it : *list) {
            if (it->runLogEntry["request"] == id || it->runLogEntry["attempt"] == id)
                it->cancel();
        }
    }
}

Batch::SequenceCounts Batch::sequenceCounts() const
{
    const std::lock_guard lock(m_mutex);
    return {m_running.size(), m_waiting.size()};
}

std::string Batch::runLog() const
{
    const std::lock_guard lock(m_mutex);
    std::string lines;
    for (const auto &it : m_started) {
        nlohmann::json line = it->runLogEntry;
        line["finished"] = it->isComplete();
        line["cancelled"] = it->isCancelled();
        line["tokens"] = it->outputTokens();
        lines += line.dump() + "\n";
    }
    return lines;
}

std::vector<CacheEvent> Batch::cacheEvents(std::int64_t after, Instant before) const
{
    const std::lock_guard lock(m_mutex);
    return m_cache.events(after, before);
}

// Each step is scheduled from the modelled end of the previous one, so that late wake-ups do not
// add up.
void Batch::runLoop()
{
    std::unique_lock lock(m_mutex);
    Instant next = Process::now();
    while (!m_stopping) {
        if (m_running.empty() && m_waiting.empty()) {
            m_available.wait(lock);
            next = Process::now();
            continue;
        }
        admitLocked();
        const std::int64_t prefilled = prefillLocked();
        const auto batch = static_cast<std::int64_t>(m_running.size());
        next += m_settings.scaled(m_settings.stepTime + m_settings.stepTimePerSequence * batch
                                  + m_settings.prefillTimePerToken * prefilled);
        lock.unlock();
        std::this_thread::sleep_until(next);
        lock.lock();
        stepLocked();
    }
}

void Batch::admitLocked()
{
    std::erase_if(m_waiting, [](const auto &it) { return it->isCancelled(); });
    while (!m_waiting.empty() && m_running.size() < m_settings.maximumBatchSize) {
        startLocked(m_waiting.front());
        m_waiting.pop_front();
    }
}

void Batch::startLocked(const std::shared_ptr<Sequence> &sequence)
{
    if (sequence->crashesEngine)
        std::_Exit(crashExitStatus);
    const auto hits = m_cache.matchAndStore(sequence->prompt.blockHashes(), Process::now());
    const auto cached = static_cast<std::int64_t>(hits) * Prompt::tokensPerBlock;
    sequence->remainingPrefillTokens
        = std::max<std::int64_t>(0, sequence->prompt.tokens() - cached);
    sequence->runLogEntry["cached_tokens"] = cached;
    m_running.push_back(sequence);
    m_started.push_back(sequence);
}

// Long prompts are processed in chunks, so that running sequences are not stalled.
std::int64_t Batch::prefillLocked()
{
    std::int64_t budget = m_settings.prefillTokensPerStep;
    for (const auto &it : m_running) {
        const std::int64_t n = std::min(budget, it->remainingPrefillTokens);
        it->remainingPrefillTokens -= n;
        budget -= n;
    }
    return m_settings.prefillTokensPerStep - budget;
}

void Batch::stepLocked()
{
    for (const auto &it : m_running) {
        if (it->remainingPrefillTokens == 0 && !it->isCancelled())
            it->addToken();
    }
    std::erase_if(m_running, [](const auto &it) { return it->isComplete() || it->isCancelled(); });
}

} // namespace quetzalyoke::standins
