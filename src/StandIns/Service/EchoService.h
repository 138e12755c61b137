#ifndef QUETZALYOKE_STANDINS_SERVICE_ECHOSERVICE_H
#define QUETZALYOKE_STANDINS_SERVICE_ECHOSERVICE_H

#include <httplib.h>

#include <mutex>
#include <string>

namespace quetzalyoke::standins {

/// \brief A plain service that echoes each request and logs the requests that it ran.
///
/// A request can ask for faults: `sleep_ms=N` in the query delays the response by N milliseconds,
/// `cut_bytes=N` closes the connection after N bytes of the body, and the header `X-Crash: yes`
/// ends the process.
class EchoService
{
public:
    void addRoutes(httplib::Server &server);

private:
    void run(const httplib::Request &req, httplib::Response &res);
    void sendRunLog(httplib::Response &res);

    std::mutex m_mutex; // guards m_runLog
    std::string m_runLog; // one JSON object per line
};

} // namespace quetzalyoke::standins

#endif
