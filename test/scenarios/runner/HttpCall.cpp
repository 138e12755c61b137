#include "HttpCall.h"

namespace quetzalyoke::scenarios {

using Clock = std::chrono::steady_clock;

std::unique_ptr<httplib::Client> makeClient(const Address &address)
{
    auto client = std::make_unique<httplib::Client>(address.host, address.port);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    return client;
}

HttpCall::HttpCall(HttpRequest request, httplib::Client *client) : m_request(std::move(request))
{
    if (!client) {
        m_client = makeClient(m_request.address);
        client = m_client.get();
    }
    m_thread = std::thread([this, client] { run(*client); });
}

HttpCall::~HttpCall()
{
    abandon();
    if (m_client)
        m_client->stop();
    if (m_thread.joinable())
        m_thread.join();
}

HttpResponse HttpCall::response() const
{
    const std::lock_guard lock(m_mutex);
    return m_response;
}

HttpResponse HttpCall::waitForResponse()
{
    if (m_thread.joinable())
        m_thread.join();
    return response();
}

void HttpCall::run(httplib::Client &client)
{
    client.set_connection_timeout(m_request.timeout);
    client.set_read_timeout(m_request.timeout);
    client.set_write_timeout(m_request.timeout);
    httplib::Request req;
    req.method = m_request.method;
    req.path = m_request.path;
    req.headers = m_request.headers;
    req.body = m_request.body;
    req.response_handler = [this](const httplib::Response &res) {
        const std::lock_guard lock(m_mutex);
        m_response.status = res.status;
        m_response.headers = res.headers;
        return !m_abandoned;
    };
    req.content_receiver = [this](const char *data, size_t n, uint64_t, uint64_t) {
        const std::lock_guard lock(m_mutex);
        m_response.body.append(data, n);
        m_response.arrivals.push_back({Clock::now(), m_response.body.size()});
        return !m_abandoned;
    };
    const auto started = Clock::now();
    const httplib::Result result = client.send(req);
    const std::lock_guard lock(m_mutex);
    m_response.finished = true;
    m_response.complete = static_cast<bool>(result);
    m_response.error = result ? "" : httplib::to_string(result.error());
    m_response.duration
        = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started);
}

} // namespace quetzalyoke::scenarios
