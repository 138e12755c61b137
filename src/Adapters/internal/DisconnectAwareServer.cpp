#include "Adapters/internal/DisconnectAwareServer.h"

#include "Adapters/internal/OnDemandThreadPool.h"

#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzalyoke::internal {

namespace {

constexpr socket_t noSocket = -1;
constexpr std::chrono::milliseconds idlePollInterval{200}; // delay to notice a stop when idle
constexpr std::chrono::seconds idleTimeout{60};

constexpr std::size_t maxLengthDigits = 18; // of a Content-Length that fits into 64 bits

thread_local socket_t currentSocket = noSocket;
thread_local bool closeAfterResponse = false; // set if the connection closes after this response

std::string errorBody(const std::string &code, const std::string &message)
{
    return R"({"error":{"message":")" + message + R"(","type":")" + code + R"(","code":")" + code
        + R"(","run_state":"not-run"}})";
}

const std::string &overloadResponse()
{
    static const std::string body = errorBody("overloaded", "too many connections; retry later");
    static const std::string response
        = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
          "Quetzalyoke-Run-State: not-run\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    return response;
}

// Returns whether the length of the request is unambiguous. Otherwise two HTTP implementations
// could disagree where it ends, and the rest could be taken for another request (request
// smuggling).
bool hasUnambiguousLength(const httplib::Request &req)
{
    const std::size_t lengths = req.get_header_value_count("Content-Length");
    const std::size_t codings = req.get_header_value_count("Transfer-Encoding");
    if (lengths + codings > 1)
        return false;
    if (codings == 1)
        return strcasecmp(req.get_header_value("Transfer-Encoding").c_str(), "chunked") == 0;
    const std::string length = req.get_header_value("Content-Length");
    return lengths == 0
        || (!length.empty() && length.size() <= maxLengthDigits
            && length.find_first_not_of("0123456789") == std::string::npos);
}

httplib::Server::HandlerResponse refuseAmbiguousLength(const httplib::Request &req,
                                                       httplib::Response &res)
{
    if (hasUnambiguousLength(req))
        return httplib::Server::HandlerResponse::Unhandled;
    closeAfterResponse = true;
    res.status = 400;
    res.set_header("Connection", "close");
    res.set_header("Quetzalyoke-Run-State", "not-run");
    res.set_content(errorBody("invalid_request",
                              "send either one Content-Length or one chunked Transfer-Encoding"),
                    "application/json");
    return httplib::Server::HandlerResponse::Handled;
}

} // namespace

DisconnectAwareServer::DisconnectAwareServer(const LimitedStream::Limits &limits) : m_limits(limits)
{
    set_pre_routing_handler(refuseAmbiguousLength);
}

bool DisconnectAwareServer::isCallerDisconnected()
{
    return currentSocket != noSocket && isClosedByPeer(currentSocket);
}

// The library listens with a backlog of 5, so connections of a burst would be dropped or reset. A
// second listen() on the socket only changes the backlog.
void DisconnectAwareServer::setBacklog(int connections)
{
    ::listen(svr_sock_, connections);
}

bool DisconnectAwareServer::process_and_close_socket(socket_t socket)
{
    if (OnDemandThreadPool::isOverflowJob()) {
        const std::string &response = overloadResponse();
        send(socket, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    } else {
        currentSocket = socket;
        serveConnection(socket);
        currentSocket = noSocket;
    }
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return true;
}

void DisconnectAwareServer::serveConnection(socket_t socket)
{
    LimitedStream stream(socket, m_limits);
    auto idleSince = std::chrono::steady_clock::now();
    while (is_running()) {
        if (!stream.waitForRequest(idlePollInterval)) {
            const bool idleTooLong = std::chrono::steady_clock::now() - idleSince > idleTimeout;
            if (idleTooLong || isClosedByPeer(socket))
                return;
            continue;
        }
        bool closed = false;
        closeAfterResponse = false;
        const bool processed = process_request(stream, false, closed, nullptr);
        if (!processed || closed || closeAfterResponse || stream.hasExceededLimit())
            return;
        idleSince = std::chrono::steady_clock::now();
    }
}

} // namespace quetzalyoke::internal
