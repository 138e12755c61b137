#include "StandIns/Service/EchoService.h"
#include "StandIns/StandInMain.h"

using namespace quetzalyoke;

int main(int argc, char **argv)
{
    standins::StandInSettings settings;
    const auto readSettings = [&settings](const IniDocument &document, Problems &problems) {
        for (const IniSection &it : document.sections()) {
            IniSectionReader reader(document.file(), it, problems);
            settings = standins::StandInSettings::read(reader);
            reader.reportUnexpectedEntries();
        }
    };
    return Process::run(argc, argv, "quetzalyoke-standin-service", readSettings, [&settings] {
        HttpServerLimits limits;
        limits.connections = settings.connections;
        HttpServer server(limits);
        standins::EchoService service;
        service.addRoutes(server.routes());
        return standins::serveUntilStopped(server, settings);
    });
}
