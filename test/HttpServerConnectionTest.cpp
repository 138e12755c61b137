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
