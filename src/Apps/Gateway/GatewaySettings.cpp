#include "Apps/Gateway/GatewaySettings.h"

#include "Adapters/SettingsValues.h"

namespace quetzalyoke {

namespace {

constexpr std::int64_t mebibyte = 1'048'576;
constexpr int marginsPerFreshness = 6;
constexpr int missedHeartbeatLimit = 3;

// Reports settings that are each valid but contradict each other.
void checkCombinations(const GatewaySettings &settings, IniSectionReader &reader)
{
    if (settings.freshness <= settings.tablePollInterval) {
        reader.addProblem("freshness_ms", "freshness_ms is not above poll_interval_ms",
                          "make it several times poll_interval_ms, or requests with a key are "
                          "refused between two reads of the table");
    }
    if (settings.thriftListen.port != 0
        && settings.thriftListen.text() == settings.httpListen.text()) {
        reader.addProblem("http_listen", "http_listen and listen are the same address",
                          "give each a port of its own");
    }
}

} // namespace

ConsistencyTimeouts GatewaySettings::syncLimits() const
{
    const Duration margin = freshness / marginsPerFreshness;
    return {freshness, outageTolerance, margin,
            missedHeartbeatLimit * heartbeatInterval + freshness + margin};
}

GatewaySettings GatewaySettings::read(const IniDocument &document, Problems &problems)
{
    GatewaySettings settings;
    readSingleSection(document, "gateway", problems, [&settings](IniSectionReader &reader) {
        settings.instance = InstanceId(readName(reader, "instance"));
        settings.zone = ZoneName(readName(reader, "zone"));
        settings.httpListen = readAddress(reader, "http_listen");
        settings.thriftListen = readAddress(reader, "listen");
        settings.peerAddresses = readAddresses(reader, "peers");
        settings.discoversPeers
            = reader.choice("peer_addresses", {"learned", "settings"}, "learned") == "learned";
        settings.platformAddress = readAddress(reader, "platform_address").text();
        settings.fleetSecret = readSecretFile(reader, "fleet_secret_file");
        settings.operatorSecret = readSecretFile(reader, "operator_secret_file");
        settings.readyFile = reader.text("ready_file", "");
        settings.maxCallerConnections
            = static_cast<int>(reader.number("connections", 1, 16384, 1024));
        settings.maxThriftConnections
            = static_cast<int>(reader.number("door_connections", 1, 16384, 1024));
        settings.maxBodyBytes = static_cast<std::size_t>(
            reader.number("body_bytes", 1024, 256 * mebibyte, 8 * mebibyte));
        settings.tablePollInterval = reader.milliseconds("poll_interval_ms", 10, 60'000, 500);
        settings.instanceListInterval
            = reader.milliseconds("instance_list_interval_ms", 10, 60'000, 1500);
        settings.dynamicPlacement
            = reader.choice("placement_policy", {"dynamic", "static"}, "dynamic") == "dynamic";
        settings.planShards = static_cast<std::size_t>(reader.number("plan_shards", 1, 1024, 1));
        settings.maxConcurrentLoads
            = static_cast<std::size_t>(reader.number("plan_loads", 0, 1024, 8));
        settings.planLeaseDuration = reader.milliseconds("plan_lease_ms", 100, 600'000, 5000);
        settings.planInterval = reader.milliseconds("plan_interval_ms", 10, 60'000, 500);
        settings.platformTimeout = reader.milliseconds("platform_timeout_ms", 10, 60'000, 1000);
        settings.freshness = reader.milliseconds("freshness_ms", 100, 60'000, 3000);
        settings.heartbeatInterval = reader.milliseconds("member_interval_ms", 100, 600'000, 2000);
        settings.outageTolerance
            = reader.milliseconds("outage_tolerance_ms", 1000, 86'400'000, 900'000);
        const std::string policy
            = reader.choice("share_policy", {"demand", "static"}, std::string("demand"));
        settings.sharePolicy = policy == "static" ? SharePolicy::Static : SharePolicy::Demand;
        settings.agentSilenceTimeout = reader.milliseconds("agent_silence_ms", 100, 600'000, 3000);
        settings.defaultDeadline
            = reader.milliseconds("default_deadline_ms", 100, 3'600'000, 60'000);
        settings.shutdownDelay = reader.milliseconds("stop_grace_ms", 0, 600'000, 2000);
        settings.drainTimeout = reader.milliseconds("drain_limit_ms", 0, 3'600'000, 120'000);
        settings.routingPolicy = reader.choice(
            "routing_policy", {"random", "round_robin", "least_loaded", "power_of_two", "affinity"},
            settings.routingPolicy);
        checkCombinations(settings, reader);
    });
    return settings;
}

} // namespace quetzalyoke
