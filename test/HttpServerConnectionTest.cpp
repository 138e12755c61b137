#include "Adapters/Async/AsyncHttpServer.h"
#include "LoopbackSocket.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

class HttpServerConnectionTest : public ::testing::Test
{
protected:
    HttpServerConnectionTest()
        : server(loop, 16,
                 {[this](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
                      requests.push_back(std::move(request));
                      connections.push_back(connection);
                  },
                  [this] { return limits; }, [this] { return isStopping; },
                  [this](int status, const char *) { rejections.push_back(status); }})
    {
        server.listen({loopbackHost(), 0});
    }

    bool awaitRequests(std::size_t n)
    {
        return runUntil(loop, [&] { return requests.size() >= n; });
    }

    asio::io_context loop;
    HttpServerConnectionLimits limits;
    bool isStopping = false;
    std::vector<HttpRequest> requests;
    std::vector<HttpServerConnection::Pointer> connections;
    std::vector<int> rejections;
    AsyncHttpServer server;
};

} // namespace

TEST_F(HttpServerConnectionTest, assemblesRequestsThatArriveInPieces)
{
    const std::string text
        = "POST /a/b?c=%20d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    RawClient caller(loop, server.port());
    for (const char c : text)
        caller.send(std::string(1, c));
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(requests[0].target, "/a/b?c=%20d");
    EXPECT_EQ(requests[0].body, "hello");
    connections[0]->sendResponse(200, "X: y\r\n", "fine");
    EXPECT_TRUE(caller.waitForText("Content-Length: 4\r\n\r\nfine"));
    caller.send("POST /second HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n0\r\n\r\n");
    ASSERT_TRUE(awaitRequests(2));
    EXPECT_EQ(requests[1].body, "abc");
}

