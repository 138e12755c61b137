#ifndef QUETZALYOKE_STANDINS_ENGINE_ENGINEAPI_H
#define QUETZALYOKE_STANDINS_ENGINE_ENGINEAPI_H

#include "StandIns/Engine/Batch.h"
#include "StandIns/Engine/EngineFaults.h"
#include "StandIns/Engine/EngineMemory.h"
#include "StandIns/Engine/EngineSettings.h"
#include "StandIns/Engine/ValueHistory.h"

#include <httplib.h>

#include <memory>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief A model engine's HTTP face with invented answers.
///
/// Completions, load orders, cancellation, a load report, cache events, faults, and a record of
/// everything that it ran.
class EngineApi
{
public:
    explicit EngineApi(const EngineSettings &settings);

    void addRoutes(httplib::Server &server);

private:
    void complete(const httplib::Request &req, httplib::Response &res, bool chat);
    void order(const httplib::Request &req, httplib::Response &res);
    void cancel(const httplib::Request &req, httplib::Response &res);
    void report(const httplib::Request &req, httplib::Response &res);
    void cacheEvents(const httplib::Request &req, httplib::Response &res);
    void setFaults(const httplib::Request &req, httplib::Response &res);
    std::chrono::microseconds lag() const;

    const EngineSettings m_settings;
    EngineMemory m_memory;
    Batch m_batch;
    EngineFaults m_faults;
    std::mutex m_mutex; // of the member below
    ValueHistory<Batch::SequenceCounts> m_loads;
};

} // namespace quetzalyoke::standins

#endif
