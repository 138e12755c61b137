#include "Adapters/HttpServer.h"

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <future>
#include <tuple>
#include <vector>

using namespace quetzalyoke;

namespace {

constexpr int burstSize = 200;
constexpr int connectTimeoutMillis = 20;

HttpServerLimits smallLimits(int connections)
{
    HttpServerLimits limits;
    limits.connections = connections;
    limits.requestTimeout = std::chrono::milliseconds(300);
    return limits;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = loopback(port);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof(target)), 0);
    return fd;
}

// Returns all that the server sends until it closes the connection.
std::string readAll(int fd)
{
    std::string text;
    std::array<char, 1024> buf{};
    while (true) {
        const ssize_t n = recv(fd, buf.data(), buf.size(), 0);
        if (n <= 0)
            return text;
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
}

} // namespace

// Guards against lost connections while the accepting thread of a busy machine is not scheduled: no
// thread accepts here, so the whole burst must fit into the backlog.
TEST(HttpServerTest, queuesABurstOfConnectionsThatAreNotAcceptedYet)
{
    internal::DisconnectAwareServer server(
        {1024, std::chrono::seconds(1), std::chrono::seconds(1)});
    const int port = server.bind_to_any_port("127.0.0.1");
    server.setBacklog(HttpServer::listenBacklog);
    std::vector<int> pending;
    int connected = 0;
    for (int i = 0; i < burstSize; ++i) {
        pending.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        const sockaddr_in target = loopback(port);
        std::ignore
            = connect(pending.back(), reinterpret_cast<const sockaddr *>(&target), sizeof(target));
        pollfd entry{pending.back(), POLLOUT, 0};
        connected += poll(&entry, 1, connectTimeoutMillis) > 0 ? 1 : 0;
    }
    EXPECT_EQ(connected, burstSize);
    for (const int it : pending)
        close(it);
}

TEST(HttpServerTest, refusesConnectionsBeyondTheLimitAtOnce)
{
    HttpServer server(smallLimits(1));
    std::promise<void> entered;
    std::promise<void> leave;
    server.routes().Get("/hold", [&](const auto &, auto &) {
        entered.set_value();
        leave.get_future().wait();
    });
    server.listen({"127.0.0.1", 0});
    auto heldStatus = std::async(std::launch::async, [&server] {
        return httplib::Client("127.0.0.1", server.port()).Get("/hold")->status;
    });
    entered.get_future().wait();
    const int fd = connectTo(server.port());
    const std::string response = readAll(fd);
    close(fd);
    EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(response.find("Quetzalyoke-Run-State: not-run"), std::string::npos);
    leave.set_value();
    EXPECT_EQ(heldStatus.get(), 200);
}

TEST(HttpServerTest, endsRequestsWithTooManyHeadersAndSlowRequests)
{
    HttpServerLimits limits = smallLimits(4);
    limits.bodyBytes = 1024;
    HttpServer server(limits);
    server.addHealthRoutes([] { return true; });
    server.listen({"127.0.0.1", 0});

    const int flood = connectTo(server.port());
    std::string text = "GET /healthz HTTP/1.1\r\n";
    for (int i = 0; i < 4000; ++i)
        text += "X-Header-" + std::to_string(i) + ": " + std::string(60, 'x') + "\r\n";
    send(flood, text.data(), text.size(), MSG_NOSIGNAL);
    EXPECT_EQ(readAll(flood).find("HTTP/1.1 200"), std::string::npos);
    close(flood);

    const int slow = connectTo(server.port());
    const std::string start = "GET /healthz HTTP/1.1\r\nX-Half: ";
    send(slow, start.data(), start.size(), MSG_NOSIGNAL);
    EXPECT_EQ(readAll(slow).find("HTTP/1.1 200"), std::string::npos);
    close(slow);

    EXPECT_EQ(httplib::Client("127.0.0.1", server.port()).Get("/healthz")->status, 200);
}

// Guards against request smuggling: two HTTP implementations may disagree where a request with an
// ambiguous length ends, so it is refused and its connection closed.
TEST(HttpServerTest, refusesUnclearLengthsAndCloses)
{
    HttpServer server(smallLimits(4));
    server.routes().Post("/", [](const httplib::Request &, httplib::Response &res) {
        res.set_content("taken", "text/plain");
    });
    server.listen({"127.0.0.1", 0});
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<std::string> ambiguous{
        "Content-Length: 5\r\n" + chunked,
        chunked + "Content-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5x\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: gzip\r\n",
        chunked + chunked,
    };
    for (const std::string &lengths : ambiguous) {
        const int fd = connectTo(server.port());
        const std::string text = "POST / HTTP/1.1\r\nHost: h\r\n" + lengths + "\r\n0\r\n\r\n";
        send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        const std::string response = readAll(fd);
        close(fd);
        EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 400") << lengths;
        EXPECT_NE(response.find("Quetzalyoke-Run-State: not-run"), std::string::npos) << lengths;
        EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos) << lengths;
    }
    httplib::Client caller("127.0.0.1", server.port());
    EXPECT_EQ(caller.Post("/", "hello", "text/plain")->body, "taken");
}
