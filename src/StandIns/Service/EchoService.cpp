#include "StandIns/Service/EchoService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace quetzalyoke::standins {

namespace {

constexpr int crashExitStatus = 70;

std::string runLogEntry(const httplib::Request &req)
{
    nlohmann::json entry{{"request", req.get_header_value("X-Request-Id")},
                         {"method", req.method},
                         {"target", req.target},
                         {"body", req.body},
                         {"headers", nlohmann::json::object()}};
    for (const auto &[name, value] : req.headers)
        entry["headers"][name] = value;
    return entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Announces the full length, but closes the connection after limit bytes.
void sendTruncated(httplib::Response &res, const std::string &text, std::size_t limit)
{
    res.set_content_provider(text.size(), "application/json",
                             [text, limit](size_t offset, size_t, httplib::DataSink &sink) {
                                 if (offset >= limit)
                                     return false;
                                 const auto n = std::min(limit, text.size()) - offset;
                                 return sink.write(text.data() + offset, n);
                             });
}

} // namespace

void EchoService::addRoutes(httplib::Server &server)
{
    server.Get("/record", [this](const auto &, auto &res) { sendRunLog(res); });
    const auto echo = [this](const auto &req, auto &res) { run(req, res); };
    server.Get(".*", echo);
    server.Post(".*", echo);
    server.Put(".*", echo);
    server.Patch(".*", echo);
    server.Delete(".*", echo);
}

void EchoService::run(const httplib::Request &req, httplib::Response &res)
{
    const std::string text = runLogEntry(req);
    {
        const std::lock_guard lock(m_mutex);
        m_runLog += text + "\n";
    }
    if (req.get_header_value("X-Crash") == "yes")
        std::_Exit(crashExitStatus);
    if (req.has_param("sleep_ms")) {
        const int millis = std::stoi(req.get_param_value("sleep_ms"));
        std::this_thread::sleep_for(std::chrono::milliseconds(millis));
    }
    res.status = req.method == "POST" ? 201 : 200;
    res.set_header("X-Service", "echo");
    if (req.has_param("cut_bytes"))
        return sendTruncated(res, text, std::stoul(req.get_param_value("cut_bytes")));
    res.set_content(text, "application/json");
}

void EchoService::sendRunLog(httplib::Response &res)
{
    const std::lock_guard lock(m_mutex);
    res.set_content(m_runLog, "application/x-ndjson");
}

} // namespace quetzalyoke::standins
