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

/// \brief HTTP interface of the platform stand-in.
///
/// It serves the table, the object store, the weight store and the instance list, and sets faults.
class PlatformApi
{
public:
    explicit PlatformApi(const PlatformSettings &settings);

    void addRoutes(httplib::Server &server);

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    /// Returns \a handler with the delay and the outage of the current fault settings applied.
    Handler withFaults(Handler handler);
    /// Returns \a handler with status 503 for calls beyond \a limit, if there is one.
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

    struct PublishedInstanceList
    {
        std::chrono::steady_clock::time_point publishedAt;
        std::string body;
    };

    InMemoryTable m_table;
    PlatformFaults m_faults;
    std::mutex m_mutex; // guards the members below
    std::map<std::string, std::string> m_objects;
    std::deque<PublishedInstanceList> m_instanceLists;
    std::optional<TokenBucket> m_reads; // unlimited if absent
    std::optional<TokenBucket> m_writes;
    WeightStoreSimulator m_weights;
};

} // namespace quetzalyoke::standins

#endif
