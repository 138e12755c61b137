#include "StandIns/StandInMain.h"

namespace quetzalyoke::standins {

namespace {

constexpr int defaultConnections = 256;
constexpr int maximumConnections = 4096;

} // namespace

StandInSettings StandInSettings::read(IniSectionReader &reader)
{
    StandInSettings settings;
    settings.listen = Address::parse(reader.text("listen", "127.0.0.1:0"));
    settings.readyFile = reader.text("ready_file", "");
    settings.connections
        = static_cast<int>(reader.number("connections", 1, maximumConnections, defaultConnections));
    return settings;
}

int serveUntilStopped(HttpServer &server, const StandInSettings &settings)
{
    server.listen(settings.listen);
    writeReadyFile(settings.readyFile,
                   {{"http", settings.listen.host + ":" + std::to_string(server.port())}});
    while (!Process::waitForStop(std::chrono::seconds(1)))
        continue;
    server.stop();
    return 0;
}

} // namespace quetzalyoke::standins
