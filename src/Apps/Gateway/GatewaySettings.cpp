#include "Apps/Gateway/GatewaySettings.h"

#include "Adapters/SettingsValues.h"

namespace quetzalyoke {

namespace {

constexpr std::int64_t mebibyte = 1'048'576;
constexpr int freshnessPerMargin = 6;
constexpr int heartbeatsPerSilence = 3;

// Mistakes that only show in two settings together.
void checkTogether(const GatewaySettings &settings, EntryReader &reader)
{
    if (settings.freshness <= settings.pollInterval) {
        reader.complain("freshness_ms", "freshness_ms is not above poll_interval_ms",
                        "make it several times poll_interval_ms, or keyed traffic is refused "
                        "between two reads of the table");
    }
    if (settings.listen.port != 0 && settings.listen.text() == settings.httpListen.text()) {
        reader.complain("http_listen", "http_listen and listen are the same address",
                        "give each a port of its own");
    }
}

} // namespace

SyncLimits GatewaySettings::syncLimits() const
{
    const Duration margin = freshness / freshnessPerMargin;
    return {freshness, outageTolerance, margin,
            heartbeatsPerSilence * memberInterval + freshness + margin};
}

GatewaySettings GatewaySettings::read(const IniDocument &document, Problems &problems)
{
    GatewaySettings settings;
    readOnlySection(document, "gateway", problems, [&settings](EntryReader &reader) {
        settings.instance = InstanceId(readName(reader, "instance"));
        settings.zone = ZoneName(readName(reader, "zone"));
        settings.httpListen = readAddress(reader, "http_listen");
        settings.listen = readAddress(reader, "listen");
        settings.peers = readAddresses(reader, "peers");
        settings.learnsPeers
            = reader.choice("peer_addresses", {"learned", "settings"}, "learned") == "learned";
        settings.platform = readAddress(reader, "platform_address").text();
        settings.fleetSecret = readSecretFile(reader, "fleet_secret_file");
        settings.operatorSecret = readSecretFile(reader, "operator_secret_file");
        settings.readyFile = reader.text("ready_file", "");
        settings.connections = static_cast<int>(reader.number("connections", 1, 16384, 1024));
        settings.doorConnections
            = static_cast<int>(reader.number("door_connections", 1, 16384, 1024));
        settings.bodyBytes = static_cast<std::size_t>(
            reader.number("body_bytes", 1024, 256 * mebibyte, 8 * mebibyte));
        settings.pollInterval = reader.milliseconds("poll_interval_ms", 10, 60'000, 500);
        settings.instanceListInterval
            = reader.milliseconds("instance_list_interval_ms", 10, 60'000, 1500);
        settings.dynamicPlacement
            = reader.choice("placement_policy", {"dynamic", "static"}, "dynamic") == "dynamic";
        settings.planShards = static_cast<std::size_t>(reader.number("plan_shards", 1, 1024, 1));
        settings.planLoads = static_cast<std::size_t>(reader.number("plan_loads", 0, 1024, 8));
        settings.planLease = reader.milliseconds("plan_lease_ms", 100, 600'000, 5000);
        settings.planInterval = reader.milliseconds("plan_interval_ms", 10, 60'000, 500);
        settings.platformTimeout = reader.milliseconds("platform_timeout_ms", 10, 60'000, 1000);
        settings.freshness = reader.milliseconds("freshness_ms", 100, 60'000, 3000);
        settings.memberInterval = reader.milliseconds("member_interval_ms", 100, 600'000, 2000);
        settings.outageTolerance
            = reader.milliseconds("outage_tolerance_ms", 1000, 86'400'000, 900'000);
        const std::string policy
            = reader.choice("share_policy", {"demand", "static"}, std::string("demand"));
        settings.sharePolicy = policy == "static" ? SharePolicy::Static : SharePolicy::Demand;
        settings.agentSilence = reader.milliseconds("agent_silence_ms", 100, 600'000, 3000);
        settings.defaultDeadline
            = reader.milliseconds("default_deadline_ms", 100, 3'600'000, 60'000);
        settings.stopGrace = reader.milliseconds("stop_grace_ms", 0, 600'000, 2000);
        settings.drainLimit = reader.milliseconds("drain_limit_ms", 0, 3'600'000, 120'000);
        settings.routingPolicy = reader.choice(
            "routing_policy", {"random", "round_robin", "least_loaded", "power_of_two", "affinity"},
            settings.routingPolicy);
        checkTogether(settings, reader);
    });
    return settings;
}

} // namespace quetzalyoke
