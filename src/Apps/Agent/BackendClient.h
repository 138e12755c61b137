#ifndef QUETZALYOKE_APPS_AGENT_BACKENDCLIENT_H
#define QUETZALYOKE_APPS_AGENT_BACKENDCLIENT_H

#include "Adapters/Address.h"
#include "Apps/Agent/Attempt.h"
#include "Apps/Agent/BackendHealth.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Client;
struct Request;
} // namespace httplib

namespace quetzalyoke {

/// \brief Sends the attempts of one worker to the backend server, over one connection.
class BackendClient
{
public:
    /// Records a crash of the backend server and returns the crash's id.
    using CrashHook = std::function<std::string()>;

    BackendClient(const Address &backend, std::chrono::milliseconds timeout, BackendHealth &health,
                  CrashHook onCrash);
    ~BackendClient();

    /// Sends \a attempt to the backend server, stores the response in it and finishes it.
    void run(Attempt &attempt);

private:
    void connect();
    void send(Attempt &attempt, const httplib::Request &req);
    void fail(Attempt &attempt, const std::string &reason, bool neverSent);

    const Address m_backend;
    const std::chrono::milliseconds m_timeout;
    BackendHealth &m_health;
    const CrashHook m_onCrash;
    bool m_downAtStart = false; // state when the current attempt started
    std::unique_ptr<httplib::Client> m_client;
};

} // namespace quetzalyoke

#endif
