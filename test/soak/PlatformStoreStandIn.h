#ifndef QUETZALYOKE_SOAK_PLATFORMSTORESTANDIN_H
#define QUETZALYOKE_SOAK_PLATFORMSTORESTANDIN_H

#include "Adapters/Async/AsyncHttpServer.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace quetzalyoke::soak {

/// \brief The platform's store on loopback: rows, transactions under conditions, feeds.
class PlatformStoreStandIn
{
public:
    explicit PlatformStoreStandIn(asio::io_context &loop);

    Address address() const { return {"127.0.0.1", m_server.port()}; }
    /// As a server or an operator writes; returns the version.
    std::int64_t put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    void setUnavailable(bool isAway) { m_isAway = isAway; }
    /// Writes take effect and are not answered.
    void setDroppingResponses(bool isLosing) { m_isLosingResponses = isLosing; }
    /// Forgets what has changed so far.
    void dropHistory() { m_historyFrom = m_version; }
    /// Ends waiting calls whose time is up.
    void expireWaitingFeeds();

private:
    struct Row
    {
        std::string value;
        std::int64_t version = 0;
        bool isDeleted = false;
    };
    struct WaitingFeed
    {
        HttpServerConnection::Pointer session;
        std::string table;
        std::int64_t after = 0;
        Instant until;
    };

    void handleRequest(const HttpServerConnection::Pointer &session, const HttpRequest &request);
    void feed(const HttpServerConnection::Pointer &session, const std::string &target);
    void transact(const HttpServerConnection::Pointer &session, const std::string &body);
    void completeWaitingFeeds();
    nlohmann::json rowsOf(const std::string &table, std::int64_t after, bool withDeleted) const;
    void response(const HttpServerConnection::Pointer &session, const nlohmann::json &rows);

    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::int64_t m_version = 0;
    std::int64_t m_historyFrom = 0;
    bool m_isAway = false;
    bool m_isLosingResponses = false;
    std::vector<WaitingFeed> m_waiting;
    std::vector<HttpServerConnection::Pointer> m_unanswered;
    AsyncHttpServer m_server;
};

} // namespace quetzalyoke::soak

#endif
