#ifndef QUETZALYOKE_SCENARIOS_HTTPCALL_H
#define QUETZALYOKE_SCENARIOS_HTTPCALL_H

#include "Adapters/Address.h"

#include <httplib.h>

#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace quetzalyoke::scenarios {

/// \brief A request that a caller sends.
struct HttpRequest
{
    Address address;
    std::string method;
    std::string path;
    httplib::Headers headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};
};

/// \brief Number of body bytes that had arrived at a point in time.
struct Arrival
{
    std::chrono::steady_clock::time_point time;
    std::size_t bodyBytes = 0;
};

/// \brief The part of a response that has been received so far.
struct HttpResponse
{
    bool finished = false;
    bool complete = false; ///< The body was received up to its end.
    int status = 0;
    httplib::Headers headers;
    std::string body;
    std::vector<Arrival> arrivals;
    std::string error; ///< Empty if the response is complete.
    std::chrono::milliseconds duration{0};
};

/// A client that keeps its connection open between calls.
std::unique_ptr<httplib::Client> makeClient(const Address &address);

/// \brief One request that runs in the background.
class HttpCall
{
public:
    /// Sends \a request through \a client, or through a client of its own if that is null.
    explicit HttpCall(HttpRequest request, httplib::Client *client = nullptr);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    HttpResponse response() const;
    HttpResponse waitForResponse();
    /// Closes the connection.
    void abandon() { m_abandoned = true; }

private:
    void run(httplib::Client &client);

    HttpRequest m_request;
    std::atomic<bool> m_abandoned{false};
    mutable std::mutex m_mutex; // guards m_response
    HttpResponse m_response;
    std::unique_ptr<httplib::Client> m_client;
    std::thread m_thread;
};

} // namespace quetzalyoke::scenarios

#endif
