#ifndef QUETZALYOKE_TEST_GATEWAYPROCESSTEST_H
#define QUETZALYOKE_TEST_GATEWAYPROCESSTEST_H

#include "Adapters/Async/AsyncHttpServer.h"
#include "Adapters/Async/HttpClient.h"
#include "EndlessServer.h"
#include "scenarios/runner/ChildProcess.h"
#include "soak/PlatformStoreStandIn.h"

#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

namespace quetzalyoke {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using scenarios::ChildProcess;
using soak::PlatformStoreStandIn;

/// Limits of the machine, as the platform states them.
constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxDescriptors = 400;

constexpr std::size_t bodyLimit = 4'194'304;
constexpr std::size_t chunkBytes = 65'536;
constexpr std::size_t responseBytes = 6'000'000;

/// Only ends a test that makes no more progress.
constexpr std::chrono::milliseconds answerTime{40'000};

inline std::string gatewayHost()
{
    return "127." + std::to_string(1 + getpid() / 250 % 250) + "."
        + std::to_string(1 + getpid() % 250) + ".1";
}

inline Address freeAddress()
{
    asio::io_context loop;
    while (true) {
        Tcp::acceptor tcp(loop, Tcp::endpoint(asio::ip::make_address(gatewayHost()), 0));
        const unsigned short port = tcp.local_endpoint().port();
        asio::ip::udp::socket udp(loop, asio::ip::udp::v4());
        SystemErrorCode ec;
        udp.bind({asio::ip::make_address(gatewayHost()), port}, ec);
        if (!ec)
            return {gatewayHost(), port};
    }
}

/// \brief The real quetzalyoke-entry on loopback addresses with the settings of deploy/entry.ini,
/// filled in for a small machine, between a store and backend servers in this process.
class GatewayProcessTest : public ::testing::Test
{
protected:
    GatewayProcessTest()
        : store(loop), endless(loop),
          server(loop, 512,
                 {[this](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
                      run(connection, request);
                  },
                  [] {
                      HttpServerConnectionLimits limits;
                      limits.headerTimeout = 60s;
                      limits.idleTimeout = 60s;
                      return limits;
                  },
                  [] { return false; }, [](int, const char *) {}})
    {
        std::signal(SIGPIPE, SIG_IGN);
        server.listen({"127.0.0.1", 0});
        writeRows();
        std::string name = (std::filesystem::temp_directory_path() / "gateway-XXXXXX").string();
        folder = mkdtemp(name.data());
        startGateway();
    }
    ~GatewayProcessTest() override
    {
        gateway.reset();
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    template<typename Condition>
    bool runFor(std::chrono::milliseconds limit, Condition isDone)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone()) {
            if (std::chrono::steady_clock::now() >= end)
                return false;
            loop.restart();
            loop.run_for(20ms);
            store.expireWaitingFeeds();
            peakDescriptors = std::max(peakDescriptors, openDescriptors());
        }
        return true;
    }

    // Sends ordinary requests, one after the other, until one is answered.
    bool isAnswered()
    {
        bool wasAnswered = false;
        const auto end = std::chrono::steady_clock::now() + answerTime;
        while (!wasAnswered && std::chrono::steady_clock::now() < end) {
            HttpClient client(loop, address, {});
            bool isEnded = false;
            client.call("POST /ordinary/x HTTP/1.1\r\nHost: callers.example\r\nAttempt-Id: ordinary"
                            + std::to_string(++ordinaryRequests)
                            + "\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'o'),
                        5s, [&](const HttpCallResult &result) {
                            isEnded = true;
                            wasAnswered = result.hasResponse() && result.status == 200;
                        });
            runFor(6s, [&isEnded] { return isEnded; });
            if (!wasAnswered)
                runFor(100ms, [] { return false; });
        }
        return wasAnswered;
    }

    std::size_t statusKb(const std::string &name) const
    {
        std::ifstream file("/proc/" + std::to_string(gateway->pid()) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with(name + ":"))
                return std::stoul(line.substr(name.size() + 1));
        }
        return 0;
    }

