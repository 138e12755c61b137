#include "Apps/Agent/BackendHealth.h"

#include "Adapters/HttpServer.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <tuple>

using namespace quetzalyoke;

namespace {

// A listening socket that never accepts a connection and whose backlog is full.
class FullListener
{
public:
    FullListener()
    {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        std::ignore = bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        listen(m_socket, 0);
        socklen_t n = sizeof(address);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &n);
        m_port = ntohs(address.sin_port);
        for (int &it : m_pending) {
            it = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            std::ignore = connect(it, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        }
    }
    ~FullListener()
    {
        for (const int it : m_pending)
            close(it);
        close(m_socket);
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    int port() const { return m_port; }

private:
    int m_socket = -1;
    int m_port = 0;
    std::array<int, 4> m_pending{};
};

} // namespace

TEST(BackendHealthTest, treatsABusyServerAsUp)
{
    const FullListener listener;
    BackendHealth health({"127.0.0.1", listener.port()}, [](bool) {});
    EXPECT_FALSE(health.checkAfterFailure());
    EXPECT_FALSE(health.isDown());
}

TEST(BackendHealthTest, detectsThatAServerIsDownAndUpAgain)
{
    HttpServer first{HttpServerLimits()};
    first.listen({"127.0.0.1", 0});
    const Address address{"127.0.0.1", first.port()};
    std::promise<void> up;
    BackendHealth health(address, [&up](bool down) {
        if (!down)
            up.set_value();
    });
    EXPECT_FALSE(health.checkAfterFailure());
    first.stop();
    EXPECT_TRUE(health.checkAfterFailure());
    EXPECT_TRUE(health.isDown());
    HttpServer second{HttpServerLimits()};
    second.listen(address);
    EXPECT_EQ(up.get_future().wait_for(std::chrono::seconds(5)), std::future_status::ready);
}
