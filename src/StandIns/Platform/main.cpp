#include "StandIns/Platform/PlatformApi.h"
#include "StandIns/StandInMain.h"

using namespace quetzalyoke;

int main(int argc, char **argv)
{
    standins::StandInSettings settings;
    standins::PlatformSettings platformSettings;
    const auto readSettings = [&](const IniDocument &document, Problems &problems) {
        for (const IniSection &it : document.sections()) {
            IniSectionReader reader(document.file(), it, problems);
            settings = standins::StandInSettings::read(reader);
            platformSettings = standins::PlatformSettings::read(reader);
            reader.reportUnexpectedEntries();
        }
    };
    return Process::run(argc, argv, "quetzalyoke-standin-platform", readSettings, [&] {
        HttpServerLimits limits;
        limits.connections = settings.connections;
        HttpServer server(limits);
        standins::PlatformApi api(platformSettings);
        api.addRoutes(server.routes());
        return standins::serveUntilStopped(server, settings);
    });
}
