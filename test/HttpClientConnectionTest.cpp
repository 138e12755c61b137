#include "Adapters/Async/HttpClient.h"
#include "Adapters/Async/HttpConnectionPool.h"
#include "LoopbackSocket.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

constexpr const char *request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::string whole(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One exchange over a pool, as a gateway makes it.
struct Exchange
{
    std::optional<ExchangeOutcome> end;
    int status = 0;
    std::string body;

    std::shared_ptr<HttpClientConnection> run(asio::io_context &loop, HttpConnectionPool &pool,
                                              const std::string &address, const std::string &id)
    {
        ExchangeHooks hooks;
        hooks.onHeader = [this, id](int headStatus, const boost::beast::http::fields &fields) {
            if (!fields["Id"].empty() && fields["Id"] != id)
                return ExchangeHooks::HeaderDecision::Skip;
            status = headStatus;
            return ExchangeHooks::HeaderDecision::Accept;
        };
        hooks.onBody = [this](std::string_view data) { body.append(data); };
        hooks.onEnd = [this](ExchangeOutcome how) { end = how; };
        const auto connection = pool.acquire(address);
        connection->send(request, false, std::move(hooks));
        runUntil(loop, [this] { return end.has_value(); });
        return connection;
    }
};

class HttpClientConnectionTest : public ::testing::Test
{
protected:
    ExchangeOutcome endOf(const std::string &response, ScriptedServer::End end)
    {
        server.setResponse(response, end);
        Exchange exchange;
        exchange.run(loop, pool, server.address(), "1");
        lastBody = exchange.body;
        return exchange.end.value_or(ExchangeOutcome::NotSent);
    }

    asio::io_context loop;
    ScriptedServer server{loop};
    HttpConnectionPool pool{loop, {300ms, 1000ms}};
    std::string lastBody;
};

} // namespace

