#include "Apps/Agent/AgentSettings.h"

#include "Adapters/SettingsValues.h"

namespace quetzalyoke {

namespace {

constexpr std::int64_t mebibyte = 1'048'576;

// A predecessor orders for as long as its authority lasts, and its last order takes effect
// within the order timeout.
std::int64_t defaultWait(const AgentSettings &settings)
{
    return (settings.orderTimeout + settings.orderAuthority).count();
}

} // namespace

AgentSettings AgentSettings::read(const IniDocument &document, Problems &problems)
{
    AgentSettings settings;
    bool found = false;
    for (const IniSection &it : document.sections()) {
        if (it.kind != "agent") {
            problems.push_back({document.file(), it.line, "unknown section [" + it.kind + "]",
                                "put all settings below [agent]"});
            continue;
        }
        found = true;
        EntryReader reader(document.file(), it, problems);
        settings.instance = InstanceId(reader.text("instance"));
        settings.server = ServerName(reader.text("server"));
        settings.zone = ZoneName(reader.text("zone"));
        settings.listen = readAddress(reader, "listen");
        settings.advertise = reader.text("advertise", "");
        settings.httpListen = readAddress(reader, "http_listen");
        settings.backend = readAddress(reader, "backend");
        settings.engine = reader.choice("backend_kind", {"engine", "service"}) == "engine";
        settings.memory = Megabytes(reader.number("memory_mb", 0, 100'000'000, 0));
        settings.gateways = readAddresses(reader, "gateways");
        settings.fleetSecret = readSecretFile(reader, "fleet_secret_file");
        settings.readyFile = reader.text("ready_file", "");
        settings.concurrency = static_cast<int>(reader.number("concurrency", 1, 4096, 64));
        settings.queueLength = static_cast<int>(reader.number("queue_length", 0, 65536, 1024));
        settings.queuePolicy = reader.choice("queue_policy", {"fifo", "fair"}, "fair");
        settings.connections = static_cast<int>(reader.number("connections", 1, 16384, 1024));
        settings.bufferBytes = static_cast<std::size_t>(
            reader.number("buffer_bytes", 1024, 64 * mebibyte, mebibyte));
        settings.reportInterval = reader.milliseconds("report_interval_ms", 10, 60'000, 500);
        settings.engineInterval = reader.milliseconds("engine_interval_ms", 10, 60'000, 200);
        settings.orderTimeout = reader.milliseconds("order_timeout_ms", 100, 3'600'000, 30'000);
        settings.orderAuthority = reader.milliseconds("order_authority_ms", 100, 600'000, 10'000);
        settings.predecessorWait
            = reader.milliseconds("predecessor_wait_ms", 0, 7'200'000, defaultWait(settings));
        if (settings.predecessorWait < settings.orderTimeout + settings.orderAuthority) {
            problems.push_back({document.file(), it.line,
                                "predecessor_wait_ms is too short for a predecessor's last order",
                                "make it at least order_timeout_ms + order_authority_ms"});
        }
        settings.backendTimeout = reader.milliseconds("backend_timeout_ms", 100, 3'600'000, 60'000);
        settings.keepFinished = reader.milliseconds("keep_finished_ms", 1000, 3'600'000, 60'000);
        settings.drainLimit = reader.milliseconds("drain_limit_ms", 0, 3'600'000, 120'000);
        reader.finish();
    }
    if (!found) {
        problems.push_back(
            {document.file(), 0, "no [agent] section", "start the file with a line [agent]"});
    }
    return settings;
}

} // namespace quetzalyoke
