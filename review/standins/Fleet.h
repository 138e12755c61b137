#ifndef REVIEW_STANDINS_FLEET_H
#define REVIEW_STANDINS_FLEET_H

// Stand-ins for the platform's store, plain backend servers and callers, and real gateways as
// separate processes. All on loopback addresses, all but the gateways in the test's own process.

#include "Adapters/Async/AsyncHttpServer.h"
#include "Adapters/Async/HttpClient.h"
#include "LinkRelay.h"

#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>

namespace review {

using Json = nlohmann::json;
using quetzalyoke::Address;
using quetzalyoke::AsyncHttpServer;
using quetzalyoke::HttpCallResult;
using quetzalyoke::HttpClient;
using quetzalyoke::HttpRequest;
using quetzalyoke::HttpServerConnection;
using quetzalyoke::scenarios::LinkRelay;
using quetzalyoke::scenarios::LinkState;
namespace asio = quetzalyoke::asio;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// The test's only event loop.
asio::io_context &loop();
/// Runs the event loop for \a time.
void runFor(milliseconds time);
/// Runs the event loop until \a isDone or for \a limit; returns whether it is done.
bool runUntil(const std::function<bool()> &isDone, milliseconds limit);
/// Calls \a action after \a time.
void after(milliseconds time, std::function<void()> action);
/// Milliseconds since the test began.
std::int64_t nowMs();
/// Writes one line to record.txt in the case's folder, and to standard output if \a isShown.
void record(const std::string &line, bool isShown = false);
/// Returns whether the disruption is wanted (TROUBLE is not 0).
bool isTroubled();
/// Returns a loopback address of this run alone, so that runs don't take each other's ports.
const std::string &host();
/// Returns a port of it that is free now, for TCP and UDP.
int freePort();
/// Reads the case's folder and the gateway's program from the command line. Exits with 2 if the
/// program is missing.
void begin(int argc, char **argv);

/// \brief The platform's store: rows with versions, conditional transactions, feeds.
class Store
{
public:
    Store();
    /// Opens another address of the same store, so that the store knows who calls.
    int open(const std::string &caller);
    std::int64_t put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Sets a hook that may change what a caller gets of a row, to lead gateways through a relay.
    void setRowHook(std::function<void(const std::string &caller, const std::string &table,
                                       const std::string &key, std::string &value)>
                        onRow)
    {
        m_onRow = std::move(onRow);
    }
    /// Returns when \a caller last asked for the changes of \a table.
    std::int64_t feedAskedAt(const std::string &caller, const std::string &table) const;

private:
    struct Row
    {
        std::string value;
        std::int64_t version = 0;
        bool isDeleted = false;
    };
    struct Waiting
    {
        HttpServerConnection::Pointer connection;
        std::string table;
        std::int64_t after = 0;
        std::int64_t until = 0;
    };
    void handle(const std::string &caller, const HttpServerConnection::Pointer &connection,
                const HttpRequest &request);
    void transact(const HttpServerConnection::Pointer &connection, const std::string &body);
    Json rowsOf(const std::string &table, std::int64_t afterVersion, bool withDeleted) const;
    void sendRows(const HttpServerConnection::Pointer &connection, const Json &rows) const;
    void completeWaiting();
    void expireWaiting();

    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::int64_t m_version = 0;
    std::vector<Waiting> m_waiting;
    std::map<std::pair<std::string, std::string>, std::int64_t> m_feedAskedAt;
    std::function<void(const std::string &, const std::string &, const std::string &,
                       std::string &)>
        m_onRow;
    std::vector<std::unique_ptr<AsyncHttpServer>> m_servers;
};

/// \brief A plain backend server. It runs each request at once and answers after \c runTime.
class PlainServer
{
public:
    PlainServer(Store &store, std::string id, std::string service);
    void
    setRunHook(std::function<void(const std::string &server, const std::string &attempt)> onRun)
    {
        m_onRun = onRun;
    }
    /// Makes every \a interval-th answer a success whose body goes on until the caller closes.
    void setEndlessAnswers(int interval) { m_endlessInterval = interval; }
    /// Reports that it is leaving; it goes on serving. Returns when the store has accepted that.
    std::int64_t drain();
    /// Lets its entry be removed without having reported that it leaves; it goes on serving.
    std::int64_t leaveUnannounced();
    /// Ends: breaks off what it runs, and accepts no more connections.
    void exit();
    const std::string &id() const { return m_id; }
    milliseconds runTime{8};

private:
    void beat();
    void writeEntry();
    void answer(const HttpServerConnection::Pointer &connection, const std::string &attempt);
    void sendEndlessly(const HttpServerConnection::Pointer &connection,
                       std::shared_ptr<bool> isClosed);
    void handle(const HttpServerConnection::Pointer &connection, const HttpRequest &request);

    Store &m_store;
    const std::string m_id;
    const std::string m_service;
    const std::int64_t m_born;
    std::int64_t m_sequence = 0;
    int m_running = 0;
    int m_endlessInterval = 0;
    int m_answers = 0;
    bool m_isLeaving = false;
    bool m_isListed = true;
    std::vector<std::weak_ptr<HttpServerConnection>> m_connections;
    std::function<void(const std::string &, const std::string &)> m_onRun;
    std::unique_ptr<AsyncHttpServer> m_server;
};

/// \brief One real gateway, started with the command of the deploy file.
class Gateway
{
public:
    Gateway(Store &store, const std::string &name, const std::string &zone);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    void signal(int number);
    /// Returns whether the process has ended; \a status is that of waitpid().
    bool hasEnded(int &status);
    bool isReady();
    LinkRelay &storeLink() { return m_storeLink; }
    const std::string &name() const { return m_name; }
    Address callers() const { return m_callers; }
    Address peers() const { return m_peers; }

private:
    const std::string m_name;
    LinkRelay m_storeLink;
    Address m_callers;
    Address m_readiness;
    Address m_peers;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

} // namespace review

#endif
