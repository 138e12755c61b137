#include "Adapters/WireConversion.h"

#include <chrono>

namespace quetzalyoke {

namespace {

constexpr std::int64_t unknownAge = -1;

std::int64_t millisFrom(const std::optional<Duration> &age)
{
    return age ? std::chrono::ceil<std::chrono::milliseconds>(*age).count() : unknownAge;
}

std::optional<Duration> ageFrom(std::int64_t millis)
{
    if (millis < 0)
        return std::nullopt;
    return std::chrono::milliseconds(millis);
}

} // namespace

wire::PeerDigest toWire(const PeerStatus &status)
{
    wire::PeerDigest digest;
    digest.instance = status.instance.text();
    digest.incarnation = status.incarnation.count();
    digest.stateVersion = status.stateVersion.count();
    digest.inForceVersion = status.appliedVersion.count();
    digest.tableReadAgeMillis = millisFrom(status.tableReadAge);
    digest.memberAgeMillis = millisFrom(status.heartbeatAge);
    digest.leaving = status.hasLeft;
    for (const AccountWorkload &it : status.demands) {
        wire::AccountDemand demand;
        demand.account = it.account.text();
        demand.weight = it.weight.count();
        demand.demand = it.demand.count();
        demand.level = it.level.count();
        digest.demands.push_back(demand);
    }
    return digest;
}

PeerStatus fromWire(const wire::PeerDigest &digest)
{
    PeerStatus status;
    status.instance = InstanceId(digest.instance);
    status.incarnation = Incarnation(digest.incarnation);
    status.stateVersion = Version(digest.stateVersion);
    status.appliedVersion = Version(digest.inForceVersion);
    status.tableReadAge = ageFrom(digest.tableReadAgeMillis);
    status.heartbeatAge = ageFrom(digest.memberAgeMillis);
    status.hasLeft = digest.leaving;
    for (const wire::AccountDemand &it : digest.demands) {
        status.demands.push_back({AccountId(it.account), ShareWeight(it.weight),
                                  TokensPerSecond(it.demand), Tokens(it.level)});
    }
    return status;
}

std::vector<wire::StateRow> toWire(const std::vector<StateRow> &rows)
{
    std::vector<wire::StateRow> converted;
    for (const StateRow &it : rows) {
        wire::StateRow row;
        row.key = it.key;
        row.value = it.value;
        row.version = it.version.count();
        converted.push_back(row);
    }
    return converted;
}

std::vector<StateRow> fromWire(const std::vector<wire::StateRow> &rows)
{
    std::vector<StateRow> converted;
    for (const wire::StateRow &it : rows)
        converted.push_back({it.key, it.value, Version(it.version)});
    return converted;
}

AgentStatus fromWire(const wire::AgentReport &report)
{
    AgentStatus status;
    status.instance = InstanceId(report.instance);
    status.incarnation = Incarnation(report.incarnation);
    status.sequence = report.sequence;
    status.zone = ZoneName(report.zone);
    status.address = report.address;
    status.server = ServerName(report.serverName);
    status.isEngine = report.backendKind == "engine";
    status.queued = report.queued;
    status.running = report.running;
    status.capacity = report.capacity;
    status.draining = report.draining || report.backendDown;
    for (const wire::ModelState &it : report.models) {
        if (it.ready)
            status.availableTargets.insert(it.name);
    }
    return status;
}

} // namespace quetzalyoke
