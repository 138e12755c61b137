#include "StandIns/Engine/Engine.h"
#include "StandIns/StandInMain.h"

using namespace quetzalyoke;

int main(int argc, char **argv)
{
    standins::StandInSettings settings;
    standins::EngineSettings engineSettings;
    const auto readSettings = [&](const IniDocument &document, Problems &problems) {
        for (const IniSection &it : document.sections()) {
            EntryReader reader(document.file(), it, problems);
            settings = standins::StandInSettings::read(reader);
            engineSettings.memory = Megabytes(reader.number("memory_mb", 1, 1'000'000, 80'000));
            engineSettings.stepTime = reader.milliseconds("step_ms", 0, 10'000, 5);
            engineSettings.loadTime = reader.milliseconds("load_ms", 0, 600'000, 50);
            engineSettings.adapterLoadTime = reader.milliseconds("adapter_load_ms", 0, 60'000, 7);
            engineSettings.checksFencing = reader.flag("checks_fencing", true);
            reader.finish();
        }
    };
    return Process::run(argc, argv, "quetzalyoke-standin-engine", readSettings, [&] {
        HttpServerLimits limits;
        limits.connections = settings.connections;
        HttpServer server(limits);
        standins::Engine engine(engineSettings);
        engine.addRoutes(server.routes());
        return standins::serveUntilStopped(server, settings);
    });
}
