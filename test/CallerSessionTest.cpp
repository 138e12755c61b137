#include "Adapters/Async/CallerServer.h"
#include "LoopbackSocket.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

class CallerSessionTest : public ::testing::Test
{
protected:
    CallerSessionTest()
        : server(loop, 16,
                 {[this](const CallerSession::Pointer &session, CallerRequest &&request) {
                      requests.push_back(std::move(request));
                      sessions.push_back(session);
                  },
                  [this] { return limits; }, [this] { return isStopping; },
                  [this](int status, const char *) { rejections.push_back(status); }})
    {
        server.listen({"127.0.0.1", 0});
    }

    bool awaitRequests(std::size_t n)
    {
        return runUntil(loop, [&] { return requests.size() >= n; });
    }

    asio::io_context loop;
    SessionLimits limits;
    bool isStopping = false;
    std::vector<CallerRequest> requests;
    std::vector<CallerSession::Pointer> sessions;
    std::vector<int> rejections;
    CallerServer server;
};

} // namespace

TEST_F(CallerSessionTest, handsOnWholeRequestsHoweverTheyArrive)
{
    const std::string text
        = "POST /a/b?c=%20d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    RawCaller caller(loop, server.port());
    for (const char c : text)
        caller.send(std::string(1, c));
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(requests[0].target, "/a/b?c=%20d");
    EXPECT_EQ(requests[0].body, "hello");
    sessions[0]->answer(200, "X: y\r\n", "fine");
    EXPECT_TRUE(caller.awaitText("Content-Length: 4\r\n\r\nfine"));
    caller.send("POST /second HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n0\r\n\r\n");
    ASSERT_TRUE(awaitRequests(2));
    EXPECT_EQ(requests[1].body, "abc");
}

// Requests that two parsers on the way might read differently, or that never end.
TEST_F(CallerSessionTest, turnsDownWhatIsNotExactlyOneRequest)
{
    const std::vector<std::pair<std::string, int>> table{
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
    for (const auto &[text, status] : table) {
        RawCaller caller(loop, server.port());
        caller.send(text);
        EXPECT_TRUE(caller.awaitEnd()) << text.substr(0, 80);
        EXPECT_EQ(caller.received().substr(0, 12), "HTTP/1.1 " + std::to_string(status))
            << text.substr(0, 80);
    }
    EXPECT_TRUE(requests.empty());
    EXPECT_EQ(rejections.size(), table.size());
}

// A caller that sends the lines between the parts of a body without end is cut at the bound of a
// head, not at the end of the time for it.
TEST_F(CallerSessionTest, boundsTheLinesOfABodyInChunks)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    limits.headerTimeout = 60s;
    const std::string filler(100'000, 'x');
    for (const std::string &begin : {head + "1;x=", head + "0\r\nX: "}) {
        RawCaller caller(loop, server.port());
        caller.send(begin);
        caller.send(filler);
        EXPECT_TRUE(caller.awaitText("HTTP/1.1 431")) << begin;
    }
    EXPECT_TRUE(requests.empty());
}

TEST_F(CallerSessionTest, answersPipelinedRequestsOneAfterTheOther)
{
    RawCaller caller(loop, server.port());
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_FALSE(runUntil(
        loop, [&] { return requests.size() > 1; }, 50ms));
    sessions[0]->answer(200, "", "one");
    ASSERT_TRUE(awaitRequests(2));
    EXPECT_EQ(requests[1].target, "/2");
}

TEST_F(CallerSessionTest, tellsOnceThatTheCallerHasLeft)
{
    int left = 0;
    RawCaller caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    sessions[0]->setLeaveHook([&left] { ++left; });
    caller.close();
    EXPECT_TRUE(runUntil(loop, [&] { return left > 0; }));
    sessions[0]->answer(200, "", "late");
    EXPECT_FALSE(runUntil(
        loop, [&] { return left > 1; }, 50ms));
}

TEST_F(CallerSessionTest, showsAnAbortedStreamToBeIncomplete)
{
    RawCaller caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    sessions[0]->beginStream(200, "");
    sessions[0]->writeStream("data: 1\n\n");
    ASSERT_TRUE(caller.awaitText("data: 1"));
    sessions[0]->abort();
    EXPECT_TRUE(caller.awaitEnd());
    EXPECT_EQ(caller.received().find("0\r\n\r\n"), std::string::npos);
}

TEST_F(CallerSessionTest, endsTheConnectionAfterAnAnswerThatBeganBeforeTheStop)
{
    RawCaller caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    sessions[0]->beginStream(200, "");
    sessions[0]->writeStream("data: 1\n\n");
    isStopping = true;
    sessions[0]->endStream();
    EXPECT_TRUE(caller.awaitText("0\r\n\r\n"));
    EXPECT_TRUE(caller.awaitEnd());
}

TEST_F(CallerSessionTest, answersARequestThatTakesTooLongToArrive)
{
    limits.headerTimeout = 60ms;
    RawCaller caller(loop, server.port());
    caller.send("GET / HTTP/1.1\r\nHo");
    EXPECT_TRUE(caller.awaitEnd());
    EXPECT_EQ(caller.received().substr(0, 12), "HTTP/1.1 408");
}

TEST_F(CallerSessionTest, closesIdleConnectionsWithoutAWord)
{
    limits.idleTimeout = 60ms;
    RawCaller caller(loop, server.port());
    EXPECT_TRUE(caller.awaitEnd());
    EXPECT_TRUE(caller.received().empty());
}

TEST_F(CallerSessionTest, letsACallerWithABodyGoOn)
{
    RawCaller caller(loop, server.port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    ASSERT_TRUE(caller.awaitText("100 Continue"));
    caller.send("ab");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(requests[0].body, "ab");
}
