#ifndef QUETZALYOKE_STANDINS_PLATFORM_PLATFORMAPI_H
#define QUETZALYOKE_STANDINS_PLATFORM_PLATFORMAPI_H

#include "Core/Accounts/TokenBucket.h"
#include "StandIns/Platform/InMemoryTable.h"
#include "StandIns/Platform/PlatformFaults.h"
#include "StandIns/Platform/PlatformSettings.h"
#include "StandIns/Platform/WeightStoreSimulator.h"

#include <httplib.h>

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace quetzalyoke::standins {

/// \brief HTTP face of the platform stand-in: table, objects, weights, instance list, faults.
class PlatformApi
{
public:
    explicit PlatformApi(const PlatformSettings &settings);

    void addRoutes(httplib::Server &server);

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    /// Wraps \a handler in the delay and the outage of the fault plan.
    Handler withFaults(Handler handler);
    /// Refuses calls beyond \a limit, where there is one.
    Handler withLimit(std::optional<TokenBucket> &limit, Handler handler);
    void loadWeights(const httplib::Request &req, httplib::Response &res);
    void readRow(const httplib::Request &req, httplib::Response &res);
    void scanRows(const httplib::Request &req, httplib::Response &res);
    void commitRows(const httplib::Request &req, httplib::Response &res);
    void getObject(const httplib::Request &req, httplib::Response &res);
    void putObject(const httplib::Request &req, httplib::Response &res);
    void listInstances(const httplib::Request &req, httplib::Response &res);
    void setInstances(const httplib::Request &req, httplib::Response &res);
    void setFaults(const httplib::Request &req, httplib::Response &res);

    struct ListState
    {
        std::chrono::steady_clock::time_point since;
        std::string body;
    };

    InMemoryTable m_table;
    PlatformFaults m_faults;
    std::mutex m_mutex; // of the members below
    std::map<std::string, std::string> m_objects;
    std::deque<ListState> m_lists;
    std::optional<TokenBucket> m_reads; // absent: unlimited
    std::optional<TokenBucket> m_writes;
    WeightStoreSimulator m_weights;
};

} // namespace quetzalyoke::standins

#endif
