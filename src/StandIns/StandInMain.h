#ifndef QUETZALYOKE_STANDINS_STANDINMAIN_H
#define QUETZALYOKE_STANDINS_STANDINMAIN_H

#include "Adapters/HttpServer.h"
#include "Adapters/Process.h"
#include "Adapters/ReadyFile.h"

#include <string>

namespace quetzalyoke::standins {

/// \brief Settings that every stand-in reads from its `[standin]` section.
struct StandInSettings
{
    Address listen;
    std::string readyFile;
    int connections = 0;

    static StandInSettings read(IniSectionReader &reader);
};

/// Listens, writes the ready file and serves until a stop is requested. Returns the exit status.
int serveUntilStopped(HttpServer &server, const StandInSettings &settings);

} // namespace quetzalyoke::standins

#endif
