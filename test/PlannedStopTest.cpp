// Requests that a gateway gets while it stops as planned.

#include "GatewayProcessTest.h"

#include <list>

using namespace quetzalyoke;

namespace {

class PlannedStopTest : public GatewayProcessTest
{
protected:
    // A caller whose request is sent in two parts.
    struct Caller
    {
        explicit Caller(asio::io_context &loop) : socket(loop) { }

        void connect(const Address &gateway)
        {
            socket.connect(Tcp::endpoint(asio::ip::make_address(gateway.host),
                                         static_cast<unsigned short>(gateway.port)));
            read();
        }
        void send(const std::string &bytes) { asio::write(socket, asio::buffer(bytes)); }
        std::string begin() const { return received.substr(0, 200); }
        bool hasStatus(int status) const
        {
            return received.starts_with("HTTP/1.1 " + std::to_string(status));
        }

        Tcp::socket socket;
        std::string received;
        bool isClosed = false;

    private:
        void read()
        {
            socket.async_read_some(asio::buffer(m_buf),
                                   [this](const SystemErrorCode &ec, std::size_t n) {
                                       received.append(m_buf.data(), n);
                                       isClosed = ec.failed();
                                       if (!ec)
                                           read();
                                   });
        }

        std::array<char, 4096> m_buf{};
    };

    static std::string head(const std::string &path, const std::string &id,
                            const std::string &fields = "")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: callers.example\r\nAttempt-Id: " + id + "\r\n"
            + fields + "Content-Length: 4\r\n\r\n";
    }

    void waitUntilEnded()
    {
        ASSERT_TRUE(runFor(10s, [this] { return gateway->waitForExit(0ms).has_value(); }));
    }

    std::list<Caller> callers;
};

} // namespace

// The platform allows 5 s for a stop, in these tests. These requests may take a minute.
TEST_F(PlannedStopTest, refusesARequestThatIsCompleteLateInTheGraceTime)
{
    ASSERT_TRUE(isAnswered());
    for (const std::string path : {"/held/x", "/held-often/x", "/stream/x"}) {
        callers.emplace_back(loop).connect(address);
        callers.back().send(head(path, "late" + path) + "bo");
    }
    runFor(100ms, [] { return false; });
    gateway->sendSignal(SIGTERM);
    runFor(3500ms, [] { return false; });
    for (Caller &it : callers)
        it.send("dy");
    waitUntilEnded();
    for (const Caller &it : callers) {
        EXPECT_TRUE(it.hasStatus(503)) << it.begin();
        EXPECT_NE(it.received.find("Retry-After: "), std::string::npos) << it.begin();
    }
    for (const std::string &id : arrived)
        EXPECT_FALSE(id.starts_with("late")) << id;
}

TEST_F(PlannedStopTest, answersALateRequestThatEndsBeforeTheProcess)
{
    ASSERT_TRUE(isAnswered());
    Caller caller(loop);
    caller.connect(address);
    caller.send(head("/ordinary/x", "late", "Deadline-Ms: 500\r\n") + "bo");
    runFor(100ms, [] { return false; });
    gateway->sendSignal(SIGTERM);
    runFor(3500ms, [] { return false; });
    caller.send("dy");
    waitUntilEnded();
    EXPECT_TRUE(caller.hasStatus(200)) << caller.begin();
}

// The server may have run them, so they are not refused.
TEST_F(PlannedStopTest, answersRequestsThatStillRunWhenTheGraceTimeEnds)
{
    ASSERT_TRUE(isAnswered());
    for (const std::string path : {"/held/x", "/held-often/x"}) {
        callers.emplace_back(loop).connect(address);
        callers.back().send(head(path, "running" + path) + "body");
    }
    runFor(100ms, [] { return false; });
    gateway->sendSignal(SIGTERM);
    runFor(1000ms, [] { return false; });
    callers.emplace_back(loop).connect(address);
    callers.back().send(head("/held/x", "new") + "body");
    waitUntilEnded();
    for (const Caller &it : callers)
        EXPECT_TRUE(it.hasStatus(504)) << it.begin();
    EXPECT_TRUE(arrived.contains("new"));
}
