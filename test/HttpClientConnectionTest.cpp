#include "Adapters/Async/HttpClient.h"
#include "Adapters/Async/HttpConnectionPool.h"
#include "LoopbackSocket.h"

#include <gtest/gtest.h>

#include <list>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

constexpr const char *request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::string completeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string uploadOf(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
        + std::string(bytes, 'u');
}

// One exchange over a connection from a pool, as in a gateway.
struct Exchange
{
    std::optional<ExchangeOutcome> outcome;
    int status = 0;
    std::string body;

    std::shared_ptr<HttpClientConnection> run(asio::io_context &loop, HttpConnectionPool &pool,
                                              const std::string &address, const std::string &id,
                                              bool isHead = false,
                                              const std::string &text = request)
    {
        ExchangeHooks hooks;
        hooks.onHeader = [this, id](int headerStatus, const boost::beast::http::fields &fields) {
            if (!fields["Id"].empty() && fields["Id"] != id)
                return ExchangeHooks::HeaderDecision::Skip;
            status = headerStatus;
            return ExchangeHooks::HeaderDecision::Accept;
        };
        hooks.onBody = [this](std::string_view data) { body.append(data); };
        hooks.onEnd = [this](ExchangeOutcome result) { outcome = result; };
        const auto connection = pool.acquire(address);
        connection->send(text, isHead, std::move(hooks));
        runUntil(loop, [this] { return outcome.has_value(); });
        return connection;
    }
};

class HttpClientConnectionTest : public ::testing::Test
{
protected:
    ExchangeOutcome outcomeOf(const std::string &response, ScriptedServer::End end,
                              bool isHead = false)
    {
        server.setResponse(response, end);
        return outcomeAt(server, isHead, request);
    }

    void expectMalformed(const std::string &response, ScriptedServer::End end)
    {
        SCOPED_TRACE(response);
        EXPECT_EQ(outcomeOf(response, end), ExchangeOutcome::Malformed);
        EXPECT_TRUE(lastBody.empty());
    }

    // A server responds while more of a request arrives than the system buffers.
    ExchangeOutcome outcomeOfUpload(const std::string &response, ScriptedServer::End end,
                                    std::chrono::milliseconds delay)
    {
        ScriptedServer &uploadServer = uploadServers.emplace_back(loop);
        uploadServer.setResponseThenEnd(response, end, delay);
        return outcomeAt(uploadServer, false, uploadOf(16'000'000));
    }

    ExchangeOutcome outcomeAt(const ScriptedServer &peer, bool isHead, const std::string &text)
    {
        Exchange exchange;
        exchange.run(loop, pool, peer.address(), "1", isHead, text);
        lastBody = exchange.body;
        return exchange.outcome.value_or(ExchangeOutcome::NotSent);
    }

    asio::io_context loop;
    ScriptedServer server{loop};
    std::list<ScriptedServer> uploadServers; // rests of uploads arrive until the test ends
    HttpConnectionPool pool{loop, {300ms, 1000ms}};
    std::string lastBody;
};

} // namespace

