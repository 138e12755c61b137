#ifndef QUETZALYOKE_STANDINS_ENGINE_BATCH_H
#define QUETZALYOKE_STANDINS_ENGINE_BATCH_H

#include "StandIns/Engine/EngineSettings.h"
#include "StandIns/Engine/PrefixCache.h"
#include "StandIns/Engine/Sequence.h"

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace quetzalyoke::standins {

/// \brief Continuous batching: each step of a loop adds one token to every running sequence.
///
/// Thread-safe. Lock order: the batch's lock is taken before a sequence's.
class Batch
{
public:
    explicit Batch(const EngineSettings &settings);
    ~Batch();
    Batch(const Batch &) = delete;
    Batch &operator=(const Batch &) = delete;

    void add(const std::shared_ptr<Sequence> &sequence);
    /// Cancels every sequence whose request id or attempt id is \a id.
    void cancel(const std::string &id);

    struct SequenceCounts
    {
        std::size_t running = 0;
        std::size_t queued = 0;
    };
    SequenceCounts sequenceCounts() const;
    /// Returns one JSON object per line for each request that started to run.
    std::string runLog() const;
    std::vector<CacheEvent> cacheEvents(std::int64_t after, Instant before) const;

private:
    using SequenceList = std::list<std::shared_ptr<Sequence>>;

    void runLoop();
    void admitLocked();
    void startLocked(const std::shared_ptr<Sequence> &sequence);
    std::int64_t prefillLocked();
    void stepLocked();

    const EngineSettings m_settings;
    mutable std::mutex m_mutex; // guards the members below
    std::condition_variable m_available;
    SequenceList m_waiting; // ordered by priority, then by arrival
    SequenceList m_running;
    SequenceList m_started; // for the run log
    PrefixCache m_cache;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke::standins

#endif
