#include "StandIns/StandInMain.h"

#include <nlohmann/json.hpp>

#include <mutex>

using namespace quetzalyoke;

namespace {

// Echoes each call and keeps a record of what ran.
class EchoService
{
public:
    void addRoutes(httplib::Server &server)
    {
        server.Get("/record", [this](const auto &, auto &res) { showRecord(res); });
        const auto echo = [this](const auto &req, auto &res) { run(req, res); };
        server.Get(".*", echo);
        server.Post(".*", echo);
        server.Put(".*", echo);
        server.Patch(".*", echo);
        server.Delete(".*", echo);
    }

private:
    void run(const httplib::Request &req, httplib::Response &res)
    {
        nlohmann::json entry{{"request", req.get_header_value("X-Request-Id")},
                             {"method", req.method},
                             {"target", req.target},
                             {"body", req.body},
                             {"headers", nlohmann::json::object()}};
        for (const auto &[name, value] : req.headers)
            entry["headers"][name] = value;
        const std::string text
            = entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        {
            const std::lock_guard lock(m_mutex);
            m_record += text + "\n";
        }
        if (req.has_param("sleep_ms"))
            std::this_thread::sleep_for(
                std::chrono::milliseconds(std::stoi(req.get_param_value("sleep_ms"))));
        res.status = req.method == "POST" ? 201 : 200;
        res.set_header("X-Service", "echo");
        res.set_content(text, "application/json");
    }

    void showRecord(httplib::Response &res)
    {
        const std::lock_guard lock(m_mutex);
        res.set_content(m_record, "application/x-ndjson");
    }

    std::mutex m_mutex;
    std::string m_record;
};

} // namespace

int main(int argc, char **argv)
{
    standins::StandInSettings settings;
    const auto readSettings = [&settings](const IniDocument &document, Problems &problems) {
        for (const IniSection &it : document.sections()) {
            EntryReader reader(document.file(), it, problems);
            settings = standins::StandInSettings::read(reader);
            reader.finish();
        }
    };
    return Process::run(argc, argv, "quetzalyoke-standin-service", readSettings, [&settings] {
        HttpServerLimits limits;
        limits.connections = settings.connections;
        HttpServer server(limits);
        EchoService service;
        service.addRoutes(server.routes());
        return standins::serveUntilStopped(server, settings);
    });
}
