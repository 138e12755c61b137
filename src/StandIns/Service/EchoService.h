#ifndef QUETZALYOKE_STANDINS_SERVICE_ECHOSERVICE_H
#define QUETZALYOKE_STANDINS_SERVICE_ECHOSERVICE_H

#include <httplib.h>

#include <mutex>
#include <string>

namespace quetzalyoke::standins {

/// \brief A plain service that echoes each call and keeps a record of what ran.
///
/// A call chooses its own trouble: `sleep_ms=N` in the query answers late, `cut_bytes=N` hangs up
/// after so many bytes of the answer, the header `X-Crash: yes` ends the process.
class EchoService
{
public:
    void addRoutes(httplib::Server &server);

private:
    void run(const httplib::Request &req, httplib::Response &res);
    void sendRunLog(httplib::Response &res);

    std::mutex m_mutex; // of m_record
    std::string m_record; // one JSON object a line
};

} // namespace quetzalyoke::standins

#endif
