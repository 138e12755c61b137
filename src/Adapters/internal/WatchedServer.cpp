#include "Adapters/internal/WatchedServer.h"

#include "Adapters/internal/ElasticPool.h"

#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzalyoke::internal {

namespace {

constexpr socket_t noSocket = -1;
constexpr std::chrono::milliseconds idlePoll{200}; // how soon an idle connection sees a stop
constexpr std::chrono::seconds idleLimit{60};

thread_local socket_t currentSocket = noSocket;

const std::string &overloadAnswer()
{
    static const std::string body
        = R"({"error":{"message":"too many connections; ask again","type":"overloaded",)"
          R"("code":"overloaded","run_state":"not-run"}})";
    static const std::string answer
        = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
          "Quetzalyoke-Run-State: not-run\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    return answer;
}

} // namespace

WatchedServer::WatchedServer(const CallerStream::Limits &limits) : m_limits(limits) { }

bool WatchedServer::callerHasGone()
{
    return currentSocket != noSocket && isClosedByPeer(currentSocket);
}

// The library listens with room for five, so a burst of connections would be dropped or reset.
// A second listen() on the socket only changes that number.
void WatchedServer::setBacklog(int connections)
{
    ::listen(svr_sock_, connections);
}

bool WatchedServer::process_and_close_socket(socket_t socket)
{
    if (ElasticPool::isOverloaded()) {
        const std::string &answer = overloadAnswer();
        send(socket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    } else {
        currentSocket = socket;
        serve(socket);
        currentSocket = noSocket;
    }
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return true;
}

void WatchedServer::serve(socket_t socket)
{
    CallerStream stream(socket, m_limits);
    auto idleSince = std::chrono::steady_clock::now();
    while (is_running()) {
        if (!stream.awaitRequest(idlePoll)) {
            const bool idleTooLong = std::chrono::steady_clock::now() - idleSince > idleLimit;
            if (idleTooLong || isClosedByPeer(socket))
                return;
            continue;
        }
        bool closed = false;
        const bool answered = process_request(stream, false, closed, nullptr);
        if (!answered || closed || stream.isExhausted())
            return;
        idleSince = std::chrono::steady_clock::now();
    }
}

} // namespace quetzalyoke::internal
