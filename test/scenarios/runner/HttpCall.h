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

/// \brief What a caller sends.
struct HttpRequest
{
    Address address;
    std::string method;
    std::string path;
    httplib::Headers headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};
};

/// \brief How much of the body had arrived at a moment.
struct Arrival
{
    std::chrono::steady_clock::time_point time;
    std::size_t bodyBytes = 0;
};

/// \brief What the caller has received so far.
struct HttpResponse
{
    bool finished = false;
    bool complete = false; ///< The protocol marked the body's end.
    int status = 0;
    httplib::Headers headers;
    std::string body;
    std::vector<Arrival> arrivals;
    std::string error; ///< Empty where whole.
    std::chrono::milliseconds duration{0};
};

/// A client that keeps its connection open from call to call.
std::unique_ptr<httplib::Client> makeClient(const Address &address);

/// \brief One request in the background.
class HttpCall
{
public:
    /// Sends \a question by \a client, or by a client of its own where that is null.
    explicit HttpCall(HttpRequest question, httplib::Client *client = nullptr);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    HttpResponse response() const;
    HttpResponse waitForResponse();
    /// Hangs up.
    void abandon() { m_abandoned = true; }

private:
    void run(httplib::Client &client);

    HttpRequest m_question;
    std::atomic<bool> m_abandoned{false};
    mutable std::mutex m_mutex; // of m_answer
    HttpResponse m_response;
    std::unique_ptr<httplib::Client> m_client;
    std::thread m_thread;
};

} // namespace quetzalyoke::scenarios

#endif