// Rejects requests that two parsers might read differently, and requests that exceed a limit.
TEST_F(HttpServerConnectionTest, rejectsMalformedAndAmbiguousRequests)
{
    const std::vector<std::pair<std::string, int>> cases{
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
         400},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
         "0\r\n\r\n",
         400},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\nhello", 400},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello", 400},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5x\r\n\r\nhello", 400},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
        {"GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400},
        {"GET / HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n", 400},
        {"GET / HTTP/1.1\r\n\r\n", 400},
        {"GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"GET / HTTP/1.1\r\nHost: h\r\nX: a\x01z\r\n\r\n", 400},
        {"GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"GET / HTTP/1.0\r\nHost: h\r\n\r\n", 505},
        {"\x16\x03\x01\x02 no HTTP at all\r\n\r\n", 400},
        {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", 431},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", 413},
    };
    for (const auto &[text, status] : cases) {
        RawClient caller(loop, server.port());
        caller.send(text);
        EXPECT_TRUE(caller.waitForClose()) << text.substr(0, 80);
        EXPECT_EQ(caller.received().substr(0, 12), "HTTP/1.1 " + std::to_string(status))
            << text.substr(0, 80);
    }
    EXPECT_TRUE(requests.empty());
    EXPECT_EQ(rejections.size(), cases.size());
}

// A chunk extension or a trailer without end is rejected at the limit for a header, not only at the
// header timeout.
TEST_F(HttpServerConnectionTest, limitsChunkExtensionsAndTrailers)
{
    const std::string header = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    limits.headerTimeout = 60s;
    const std::string filler(100'000, 'x');
    for (const std::string &begin : {header + "1;x=", header + "0\r\nX: "}) {
        RawClient caller(loop, server.port());
        caller.send(begin);
        caller.send(filler);
        EXPECT_TRUE(caller.waitForText("HTTP/1.1 431")) << begin;
    }
    EXPECT_TRUE(requests.empty());
}

TEST_F(HttpServerConnectionTest, handlesPipelinedRequestsOneAfterTheOther)
{
    RawClient caller(loop, server.port());
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_FALSE(runUntil(
        loop, [&] { return requests.size() > 1; }, 50ms));
    connections[0]->sendResponse(200, "", "one");
    ASSERT_TRUE(awaitRequests(2));
    EXPECT_EQ(requests[1].target, "/2");
}

TEST_F(HttpServerConnectionTest, reportsOnceThatTheCallerHasDisconnected)
{
    int disconnects = 0;
    RawClient caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    connections[0]->setDisconnectHook([&disconnects] { ++disconnects; });
    caller.close();
    EXPECT_TRUE(runUntil(loop, [&] { return disconnects > 0; }));
    connections[0]->sendResponse(200, "", "late");
    EXPECT_FALSE(runUntil(
        loop, [&] { return disconnects > 1; }, 50ms));
}

TEST_F(HttpServerConnectionTest, closesAnAbortedStreamWithoutItsLastChunk)
{
    RawClient caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    connections[0]->beginChunkedResponse(200, "");
    connections[0]->writeChunk("data: 1\n\n");
    ASSERT_TRUE(caller.waitForText("data: 1"));
    connections[0]->abort();
    EXPECT_TRUE(caller.waitForClose());
    EXPECT_EQ(caller.received().find("0\r\n\r\n"), std::string::npos);
}

TEST_F(HttpServerConnectionTest, closesTheConnectionAfterAResponseThatBeganBeforeShutdown)
{
    RawClient caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    connections[0]->beginChunkedResponse(200, "");
    connections[0]->writeChunk("data: 1\n\n");
    isStopping = true;
    connections[0]->endChunkedResponse();
    EXPECT_TRUE(caller.waitForText("0\r\n\r\n"));
    EXPECT_TRUE(caller.waitForClose());
}

TEST_F(HttpServerConnectionTest, rejectsARequestThatTakesTooLongToArrive)
{
    limits.headerTimeout = 60ms;
    RawClient caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHo");
    EXPECT_TRUE(caller.waitForClose());
    EXPECT_EQ(caller.received().substr(0, 12), "HTTP/1.1 408");
}

TEST_F(HttpServerConnectionTest, closesIdleConnectionsWithoutAResponse)
{
    limits.idleTimeout = 60ms;
    RawClient caller(loop, server.port());
    EXPECT_TRUE(caller.waitForClose());
    EXPECT_TRUE(caller.received().empty());
}

TEST_F(HttpServerConnectionTest, sendsContinueToACallerThatExpectsIt)
{
    RawClient caller(loop, server.port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    ASSERT_TRUE(caller.waitForText("100 Continue"));
    caller.send("ab");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(requests[0].body, "ab");
}

namespace {

// As above, with room for 10,000 bytes of all connections and two connections.
class HttpServerConnectionBudgetTest : public ::testing::Test
{
protected:
    HttpServerConnectionBudgetTest()
        : server(loop, 2,
                 {[this](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
                      requests.push_back(std::move(request));
                      connections.push_back(connection);
                  },
                  [this] { return limits; }, [] { return false; }, [](int, const char *) {}, budget,
                  [this](const char *reason, std::size_t) { evictions.push_back(reason); }, slots})
    {
        server.listen({loopbackHost(), 0});
    }

    asio::io_context loop;
    HttpServerConnectionLimits limits;
    std::shared_ptr<ReceiveBudget> budget
        = std::make_shared<ReceiveBudget>(ReceiveBudget::Limits{100'000, 10'000});
    std::shared_ptr<ResourceCharge::Total> slots
        = std::make_shared<ResourceCharge::Total>(ResourceCharge::Total{0, 2});
    std::vector<HttpRequest> requests;
    std::vector<HttpServerConnection::Pointer> connections;
    std::vector<std::string> evictions;
    AsyncHttpServer server;
};

const std::string chunkedHeader
    = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// The caller learns that its request has not run, and what it held is released.
TEST_F(HttpServerConnectionBudgetTest, rejectsTheStalledRequestWhenMemoryRunsOut)
{
    RawClient stalled(loop, server.port());
    stalled.send(chunkedHeader + "f000\r\n" + std::string(0xe000, 'x'));
    runUntil(
        loop, [] { return false; }, 50ms);
    RawClient newest(loop, server.port());
    newest.send(chunkedHeader + "f000\r\n" + std::string(0xf000, 'x') + "\r\n");
    EXPECT_TRUE(stalled.waitForText("HTTP/1.1 503"));
    EXPECT_TRUE(stalled.waitForText("Connection: close"));
    EXPECT_TRUE(stalled.waitForText("Retry-After: "));
    newest.send("0\r\n\r\n");
    EXPECT_TRUE(runUntil(loop, [this] { return requests.size() == 1; }));
    EXPECT_EQ(evictions, std::vector<std::string>{"memory"});
    EXPECT_EQ(requests[0].body.size(), 0xf000U);
}

// What a response leaves unread counts, and its reader is told by the end of the connection.
TEST_F(HttpServerConnectionBudgetTest, closesTheConnectionOfACallerThatDoesNotRead)
{
    RawClient caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [this] { return requests.size() == 1; }));
    int disconnects = 0;
    connections[0]->setDisconnectHook([&disconnects] { ++disconnects; });
    connections[0]->beginChunkedResponse(200, "");
    connections[0]->writeChunk(std::string(8'000'000, 'x'));
    EXPECT_TRUE(runUntil(loop, [&disconnects] { return disconnects == 1; }));
    connections[0]->writeChunk("late");
    connections[0]->endChunkedResponse();
    EXPECT_EQ(budget->connectionBytes(), 0U);
}

TEST_F(HttpServerConnectionBudgetTest, rejectsRequestsBeyondTheirMemory)
{
    RawClient first(loop, server.port());
    first.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"
               + std::string(9000, 'x'));
    ASSERT_TRUE(runUntil(loop, [this] { return requests.size() == 1; }));
    RawClient second(loop, server.port());
    second.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
                + std::string(2000, 'x'));
    EXPECT_TRUE(second.waitForText("HTTP/1.1 503"));
    requests.clear();
    RawClient third(loop, server.port());
    third.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
               + std::string(2000, 'x'));
    EXPECT_TRUE(runUntil(loop, [this] { return requests.size() == 1; }));
}

