#ifndef QUETZALYOKE_SOAK_PLATFORMSERVERSTANDIN_H
#define QUETZALYOKE_SOAK_PLATFORMSERVERSTANDIN_H

#include "Adapters/Async/AsyncHttpServer.h"
#include "PlatformStoreStandIn.h"
#include "SoakChecks.h"

#include <functional>

namespace quetzalyoke::soak {

/// \brief A backend server on the platform's protocol: model engine or plain service.
///
/// It enters itself in the store, runs requests, carries out orders and can crash, leave, fall
/// silent or lose answers. What it sees goes to the checks.
class PlatformServerStandIn
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        bool isModelEngine = true;
        int modelSlots = 3; ///< Models of equal size that fit.
        int adapterSlots = 4;
        std::chrono::milliseconds modelLoadTime{300};
    };

    PlatformServerStandIn(asio::io_context &loop, PlatformStoreStandIn &store, SoakChecks &checks,
                          const Settings &settings, std::vector<std::string> models);

    Address address() const { return {"127.0.0.1", m_server->port()}; }
    /// Under which others reach it; enters it in the store.
    void registerInStore(const Address &advertised);
    /// Ends without a word; its entry lapses later.
    void crash();
    /// Begins a new life under the same id.
    void restart();
    void beginLeaving();
    void deregisterAndStop();
    bool isUp() const { return m_isUp; }
    bool isLeaving() const { return m_isLeaving; }
    const std::string &id() const { return m_settings.id; }
    /// Requests run and are not answered.
    void setDroppingResponses(bool isSilent) { m_isSilent = isSilent; }
    /// Orders are carried out and not answered.
    void setDroppingOrderResponses(bool isLosing) { m_isLosingOrderResponses = isLosing; }

private:
    void listen();
    void handleRequest(const HttpServerConnection::Pointer &session, HttpRequest &&request);
    void handleOrder(const HttpServerConnection::Pointer &session, const HttpRequest &request);
    void run(const HttpServerConnection::Pointer &session, const HttpRequest &request);
    void streamEvent(const HttpServerConnection::Pointer &session, const std::string &id, int event,
                     int life);
    void writeServerRow();
    std::string responseHeaders(const std::string &id) const;
    std::string report() const;
    void scheduleAfter(std::chrono::milliseconds time, std::function<void()> action);

    asio::io_context &m_loop;
    PlatformStoreStandIn &m_store;
    SoakChecks &m_checks;
    const Settings m_settings;
    const std::vector<std::string> m_firstModels;
    std::map<std::string, std::set<std::string>> m_holdings;
    std::unique_ptr<AsyncHttpServer> m_server;
    std::vector<std::unique_ptr<AsyncHttpServer>>
        m_ended; // their sessions may still be in callbacks
    std::vector<HttpServerConnection::Pointer> m_sessions;
    Address m_advertised;
    std::int64_t m_incarnation = 1;
    std::int64_t m_orders = 0;
    int m_generation = 0;
    int m_running = 0;
    bool m_isBusy = false;
    bool m_isUp = true;
    bool m_isLeaving = false;
    bool m_isSilent = false;
    bool m_isLosingOrderResponses = false;
};

} // namespace quetzalyoke::soak

#endif
