// Crowds of callers, and backend servers, that try to make a gateway hold as much as they can. Each
// test starts the real
// quetzalyoke-entry on loopback addresses with the settings of deploy/entry.ini, filled in for a
// small machine, and checks only that the process lives, that its memory and descriptors stay
// within the stated limits and that it answers an ordinary request afterwards.

#include "Adapters/Async/AsyncHttpServer.h"
#include "Adapters/Async/HttpClient.h"
#include "LoopbackSocket.h"
#include "scenarios/runner/ChildProcess.h"
#include "soak/PlatformStoreStandIn.h"

#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

using namespace quetzalyoke;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using scenarios::ChildProcess;
using soak::PlatformStoreStandIn;

namespace {

// Limits of the machine, as the platform states them. Both are bounds that the tests check.
constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxDescriptors = 400;

// Leaves some of the connections that the gateway accepts to others.
constexpr int crowdSize = 150;

constexpr std::size_t bodyLimit = 4'194'304;
constexpr std::size_t chunkBytes = 65'536;
constexpr std::size_t responseBytes = 6'000'000;

// Only end a test that makes no more progress; nothing is checked against them.
constexpr std::chrono::milliseconds crowdTime{25'000};
constexpr std::chrono::milliseconds settleTime{1000};
// Until responses fill the system's buffers of all callers.
constexpr std::chrono::milliseconds responseTime{6000};
constexpr std::chrono::milliseconds answerTime{40'000};

// The bytes of a caller's connection: a beginning, then a unit that is sent many times.
struct Script
{
    std::string begin;
    std::string unit;
    std::size_t units = 0;
    std::string numbered = {}; // a text in the unit that becomes another number in each
};

// Sends its script and keeps the connection open without ever reading from it.
class RudeCaller : public std::enable_shared_from_this<RudeCaller>
{
public:
    RudeCaller(asio::io_context &loop, std::shared_ptr<const Script> script)
        : m_socket(loop), m_script(std::move(script))
    { }

    void start(const Address &gateway)
    {
        SystemErrorCode ignored;
        m_socket.open(Tcp::v4(), ignored);
        // Otherwise the system takes long responses in for the caller.
        m_socket.set_option(asio::socket_base::receive_buffer_size(4096), ignored);
        const Tcp::endpoint peer(asio::ip::make_address(gateway.host),
                                 static_cast<unsigned short>(gateway.port));
        m_socket.async_connect(peer, [self = shared_from_this()](const SystemErrorCode &ec) {
            if (ec)
                self->m_isDone = true;
            else
                self->write(self->m_script->begin);
        });
    }
    bool isDone() const { return m_isDone; }

private:
    void write(const std::string &bytes)
    {
        asio::async_write(m_socket, asio::buffer(bytes),
                          [self = shared_from_this()](const SystemErrorCode &ec, std::size_t) {
                              self->onWritten(ec);
                          });
    }
    void onWritten(const SystemErrorCode &ec)
    {
        m_isDone = ec || m_sentUnits == m_script->units;
        if (m_isDone)
            return;
        ++m_sentUnits;
        m_unit = m_script->unit;
        if (const std::string &text = m_script->numbered; !text.empty()) {
            static std::size_t number = 0;
            std::string digits = std::to_string(++number);
            digits.insert(0, text.size() - digits.size(), '0');
            m_unit.replace(m_unit.find(text), text.size(), digits);
        }
        write(m_unit);
    }

    Tcp::socket m_socket;
    std::shared_ptr<const Script> m_script;
    std::size_t m_sentUnits = 0;
    std::string m_unit;
    bool m_isDone = false;
};

// A faulty backend server: responds to each request with a beginning, then with a unit again and
// again until the gateway closes the connection.
class EndlessServer
{
public:
    explicit EndlessServer(asio::io_context &loop)
        : m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    int port() const { return m_acceptor.local_endpoint().port(); }
    void setResponse(std::string begin, std::string unit)
    {
        m_begin = std::move(begin);
        m_unit = std::move(unit);
    }
    std::size_t requests() const { return m_requests; }

private:
    struct Connection
    {
        explicit Connection(Tcp::socket s) : socket(std::move(s)) { }
        Tcp::socket socket;
        std::array<char, 65536> buf{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const SystemErrorCode &ec, Tcp::socket socket) {
            if (ec)
                return;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            connection->socket.async_read_some(
                asio::buffer(connection->buf),
                [this, connection](const SystemErrorCode &readEc, std::size_t) {
                    if (readEc)
                        return;
                    ++m_requests;
                    write(connection, m_begin);
                });
            accept();
        });
    }
    void write(const std::shared_ptr<Connection> &connection, const std::string &bytes)
    {
        asio::async_write(connection->socket, asio::buffer(bytes),
                          [this, connection](const SystemErrorCode &ec, std::size_t) {
                              if (!ec && !m_unit.empty())
                                  write(connection, m_unit);
                          });
    }

    Tcp::acceptor m_acceptor;
    std::string m_begin;
    std::string m_unit;
    std::size_t m_requests = 0;
};

std::string loopbackHost()
{
    return "127." + std::to_string(1 + getpid() / 250 % 250) + "."
        + std::to_string(1 + getpid() % 250) + ".1";
}

Address freeAddress()
{
    asio::io_context loop;
    while (true) {
        Tcp::acceptor tcp(loop, Tcp::endpoint(asio::ip::make_address(loopbackHost()), 0));
        const unsigned short port = tcp.local_endpoint().port();
        asio::ip::udp::socket udp(loop, asio::ip::udp::v4());
        SystemErrorCode ec;
        udp.bind({asio::ip::make_address(loopbackHost()), port}, ec);
        if (!ec)
            return {loopbackHost(), port};
    }
}

std::string chunk(std::size_t bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

std::string repeated(const std::string &text, std::size_t n)
{
    std::string out;
    out.reserve(text.size() * n);
    for (std::size_t i = 0; i < n; ++i)
        out += text;
    return out;
}

std::string head(const std::string &path, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: callers.example\r\nAttempt-Id: rude\r\n" + fields
        + "\r\n";
}

std::string chunkedHead(const std::string &path)
{
    return head(path, "Transfer-Encoding: chunked\r\n");
}

class UnboundedCallersTest : public ::testing::Test
{
protected:
    UnboundedCallersTest()
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
        std::string name = (std::filesystem::temp_directory_path() / "callers-XXXXXX").string();
        folder = mkdtemp(name.data());
        startGateway();
    }
    ~UnboundedCallersTest() override
    {
        gateway.reset();
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    // Sends the script from a crowd that stays connected, then checks the gateway.
    void checkCrowd(const Script &script, int callers = crowdSize,
                    std::chrono::milliseconds settle = settleTime)
    {
        ASSERT_TRUE(isAnswered()) << "before the crowd";
        const auto shared = std::make_shared<const Script>(script);
        std::vector<std::shared_ptr<RudeCaller>> crowd;
        for (int i = 0; i < callers; ++i) {
            crowd.push_back(std::make_shared<RudeCaller>(loop, shared));
            crowd.back()->start(address);
        }
        runFor(crowdTime, [&crowd] {
            return std::all_of(crowd.begin(), crowd.end(),
                               [](const auto &it) { return it->isDone(); });
        });
        runFor(settle, [] { return false; });
        const auto ending = gateway->waitForExit(0ms);
        ASSERT_FALSE(ending) << "the gateway ended, signal " << ending->signal << ", status "
                             << ending->exitStatus;
        EXPECT_TRUE(isAnswered()) << "after the crowd";
        const std::size_t peakKb = statusKb("VmHWM");
        std::cout << "peak " << peakKb / 1024 << " MB, now " << statusKb("VmRSS") / 1024
                  << " MB, at most " << peakDescriptors << " descriptors" << std::endl;
        EXPECT_GT(peakKb, 0U);
        EXPECT_LE(peakKb, memoryMb * 1024);
        EXPECT_LE(peakDescriptors, maxDescriptors);
        EXPECT_FALSE(gateway->waitForExit(0ms));
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

    asio::io_context loop;
    PlatformStoreStandIn store;
    EndlessServer endless;
    AsyncHttpServer server;
    std::filesystem::path folder;
    Address address;
    Address peers;
    std::unique_ptr<ChildProcess> gateway;
    std::size_t peakDescriptors = 0;
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
            {"ip", loopbackHost()},
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
        if (request.target.starts_with("/held/"))
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

    std::size_t statusKb(const std::string &name) const
    {
        std::ifstream file("/proc/" + std::to_string(gateway->pid()) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with(name + ":"))
                return std::stoul(line.substr(name.size() + 1));
        }
        return 0;
    }

    std::size_t openDescriptors() const
    {
        std::error_code ec;
        const std::filesystem::directory_iterator files(
            "/proc/" + std::to_string(gateway->pid()) + "/fd", ec);
        return ec ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }
};

} // namespace

// Bodies within the limit that never become complete add up.
TEST_F(UnboundedCallersTest, survivesChunkedBodiesThatStopShort)
{
    checkCrowd({chunkedHead("/ordinary/x"), chunk(chunkBytes), 44});
}

// Each byte costs six on the way, and may cost more beside the byte if chunks are kept.
TEST_F(UnboundedCallersTest, survivesBodiesInChunksOfOneByteThatStopShort)
{
    checkCrowd({chunkedHead("/ordinary/x"), repeated(chunk(1), 10'000), 90});
}

// Small bodies leave holes in the heap rather than mappings of their own.
TEST_F(UnboundedCallersTest, survivesSmallBodiesOfMoreCallersThatStopShort)
{
    checkCrowd({chunkedHead("/ordinary/x"), chunk(100'000), 5}, 190);
}

TEST_F(UnboundedCallersTest, survivesBodiesOfAnnouncedLengthThatStopShort)
{
    checkCrowd({head("/ordinary/x", "Content-Length: " + std::to_string(bodyLimit) + "\r\n"),
                std::string(chunkBytes, 'x'), 44});
}

TEST_F(UnboundedCallersTest, survivesAnnouncedBodiesFarOverTheLimit)
{
    checkCrowd(
        {head("/ordinary/x", "Content-Length: 1000000000\r\n"), std::string(chunkBytes, 'x'), 256});
}

TEST_F(UnboundedCallersTest, survivesEndlessChunkedBodies)
{
    checkCrowd({chunkedHead("/ordinary/x"), chunk(chunkBytes), 1024});
}

TEST_F(UnboundedCallersTest, survivesEndlessHeads)
{
    checkCrowd({"GET /ordinary/x HTTP/1.1\r\nHost: callers.example\r\n",
                repeated("X: " + std::string(60, 'x') + "\r\n", 100), 100});
}

// A field of four bytes costs the parser some hundred.
TEST_F(UnboundedCallersTest, survivesHeadsOfManyFieldsWithoutTheirBody)
{
    checkCrowd({head("/ordinary/x", "Content-Length: 10\r\n" + repeated("a:\r\n", 4000)), "", 0},
               190);
}

TEST_F(UnboundedCallersTest, survivesEndlessTrailers)
{
    checkCrowd({chunkedHead("/ordinary/x") + "0\r\n",
                repeated("X: " + std::string(60, 'x') + "\r\n", 100), 100});
}

TEST_F(UnboundedCallersTest, survivesEndlessChunkExtensions)
{
    checkCrowd({chunkedHead("/ordinary/x") + "1;x=", std::string(chunkBytes, 'x'), 20});
}

// Requests behind one that takes long are kept.
TEST_F(UnboundedCallersTest, survivesPipelinedRequests)
{
    checkCrowd({head("/held/x", "Content-Length: 0\r\n"),
                repeated(head("/held/x", "Content-Length: 0\r\n"), 500), 50});
}

// More callers than the gateway keeps connections for, with requests that never become complete.
TEST_F(UnboundedCallersTest, answersBesideMoreCallersThanConnections)
{
    checkCrowd({"GET /ordinary/x HTTP/1.1\r\nHost: c", "", 0}, 260);
}

// Each response of a pipeline is short, but nobody reads any.
TEST_F(UnboundedCallersTest, survivesPipelinesWhoseResponsesAreNotRead)
{
    checkCrowd({head("/ordinary/x", "Content-Length: 0\r\n"),
                repeated(head("/ordinary/x", "Content-Length: 0\r\n"), 100), 20},
               crowdSize, responseTime);
}

TEST_F(UnboundedCallersTest, survivesCallersThatReadNoStream)
{
    checkCrowd({head("/stream/x", "Content-Length: 0\r\n"), "", 0}, 190, responseTime);
}

// Up to 8 MB of a response that is not a stream are kept for a slow caller.
TEST_F(UnboundedCallersTest, survivesCallersThatReadNoLargeResponse)
{
    checkCrowd({head("/large/x", "Content-Length: 0\r\n"), "", 0}, 40);
}

// Complete requests are kept until they are answered.
TEST_F(UnboundedCallersTest, survivesLargeRequestsThatAreAnsweredLate)
{
    checkCrowd({head("/held/x", "Content-Length: 2883584\r\n"), std::string(chunkBytes, 'x'), 44},
               60);
}

// What a gateway remembers by names that callers choose must not grow with each new name.
TEST_F(UnboundedCallersTest, survivesManyNamesOfModelsAndAdapters)
{
    checkCrowd({"",
                head("/ordinary/x",
                     "Content-Length: 0\r\nModel: NNNNNNNN" + std::string(5000, 'm') + "/"
                         + std::string(10'000, 'a') + "\r\n"),
                100, "NNNNNNNN"},
               crowdSize, responseTime);
}

// As above, where the service has models. Without a price, quotas don't limit such requests.
TEST_F(UnboundedCallersTest, survivesManyNamesOfModelsAtAServiceWithModels)
{
    checkCrowd({"",
                head("/model/x",
                     "Content-Length: 0\r\nModel: NNNNNNNN" + std::string(5000, 'm') + "/"
                         + std::string(10'000, 'a') + "\r\n"),
                100, "NNNNNNNN"},
               crowdSize, responseTime);
}

TEST_F(UnboundedCallersTest, survivesManyNamesOfAdaptersOfAModel)
{
    checkCrowd({"",
                head("/model/x",
                     "Content-Length: 0\r\nModel: m0/NNNNNNNN" + std::string(15'000, 'a') + "\r\n"),
                100, "NNNNNNNN"},
               crowdSize, responseTime);
}

// A datagram of a few bytes can announce a list of millions of entries, whose memory must not be
// reserved before they are there.
TEST_F(UnboundedCallersTest, survivesDatagramsThatAnnounceLongLists)
{
    ASSERT_TRUE(isAnswered());
    asio::ip::udp::socket sender(loop, asio::ip::udp::v4());
    const asio::ip::udp::endpoint to(asio::ip::make_address(peers.host),
                                     static_cast<unsigned short>(peers.port));
    for (char field = 1; field < 60; ++field) {
        // In Thrift's compact protocol: field of type list, its id, structs, 6 million of them.
        const std::string bytes = std::string{
            '\x09', static_cast<char>(field * 2), '\xfc', '\x80', '\x9b', '\xee', '\x02'};
        sender.send_to(asio::buffer(bytes), to);
    }
    checkCrowd({"GET /ordinary/x HTTP/1.1\r\nHost: c", "", 0}, 1);
}

// Responses that never end, to a crowd of ordinary requests.
class UnboundedServersTest : public UnboundedCallersTest
{
protected:
    void checkResponse(const std::string &begin, const std::string &unit)
    {
        const std::string signedHead
            = "HTTP/1.1 200 OK\r\nAttempt-Id: rude\r\nResponse-Stamp: s\r\n";
        for (const std::string path : {"/endless/x", "/endless-stream/x"}) {
            endless.setResponse(
                begin.starts_with("HTTP") || begin.empty() ? begin : signedHead + begin, unit);
            const std::size_t before = endless.requests();
            checkCrowd({head(path, "Content-Length: 0\r\n"), "", 0}, crowdSize, responseTime);
            EXPECT_GT(endless.requests(), before);
        }
    }
};

const std::string filler(chunkBytes, 'x');
const std::string longFields = repeated("X: " + std::string(300, 'x') + "\r\n", 200);
const std::string keptConnection = "Keep-Alive: timeout=50\r\nContent-Length: 0\r\n\r\n";
const std::string chunkedBody = "Transfer-Encoding: chunked\r\n\r\n";

TEST_F(UnboundedServersTest, survivesBytesThatAreNoResponse)
{
    checkResponse("", filler);
}

TEST_F(UnboundedServersTest, survivesOneEndlessField)
{
    checkResponse("X: ", filler);
}

TEST_F(UnboundedServersTest, survivesEndlessFields)
{
    checkResponse("X: 1\r\n", repeated("X: " + std::string(60, 'x') + "\r\n", 1000));
}

TEST_F(UnboundedServersTest, survivesEndlessBodiesWithoutALength)
{
    checkResponse("\r\n", filler);
}

TEST_F(UnboundedServersTest, survivesEndlessChunkedBodies)
{
    checkResponse(chunkedBody, chunk(chunkBytes));
}

TEST_F(UnboundedServersTest, survivesBodiesOfAnEnormousLength)
{
    checkResponse("Content-Length: 1000000000000\r\n\r\n", filler);
}

// A field of four bytes costs the parser some hundred.
TEST_F(UnboundedServersTest, survivesEndlessBodiesAfterHeadsOfManyFields)
{
    checkResponse(repeated("a:\r\n", 16'000) + "\r\n", filler);
}

TEST_F(UnboundedServersTest, survivesEndlessBodiesAfterLongHeads)
{
    checkResponse(longFields + "\r\n", filler);
}

TEST_F(UnboundedServersTest, survivesHeadsOfManyFieldsOnKeptConnections)
{
    checkResponse(repeated("a:\r\n", 16'000) + keptConnection, "");
}

TEST_F(UnboundedServersTest, survivesLongHeadsOnKeptConnections)
{
    checkResponse(longFields + keptConnection, "");
}

TEST_F(UnboundedServersTest, survivesEndlessChunkExtensions)
{
    checkResponse(chunkedBody + "1;x=", filler);
}

TEST_F(UnboundedServersTest, survivesEndlessTrailers)
{
    checkResponse(chunkedBody + "0\r\n", repeated("X: " + std::string(60, 'x') + "\r\n", 1000));
}

TEST_F(UnboundedServersTest, survivesEndlessInterimResponses)
{
    checkResponse("HTTP/1.1 100 Continue\r\n\r\n", repeated("HTTP/1.1 100 Continue\r\n\r\n", 1000));
}

TEST_F(UnboundedServersTest, survivesEndlessResponsesToAnotherRequest)
{
    const std::string foreign = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n";
    checkResponse(foreign, repeated(foreign, 1000));
}
