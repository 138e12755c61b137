#include "StandIns/Engine/EngineApi.h"
#include "StandIns/StandInMain.h"

using namespace quetzalyoke;

int main(int argc, char **argv)
{
    standins::StandInSettings settings;
    standins::EngineSettings engineSettings;
    const auto readSettings = [&](const IniDocument &document, Problems &problems) {
        for (const IniSection &it : document.sections()) {
            IniSectionReader reader(document.file(), it, problems);
            settings = standins::StandInSettings::read(reader);
            engineSettings = standins::EngineSettings::read(reader);
            reader.reportUnexpectedEntries();
        }
    };
    return Process::run(argc, argv, "quetzalyoke-standin-engine", readSettings, [&] {
        HttpServerLimits limits;
        limits.connections = settings.connections;
        HttpServer server(limits);
        standins::EngineApi engine(engineSettings);
        engine.addRoutes(server.routes());
        return standins::serveUntilStopped(server, settings);
    });
}
