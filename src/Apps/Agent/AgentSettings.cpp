#include "Apps/Agent/AgentSettings.h"

#include "Adapters/SettingsValues.h"

namespace quetzalyoke {

namespace {

constexpr std::int64_t mebibyte = 1'048'576;

// A predecessor may issue orders as long as its fencing grant is valid, and its last order takes
// effect within the order timeout.
std::int64_t defaultPredecessorWait(const AgentSettings &settings)
{
    return (settings.orderTimeout + settings.fencingGrantValidity).count();
}

// Checks rules that involve more than one setting.
void checkCombinations(const AgentSettings &settings, IniSectionReader &reader)
{
    if (settings.predecessorWait < settings.orderTimeout + settings.fencingGrantValidity) {
        reader.addProblem(
            "predecessor_wait_ms",
            "predecessor_wait_ms is too short: a predecessor's last order may still take effect",
            "set it to at least order_timeout_ms + order_authority_ms");
    }
    if (settings.isEngine && settings.acceleratorMemory == Megabytes(0)) {
        reader.addProblem("memory_mb", "an engine needs memory_mb",
                          "set it to the accelerator memory in MB, as in the service list");
    }
    if (settings.thriftListen.port != 0
        && settings.thriftListen.text() == settings.httpListen.text()) {
        reader.addProblem("http_listen", "http_listen and listen are the same address",
                          "use a separate port for each");
    }
}

} // namespace

AgentSettings AgentSettings::read(const IniDocument &document, Problems &problems)
{
    AgentSettings settings;
    readSingleSection(document, "agent", problems, [&settings](IniSectionReader &reader) {
        settings.instance = InstanceId(readName(reader, "instance"));
        settings.server = ServerName(readName(reader, "server"));
        settings.zone = ZoneName(readName(reader, "zone"));
        settings.thriftListen = readAddress(reader, "listen");
        settings.advertisedAddress = reader.text("advertise", "");
        settings.httpListen = readAddress(reader, "http_listen");
        settings.backend = readAddress(reader, "backend");
        settings.isEngine = reader.choice("backend_kind", {"engine", "service"}) == "engine";
        settings.acceleratorMemory = Megabytes(reader.number("memory_mb", 0, 100'000'000, 0));
        settings.gateways = readAddresses(reader, "gateways");
        settings.learnsGateways
            = reader.choice("gateway_addresses", {"learned", "settings"}, "learned") == "learned";
        settings.fleetSecret = readSecretFile(reader, "fleet_secret_file");
        settings.readyFile = reader.text("ready_file", "");
        settings.concurrency = static_cast<int>(reader.number("concurrency", 1, 4096, 64));
        settings.queueLength = static_cast<int>(reader.number("queue_length", 0, 65536, 1024));
        settings.queuePolicy = reader.choice("queue_policy", {"fifo", "fair"}, "fair");
        settings.maxConnections = static_cast<int>(reader.number("connections", 1, 16384, 1024));
        settings.bufferBytes = static_cast<std::size_t>(
            reader.number("buffer_bytes", 1024, 64 * mebibyte, mebibyte));
        settings.reportInterval = reader.milliseconds("report_interval_ms", 10, 60'000, 500);
        settings.enginePollInterval = reader.milliseconds("engine_interval_ms", 10, 60'000, 200);
        settings.maxReportStaleness = reader.milliseconds("report_lag_ms", 0, 60'000, 500);
        settings.orderResponseTimeout = reader.milliseconds("order_answer_ms", 10, 3'600'000, 3000);
        settings.orderTimeout = reader.milliseconds("order_timeout_ms", 100, 3'600'000, 30'000);
        settings.fencingGrantValidity
            = reader.milliseconds("order_authority_ms", 100, 600'000, 10'000);
        settings.predecessorWait = reader.milliseconds("predecessor_wait_ms", 0, 7'200'000,
                                                       defaultPredecessorWait(settings));
        settings.backendTimeout = reader.milliseconds("backend_timeout_ms", 100, 3'600'000, 60'000);
        settings.finishedRetention
            = reader.milliseconds("keep_finished_ms", 1000, 3'600'000, 60'000);
        settings.drainTimeout = reader.milliseconds("drain_limit_ms", 0, 3'600'000, 120'000);
        checkCombinations(settings, reader);
    });
    return settings;
}

} // namespace quetzalyoke
