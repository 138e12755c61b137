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

/// \brief HTTP interface of the engine stand-in, which generates tokens without a model.
///
/// It serves completions, load and unload orders, cancellation, a load report and cache events,
/// sets faults, and logs every request that it ran.
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
    std::mutex m_mutex; // guards the member below
    ValueHistory<Batch::SequenceCounts> m_countHistory;
};

} // namespace quetzalyoke::standins

#endif