    asio::io_context loop;
    PlatformStoreStandIn store;
    EndlessServer endless;
    AsyncHttpServer server;
    std::filesystem::path folder;
    Address address;
    Address peers;
    std::unique_ptr<ChildProcess> gateway;
    std::size_t peakDescriptors = 0;
    std::set<std::string> arrived; // ids of requests at the backend servers
    int ordinaryRequests = 0;

private:
    void writeRows()
    {
        Json json{{"version", 1}};
        const auto route = [](const char *id, const char *kind, const char *service = "app") {
            return Json{{"name", id},
                        {"host", "callers.example"},
                        {"prefix", std::string("/") + id + "/"},
                        {"kind", kind},
                        {"service", service},
                        {"timeout_ms", 60'000},
                        {"target_latency_ms", 60'000},
                        {"priority", 1},
                        {"max_attempts", 1},
                        {"public", true},
                        {"resumable", false},
                        {"target_gap_ms", 60'000}};
        };
        json["routes"] = {route("ordinary", "idempotent"),
                          route("held", "non_idempotent"),
                          route("held-often", "idempotent"),
                          route("large", "idempotent"),
                          route("stream", "stream"),
                          route("model", "stream", "llm"),
                          route("endless", "non_idempotent", "faulty"),
                          route("endless-stream", "stream", "faulty")};
        const Json engine{{"slots", 64},
                          {"kv_capacity", 200'000},
                          {"mb", 3000.0},
                          {"adapter_slots", 4},
                          {"loads_per_s", 2.0},
                          {"models",
                           {{{"name", "m0"},
                             {"mb", 900.0},
                             {"load_s", 0.3},
                             {"adapters", 3},
                             {"adapter_mb", 20.0}}}}};
        json["services"] = {{{"name", "app"}, {"max_conns", 400}},
                            {{"name", "faulty"}, {"max_conns", 400}},
                            {{"name", "llm"}, {"max_conns", 400}, {"engine", engine}}};
        // Timeouts end no connection meanwhile, so that only the limits on memory can.
        json["limits"] = {{"max_header_bytes", 16384},
                          {"max_body_bytes", bodyLimit},
                          {"header_timeout_ms", 120'000},
                          {"idle_timeout_ms", 120'000}};
        json["tenants"] = Json::array();
        store.put("op", "config", json.dump());
        writeServer("app-0", "app", server.port(), Json::array());
        writeServer("faulty-0", "faulty", endless.port(), Json::array());
        writeServer("engine-0", "llm", server.port(),
                    {{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}}});
    }

    void writeServer(const std::string &id, const std::string &service, int port,
                     const Json &models)
    {
        store.put("servers", id,
                  Json{{"service", service},
                       {"address", "127.0.0.1:" + std::to_string(port)},
                       {"zone", "east"},
                       {"version", "v1"},
                       {"slots", 400},
                       {"state", "ready"},
                       {"seq", 1},
                       {"born", 1},
                       {"models", models}}
                      .dump());
    }

    // Fills in deploy/entry.ini as the platform does; what is not stated stays empty.
    void startGateway()
    {
        address = freeAddress();
        peers = freeAddress();
        const std::map<std::string, std::string> values{
            {"node", "gateway-0"},
            {"zone", "east"},
            {"listen.front", address.text()},
            {"listen.ready", freeAddress().text()},
            {"ip", gatewayHost()},
            {"internal_ports.0", std::to_string(peers.port)},
            {"platform.address", store.address().text()},
            {"limits.max_fds", std::to_string(maxDescriptors)},
            {"limits.memory_mb", std::to_string(memoryMb)},
            {"limits.cpu_share", "1"},
            {"bounds.lease_ms", "3000"},
            {"bounds.grace_s", "5"},
            {"bounds.retry_budget", "0.2"},
            {"bounds.budget_slack", "50"},
        };
        std::ifstream file(ENTRY_TEMPLATE);
        std::string text((std::istreambuf_iterator<char>(file)), {});
        for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
            const std::size_t end = text.find("}}", at);
            const auto value = values.find(text.substr(at + 2, end - at - 2));
            text.replace(at, end + 2 - at, value == values.end() ? "" : value->second);
        }
        std::ofstream(folder / "entry.ini") << text;
        gateway = std::make_unique<ChildProcess>(ENTRY_PROGRAM, folder / "entry.ini",
                                                 folder / "entry.log");
    }

    void run(const HttpServerConnection::Pointer &connection, const HttpRequest &request)
    {
        const std::string fields = "Attempt-Id: " + std::string(request.fields["Attempt-Id"])
            + "\r\nResponse-Stamp: app-0\r\nKeep-Alive: timeout=50\r\nServer-Load: 1,0,400\r\n";
        arrived.insert(std::string(request.fields["Attempt-Id"]));
        if (request.target.starts_with("/held"))
            return; // no response while the test runs
        if (request.target.starts_with("/stream/")) {
            connection->beginChunkedResponse(200, fields + "Content-Type: text/event-stream\r\n");
            const auto isClosed = std::make_shared<bool>(false);
            connection->setDisconnectHook([isClosed] { *isClosed = true; });
            sendEvents(connection, isClosed, 1);
        } else {
            connection->sendResponse(
                200, fields,
                std::string(request.target.starts_with("/large/") ? responseBytes : 100, 'r'));
        }
    }

    void sendEvents(const HttpServerConnection::Pointer &connection,
                    const std::shared_ptr<bool> &isClosed, int event)
    {
        if (*isClosed)
            return;
        while (connection->unsentBytes() < chunkBytes)
            connection->writeChunk("id: " + std::to_string(event++)
                                   + "\ndata: " + std::string(8000, 'e') + "\n\n");
        const auto timer = std::make_shared<asio::steady_timer>(loop, 5ms);
        timer->async_wait([this, connection, isClosed, event, timer](const SystemErrorCode &) {
            sendEvents(connection, isClosed, event);
        });
    }

    std::size_t openDescriptors() const
    {
        std::error_code ec;
        const std::filesystem::directory_iterator files(
            "/proc/" + std::to_string(gateway->pid()) + "/fd", ec);
        return ec ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }
};

} // namespace quetzalyoke

#endif