TEST_F(HttpClientConnectionTest, tellsWholeAnswersFromBrokenOnes)
{
    using End = ScriptedServer::End;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    EXPECT_EQ(endOf(whole("1", "fine"), End::KeepOpen), ExchangeOutcome::Complete);
    EXPECT_EQ(endOf(head + "Content-Length: 9\r\n\r\nshort", End::Close),
              ExchangeOutcome::Incomplete);
    EXPECT_EQ(endOf(head + "Content-Length: 9\r\n\r\nshort", End::Reset),
              ExchangeOutcome::Incomplete);
    EXPECT_EQ(endOf(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", End::Close),
              ExchangeOutcome::Incomplete);
    EXPECT_EQ(endOf(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", End::Close),
              ExchangeOutcome::Complete);
    EXPECT_EQ(endOf(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", End::KeepOpen),
              ExchangeOutcome::Malformed);
    EXPECT_EQ(endOf("garbage\r\n\r\n", End::KeepOpen), ExchangeOutcome::Malformed);
    EXPECT_EQ(endOf("", End::Close), ExchangeOutcome::Incomplete);
    // Without a length the answer ends with its connection, but not with a reset.
    EXPECT_EQ(endOf(head + "\r\nuntil the end", End::Close), ExchangeOutcome::Complete);
    EXPECT_EQ(lastBody, "until the end");
}

TEST_F(HttpClientConnectionTest, skipsAnAnswerToAnotherRequest)
{
    server.setResponse(whole("0", "late") + whole("1", "mine"));
    Exchange exchange;
    exchange.run(loop, pool, server.address(), "1");
    EXPECT_EQ(exchange.end, ExchangeOutcome::Complete);
    EXPECT_EQ(exchange.body, "mine");
}

TEST_F(HttpClientConnectionTest, keepsAConnectionOnlyWhereNothingFollowsTheAnswer)
{
    Exchange first;
    server.setResponse(whole("1", "fine"));
    const auto connection = first.run(loop, pool, server.address(), "1");
    EXPECT_FALSE(connection->isClosed());
    server.setResponse(whole("2", "fine") + whole("2", "again"));
    Exchange second;
    EXPECT_EQ(second.run(loop, pool, server.address(), "2"), connection);
    EXPECT_EQ(second.body, "fine");
    EXPECT_TRUE(connection->isClosed());
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(HttpClientConnectionTest, closesAnIdleConnectionOnWhichBytesArrive)
{
    server.setResponse(whole("1", "fine"));
    Exchange exchange;
    const auto connection = exchange.run(loop, pool, server.address(), "1");
    ASSERT_FALSE(connection->isClosed());
    server.setResponse("HTTP/1.1 200 OK\r\n\r\n");
    // The script runs at the server's next read, so the extra bytes are sent by a second caller.
    EXPECT_EQ(pool.idleCount(), 1U);
    pool.closeExpiredConnections(steadyNow() + 10s);
    EXPECT_TRUE(connection->isClosed());
}

TEST_F(HttpClientConnectionTest, saysThatNothingWasSentWhereNobodyListens)
{
    int port = 0;
    {
        Tcp::acceptor unused(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        port = unused.local_endpoint().port();
    }
    Exchange exchange;
    exchange.run(loop, pool, "127.0.0.1:" + std::to_string(port), "1");
    EXPECT_EQ(exchange.end, ExchangeOutcome::NotSent);
    Exchange nowhere;
    nowhere.run(loop, pool, "not-an-address:80", "1");
    EXPECT_EQ(nowhere.end, ExchangeOutcome::NotSent);
}

TEST_F(HttpClientConnectionTest, callsNoHookAfterClose)
{
    Exchange exchange;
    const auto connection = pool.acquire(server.address());
    ExchangeHooks hooks;
    hooks.onHeader = [](int, const auto &) { return ExchangeHooks::HeaderDecision::Accept; };
    hooks.onEnd = [&exchange](ExchangeOutcome end) { exchange.end = end; };
    connection->send(request, false, std::move(hooks));
    connection->close();
    EXPECT_FALSE(runUntil(
        loop, [&] { return exchange.end.has_value(); }, 50ms));
}

TEST_F(HttpClientConnectionTest, givesUpACallAtItsTimeout)
{
    HttpClient caller(loop, Address::parse(server.address()), {300ms, 1000ms});
    std::optional<HttpCallResult> result;
    caller.call(request, 60ms, [&result](const HttpCallResult &it) { result = it; });
    ASSERT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
    EXPECT_TRUE(result->timedOut);
    EXPECT_FALSE(result->hasResponse());
    EXPECT_EQ(result->status, 0);
}

// Bytes that are no answer come without end, wherever an answer has room for them.
TEST_F(HttpClientConnectionTest, endsAnAnswerWhosePartsNeverEnd)
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
    // The largest head that is taken, and what sockets hold.
    constexpr std::size_t most = 8'000'000;
    for (const auto &[begin, unit] : floods) {
        server.setRepeatingResponse(begin, unit);
        const std::size_t before = server.repeatedBytes();
        Exchange exchange;
        const auto connection = exchange.run(loop, pool, server.address(), "1");
        EXPECT_EQ(exchange.end, ExchangeOutcome::Malformed) << begin;
        EXPECT_LT(server.repeatedBytes() - before, most) << begin;
        connection->close();
        EXPECT_TRUE(runUntil(loop, [this] { return !server.isRepeating(); })) << begin;
    }
}

TEST_F(HttpClientConnectionTest, closesAConnectionOnWhichBytesFollowAnAnswerWithoutEnd)
{
    server.setRepeatingResponse(whole("1", "fine"), std::string(1000, 'x'));
    Exchange exchange;
    exchange.run(loop, pool, server.address(), "1");
    EXPECT_EQ(exchange.end, ExchangeOutcome::Complete);
    EXPECT_EQ(exchange.body, "fine");
    EXPECT_TRUE(runUntil(loop, [this] { return !server.isRepeating(); }));
}