// Each request being handled may need a connection to a server; descriptors are limited.
TEST_F(HttpServerConnectionBudgetTest, rejectsRequestsBeyondTheirNumber)
{
    slots->limit = 1;
    RawClient first(loop, server.port());
    first.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [this] { return requests.size() == 1; }));
    RawClient second(loop, server.port());
    second.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(second.waitForText("HTTP/1.1 503"));
    requests.clear();
    EXPECT_EQ(slots->amount, 0U);
}

// Callers that send nothing must not keep out others until they time out.
TEST_F(HttpServerConnectionBudgetTest, replacesTheConnectionThatHasWaitedLongest)
{
    RawClient first(loop, server.port());
    runUntil(
        loop, [] { return false; }, 20ms);
    RawClient second(loop, server.port());
    runUntil(
        loop, [] { return false; }, 20ms);
    RawClient third(loop, server.port());
    EXPECT_TRUE(first.waitForClose());
    third.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(runUntil(loop, [this] { return requests.size() == 1; }));
    EXPECT_FALSE(second.isClosed());
    EXPECT_EQ(evictions, std::vector<std::string>{"connections"});
}

// A connection with a request in progress must not make way for a new one.
TEST_F(HttpServerConnectionBudgetTest, keepsConnectionsWhoseRequestsAreHandled)
{
    RawClient first(loop, server.port());
    RawClient second(loop, server.port());
    first.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    second.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [this] { return requests.size() == 2; }));
    RawClient third(loop, server.port());
    EXPECT_TRUE(third.waitForClose());
    EXPECT_FALSE(first.isClosed());
    EXPECT_FALSE(second.isClosed());
}

// An endless sender is not read to its end after its request was rejected.
TEST_F(HttpServerConnectionBudgetTest, closesSoonAfterARejectionWithoutReadingTheRest)
{
    RawClient caller(loop, server.port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n");
    EXPECT_TRUE(caller.waitForText("HTTP/1.1 413"));
    caller.send(std::string(200'000, 'x'));
    EXPECT_TRUE(caller.waitForClose());
    EXPECT_TRUE(runUntil(loop, [this] { return server.connectionCount() == 0; }));
}