TEST_F(HttpClientConnectionTest, distinguishesCompleteFromBrokenResponses)
{
    using End = ScriptedServer::End;
    const std::string header = "HTTP/1.1 200 OK\r\n";
    EXPECT_EQ(outcomeOf(completeResponse("1", "fine"), End::KeepOpen), ExchangeOutcome::Complete);
    EXPECT_EQ(outcomeOf(header + "Content-Length: 9\r\n\r\nshort", End::Close),
              ExchangeOutcome::Incomplete);
    EXPECT_EQ(outcomeOf(header + "Content-Length: 9\r\n\r\nshort", End::Reset),
              ExchangeOutcome::Incomplete);
    EXPECT_EQ(outcomeOf(header + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", End::Close),
              ExchangeOutcome::Incomplete);
    EXPECT_EQ(
        outcomeOf(header + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", End::Close),
        ExchangeOutcome::Complete);
    EXPECT_EQ(outcomeOf(header + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", End::KeepOpen),
              ExchangeOutcome::Malformed);
    EXPECT_EQ(outcomeOf("garbage\r\n\r\n", End::KeepOpen), ExchangeOutcome::Malformed);
    EXPECT_EQ(outcomeOf("", End::Close), ExchangeOutcome::Incomplete);
    // A response without a length ends when the connection is closed, but not when it is reset.
    EXPECT_EQ(outcomeOf(header + "\r\nuntil the end", End::Close), ExchangeOutcome::Complete);
    EXPECT_EQ(lastBody, "until the end");
}

// The error of a reset may be reported to the side that writes; reading then shows an ordinary end.
TEST_F(HttpClientConnectionTest, takesNoResponseForWholeIfItsConnectionIsResetDuringTheRequest)
{
    using End = ScriptedServer::End;
    for (const End end : {End::Reset, End::Close}) { // bytes that aren't read make it a reset, too
        for (const auto delay : {0ms, 1ms, 5ms, 40ms}) {
            SCOPED_TRACE(std::to_string(delay.count()) + " ms");
            for (int i = 0; i < 10; ++i)
                EXPECT_EQ(outcomeOfUpload("HTTP/1.1 200 OK\r\n\r\npart", end, delay),
                          ExchangeOutcome::Incomplete);
        }
    }
}

TEST_F(HttpClientConnectionTest, takesAResponseThatEndsInOrderDuringTheRequestForWhole)
{
    using End = ScriptedServer::End;
    for (const End end : {End::Finish, End::FinishUnread}) {
        for (const auto delay : {0ms, 40ms}) {
            EXPECT_EQ(outcomeOfUpload("HTTP/1.1 200 OK\r\n\r\nwhole", end, delay),
                      ExchangeOutcome::Complete);
            EXPECT_EQ(lastBody, "whole");
        }
    }
}

// A response whose status is none is rejected at once: it is neither a response nor an interim one
// after which the response follows.
TEST_F(HttpClientConnectionTest, takesNoResponseWithAnInvalidStatus)
{
    using End = ScriptedServer::End;
    for (const std::string status : {"000", "001", "099", "600", "999", "00", "20", "2000", "-20",
                                     "+20", "2x0", " 200", "0x0", ""}) {
        for (const std::string framing :
             {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
            for (const End end : {End::KeepOpen, End::Close}) {
                const std::string body
                    = framing.starts_with("T") ? "4\r\nbody\r\n0\r\n\r\n" : "body";
                expectMalformed(
                    joined({"HTTP/1.1 ", status, " OK\r\nId: 1\r\n", framing, "\r\n", body}), end);
            }
        }
    }
}

TEST_F(HttpClientConnectionTest, takesNoResponseWithAnInvalidFieldName)
{
    using End = ScriptedServer::End;
    const std::string nul(1, '\0');
    for (const std::string &field :
         {std::string("Content Length: 2"), std::string("Content-Length : 2"),
          std::string("Content-Length\t: 2"), std::string("\x01Id: 1"), std::string("I\x1f: 1"),
          std::string("I\x7f"
                      "d: 1"),
          std::string("X\x80: 1"), "X" + nul + ": 1", nul + ": 1", std::string("X\rY: 1"),
          std::string("X\nY: 1"), std::string("Transfer-Encoding : chunked"), std::string(": 1"),
          std::string("X")}) {
        for (const bool isFirst : {true, false}) {
            for (const std::string framing : {"Content-Length: 4\r\n", ""}) {
                const std::string fields
                    = isFirst ? joined({field, "\r\n", framing}) : joined({framing, field, "\r\n"});
                expectMalformed(joined({"HTTP/1.1 200 OK\r\n", fields, "\r\nbody"}), End::Close);
            }
        }
    }
}

// The body would be passed on in a coding that the reader isn't told of, or with another length.
TEST_F(HttpClientConnectionTest, takesNoResponseWhoseFramingIsUnknown)
{
    using End = ScriptedServer::End;
    const std::string chunked = "4\r\nbody\r\n0\r\n\r\n";
    for (const std::string framing :
         {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: x\r\nContent-Length: 4\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: x\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
          "Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: 4, 5\r\n",
          "Content-Length: -1\r\n", "Content-Length: 4x\r\n", "Content-Length: \r\n",
          "Content-Length: 99999999999999999999999\r\n"}) {
        const std::string body = framing.find("chunked") == std::string::npos ? "body" : chunked;
        expectMalformed(joined({"HTTP/1.1 200 OK\r\n", framing, "\r\n", body}), End::Close);
    }
}

// Guards against a response with an empty or short body that is taken for whole because its server
// stopped inside the header.
TEST_F(HttpClientConnectionTest, takesNoHeaderThatEndsAtAnyByteForAResponse)
{
    using End = ScriptedServer::End;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string header :
         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"}) {
        for (std::size_t n = 0; n < header.size(); ++n) {
            for (const std::string &before : {std::string(), interim}) {
                const std::string received = before + header.substr(0, n);
                SCOPED_TRACE(received);
                EXPECT_EQ(outcomeOf(received, End::Close), ExchangeOutcome::Incomplete);
                EXPECT_TRUE(lastBody.empty());
                EXPECT_EQ(outcomeOf(received, End::Close, true), ExchangeOutcome::Incomplete);
                // The same on a kept connection.
                EXPECT_EQ(outcomeOf(completeResponse("1", "fine"), End::KeepOpen),
                          ExchangeOutcome::Complete);
                EXPECT_EQ(outcomeOf(received, End::Close), ExchangeOutcome::Incomplete);
                EXPECT_TRUE(lastBody.empty());
            }
        }
    }
}

TEST_F(HttpClientConnectionTest, skipsAResponseToAnotherRequest)
{
    server.setResponse(completeResponse("0", "late") + completeResponse("1", "mine"));
    Exchange exchange;
    exchange.run(loop, pool, server.address(), "1");
    EXPECT_EQ(exchange.outcome, ExchangeOutcome::Complete);
    EXPECT_EQ(exchange.body, "mine");
}

TEST_F(HttpClientConnectionTest, reusesAConnectionOnlyIfNothingFollowsTheResponse)
{
    Exchange first;
    server.setResponse(completeResponse("1", "fine"));
    const auto connection = first.run(loop, pool, server.address(), "1");
    EXPECT_FALSE(connection->isClosed());
    server.setResponse(completeResponse("2", "fine") + completeResponse("2", "again"));
    Exchange second;
    EXPECT_EQ(second.run(loop, pool, server.address(), "2"), connection);
    EXPECT_EQ(second.body, "fine");
    EXPECT_TRUE(connection->isClosed());
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(HttpClientConnectionTest, closesAnIdleConnectionThatHasExpired)
{
    server.setResponse(completeResponse("1", "fine"));
    Exchange exchange;
    const auto connection = exchange.run(loop, pool, server.address(), "1");
    ASSERT_FALSE(connection->isClosed());
    server.setResponse("HTTP/1.1 200 OK\r\n\r\n");
    // The server sends its response only when it reads a request, so no extra bytes arrive here;
    // the connection is closed because it is idle for too long.
    EXPECT_EQ(pool.idleCount(), 1U);
    pool.closeExpiredConnections(steadyNow() + 10s);
    EXPECT_TRUE(connection->isClosed());
}

TEST_F(HttpClientConnectionTest, reportsNotSentIfTheServerCannotBeReached)
{
    int port = 0;
    {
        Tcp::acceptor unused(loop, Tcp::endpoint(asio::ip::make_address(loopbackHost()), 0));
        port = unused.local_endpoint().port();
    }
    Exchange exchange;
    exchange.run(loop, pool, loopbackHost() + ":" + std::to_string(port), "1");
    EXPECT_EQ(exchange.outcome, ExchangeOutcome::NotSent);
    Exchange nowhere;
    nowhere.run(loop, pool, "not-an-address:80", "1");
    EXPECT_EQ(nowhere.outcome, ExchangeOutcome::NotSent);
}

TEST_F(HttpClientConnectionTest, callsNoHookAfterClose)
{
    Exchange exchange;
    const auto connection = pool.acquire(server.address());
    ExchangeHooks hooks;
    hooks.onHeader = [](int, const auto &) { return ExchangeHooks::HeaderDecision::Accept; };
    hooks.onEnd = [&exchange](ExchangeOutcome outcome) { exchange.outcome = outcome; };
    connection->send(request, false, std::move(hooks));
    connection->close();
    EXPECT_FALSE(runUntil(
        loop, [&] { return exchange.outcome.has_value(); }, 50ms));
}

TEST_F(HttpClientConnectionTest, endsACallAtItsTimeout)
{
    HttpClient caller(loop, Address::parse(server.address()), {300ms, 1000ms});
    std::optional<HttpCallResult> result;
    caller.call(request, 60ms, [&result](const HttpCallResult &it) { result = it; });
    ASSERT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
    EXPECT_TRUE(result->timedOut);
    EXPECT_FALSE(result->hasResponse());
    EXPECT_EQ(result->status, 0);
}

// A body over the limit is neither kept nor handed on in part.
TEST_F(HttpClientConnectionTest, endsACallWhoseBodyIsTooLong)
{
    constexpr std::size_t maxBodyBytes = 100'000;
    HttpClient caller(loop, Address::parse(server.address()), {300ms, 1000ms}, maxBodyBytes);
    for (const std::string &begin :
         {std::string("HTTP/1.1 200 OK\r\n\r\n"),
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * maxBodyBytes) + "\r\n\r\n"}) {
        server.setRepeatingResponse(begin, std::string(1000, 'x'));
        std::optional<HttpCallResult> result;
        caller.call(request, 4s, [&result](const HttpCallResult &it) { result = it; });
        ASSERT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
        EXPECT_EQ(result->outcome, ExchangeOutcome::Malformed);
        EXPECT_FALSE(result->timedOut);
        EXPECT_LE(result->body.size(), maxBodyBytes);
        EXPECT_TRUE(runUntil(loop, [this] { return !server.isRepeating(); }));
    }
}

// The server sends bytes without end, in each part of a response that has no fixed length.
TEST_F(HttpClientConnectionTest, limitsEachPartOfAResponse)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1000, 'x');
    const std::vector<std::pair<std::string, std::string>> floods = {
        {"", filler}, // not even a status line
        {"HTTP/1.1 200 OK\r\nX: ", filler}, // one field
        {"HTTP/1.1 200 OK\r\n", "X: " + filler + "\r\n"}, // fields
        {chunked + "1;x=", filler}, // a chunk's extension
        {chunked, std::string(1000, '0')}, // a chunk's length
        {chunked + "0\r\nX: ", filler}, // one field of the trailer
        {chunked + "0\r\n", "X: " + filler + "\r\n"}, // fields of the trailer
    };
    // More than the largest accepted header and what the socket buffers hold.
    constexpr std::size_t maxBytes = 8'000'000;
    for (const auto &[begin, unit] : floods) {
        server.setRepeatingResponse(begin, unit);
        const std::size_t before = server.repeatedBytes();
        Exchange exchange;
        const auto connection = exchange.run(loop, pool, server.address(), "1");
        EXPECT_EQ(exchange.outcome, ExchangeOutcome::Malformed) << begin;
        EXPECT_LT(server.repeatedBytes() - before, maxBytes) << begin;
        connection->close();
        EXPECT_TRUE(runUntil(loop, [this] { return !server.isRepeating(); })) << begin;
    }
}

TEST_F(HttpClientConnectionTest, closesAConnectionOnWhichEndlessBytesFollowAResponse)
{
    server.setRepeatingResponse(completeResponse("1", "fine"), std::string(1000, 'x'));
    Exchange exchange;
    exchange.run(loop, pool, server.address(), "1");
    EXPECT_EQ(exchange.outcome, ExchangeOutcome::Complete);
    EXPECT_EQ(exchange.body, "fine");
    EXPECT_TRUE(runUntil(loop, [this] { return !server.isRepeating(); }));
}

// A timeout was read from a text that no longer existed, and became negative if it was large: the
// connection then counted as expired at once.
TEST_F(HttpClientConnectionTest, readsAnyTimeoutThatTheServerStates)
{
    const auto idleTimeFor = [this](const std::string &keepAlive) {
        server.setResponse("HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: " + keepAlive
                           + "\r\nContent-Length: 0\r\n\r\n");
        Exchange exchange;
        const auto connection = exchange.run(loop, pool, server.address(), "1");
        const Duration idleTime = connection->idleExpiresAt() - steadyNow();
        connection->close();
        return idleTime;
    };
    EXPECT_GT(idleTimeFor("timeout=100"), Duration(70s));
    EXPECT_GT(idleTimeFor("timeout=100; a-parameter-that-is-longer-than-others=1"), Duration(70s));
    EXPECT_GT(idleTimeFor("a-parameter-that-is-longer-than-others=1; timeout=100"), Duration(70s));
    for (const char *seconds :
         {"2147484", "2147483647", "9223372036854775807", "99999999999999999999999999"}) {
        const Duration idleTime = idleTimeFor(std::string("timeout=") + seconds);
        EXPECT_GT(idleTime, Duration(70s)) << seconds;
        EXPECT_LT(idleTime, Duration(25h)) << seconds;
    }
    for (const char *text : {"timeout=0", "timeout=-5", "timeout=x", "timeout", "timeout=", "=",
                             ";", "max=5", "\xff"}) {
        EXPECT_GT(idleTimeFor(text), Duration(0s)) << text;
        EXPECT_LT(idleTimeFor(text), Duration(1s)) << text;
    }
}

// A response may end while its reader is paused, and the reader doesn't resume an exchange that has
// ended. The next response must be read nevertheless.
TEST_F(HttpClientConnectionTest, readsOnAfterAResponseThatEndedWhileReadingWasPaused)
{
    server.setResponse(completeResponse("1", "fine"));
    const auto connection = pool.acquire(server.address());
    bool hasEnded = false;
    ExchangeHooks hooks;
    hooks.onHeader = [](int, const auto &) { return ExchangeHooks::HeaderDecision::Accept; };
    hooks.onBody = [&connection](std::string_view) { connection->pauseReading(); };
    hooks.onEnd = [&hasEnded](ExchangeOutcome) { hasEnded = true; };
    connection->send(request, false, std::move(hooks));
    ASSERT_TRUE(runUntil(loop, [&] { return hasEnded; }));
    server.setResponse(completeResponse("2", "again"));
    Exchange second;
    EXPECT_EQ(second.run(loop, pool, server.address(), "2"), connection);
    EXPECT_EQ(second.outcome, ExchangeOutcome::Complete);
    EXPECT_EQ(second.body, "again");
    // While it is idle, too, the end of the connection is noticed.
    server.setResponse(completeResponse("3", "fine"), ScriptedServer::End::Close);
    bool hasEndedAgain = false;
    ExchangeHooks pausing;
    pausing.onHeader = [](int, const auto &) { return ExchangeHooks::HeaderDecision::Accept; };
    pausing.onBody = [&connection](std::string_view) { connection->pauseReading(); };
    pausing.onEnd = [&hasEndedAgain](ExchangeOutcome) { hasEndedAgain = true; };
    connection->send(request, false, std::move(pausing));
    ASSERT_TRUE(runUntil(loop, [&] { return hasEndedAgain; }));
    EXPECT_TRUE(runUntil(loop, [&] { return connection->isClosed(); }));
}
