// Prints how the memory, messages and processor time of the decision modules grow, one value per
// line.
#include "Core/Accounts/AccountShares.h"
#include "Core/Configuration/ServiceList.h"
#include "Core/Placement/MinimumPlacement.h"
#include "Core/Requests/CrashingRequestTracker.h"
#include "Core/Requests/IdempotencyRow.h"
#include "Core/Routing/AgentDirectory.h"
#include "Core/State/ClusterView.h"
#include "Core/State/StateCache.h"
#include "Wire/generated/Gateway.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <string>

using namespace quetzalyoke;

namespace {

constexpr int engineCount = 11'000;
constexpr int modelCount = 1'600;
constexpr int adaptersPerModel = 4;
constexpr int modelsPerEngine = 3;
constexpr int gatewayCount = 470;
constexpr int keyCount = 10'000;
constexpr int accountCount = 1'000;

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void print(const char *name, double value, const char *unit)
{
    std::printf("%-44s %12.3f %s\n", name, value, unit);
}

// Prints the heap memory that \a fill allocates per item, for \a n items.
void printBytes(const char *name, int n, const std::function<void()> &fill)
{
    const std::size_t before = heapBytes();
    fill();
    print(name, static_cast<double>(heapBytes() - before) / n, "bytes");
}

// Prints the time that \a work takes per repetition, for \a n repetitions.
void printTime(const char *name, int n, const std::function<void()> &work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::micro> elapsed
        = std::chrono::steady_clock::now() - start;
    print(name, elapsed.count() / n, "us");
}

std::string serviceListText()
{
    std::string text;
    for (int i = 0; i < engineCount; ++i) {
        text += "[server engine-" + std::to_string(i) + "]\nkind = engine\nzone = zone-"
            + std::to_string(i % 38) + "\nmemory_mb = 320000\nfencing = checked\n";
    }
    for (int i = 0; i < modelCount; ++i) {
        const std::string model = "model-" + std::to_string(i);
        text += "[model " + model + "]\nversion = 1\nmemory_mb = 40000\n";
        for (int j = 0; j < adaptersPerModel; ++j) {
            text += "[adapter adapter-" + std::to_string(i) + "-" + std::to_string(j)
                + "]\nbase = " + model + "\nversion = 1\nmemory_mb = 200\n";
        }
    }
    for (int i = 0; i < accountCount; ++i) {
        text += "[account account-" + std::to_string(i)
            + "]\nrate_tokens_per_s = 10000\nburst_tokens = 40000\n";
    }
    return text;
}

AgentStatus agentStatus(int i, std::int64_t sequence)
{
    AgentStatus status;
    status.instance = InstanceId("agent-engine-" + std::to_string(i));
    status.incarnation = Incarnation(1);
    status.sequence = sequence;
    status.zone = ZoneName("zone-" + std::to_string(i % 38));
    status.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7000";
    status.server = ServerName("engine-" + std::to_string(i));
    status.capacity = 64;
    for (int j = 0; j < modelsPerEngine; ++j) {
        const int model = (i * modelsPerEngine + j) % modelCount;
        status.availableTargets.insert("model-" + std::to_string(model));
    }
    return status;
}

template<typename Message>
double serializedSize(const Message &message)
{
    auto buf = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buf);
    message.write(&protocol);
    return buf->available_read();
}

void measureConfiguration()
{
    const std::string text = serviceListText();
    print("service list at target, text", static_cast<double>(text.size()) / 1024, "KiB");
    Problems problems;
    ServiceList list;
    const int entries = engineCount + modelCount * (1 + adaptersPerModel) + accountCount;
    printBytes("service list, per entry in memory", entries,
               [&] { list = ServiceList::parse(text, "list", problems); });
    printTime("service list read at target, whole", 1,
              [&] { ServiceList::parse(text, "list", problems); });
    printTime("minimum placement at target, whole", 1, [&] { MinimumPlacement::compute(list); });
    AccountShares shares(InstanceId("gateway-1"), Incarnation(1));
    printBytes("client account's share", accountCount,
               [&] { shares.configure(list.accounts, Instant()); });
}

void measureDirectory()
{
    AgentDirectory directory(std::chrono::seconds(3));
    printBytes("agent known to a gateway", engineCount, [&] {
        for (int i = 0; i < engineCount; ++i)
            directory.update(agentStatus(i, 1), Instant());
    });
    std::vector<AgentStatus> reports;
    for (int i = 0; i < engineCount; ++i)
        reports.push_back(agentStatus(i, 2));
    printTime("agent's report applied, same models", engineCount, [&] {
        for (const AgentStatus &it : reports)
            directory.update(it, Instant());
    });
}

void measureState()
{
    StateCache cache;
    printBytes("key known to a gateway", keyCount, [&] {
        for (int i = 0; i < keyCount; ++i) {
            const ApiKeyId id("0123456789" + std::to_string(i));
            const ApiKeyRow record{id, AccountId("account-1"), std::string(64, 'a'), false};
            cache.applyRow({StateCache::apiKeyRowKey(id), record.toJson(), Version(i + 1)});
        }
    });
    const ApiKeyRow record{ApiKeyId("k"), AccountId("account-1"), std::string(64, 'a'), true};
    printTime("state row applied", keyCount, [&] {
        for (int i = 0; i < keyCount; ++i) {
            cache.applyRow(
                {StateCache::apiKeyRowKey(record.id), record.toJson(), Version(keyCount + 1 + i)});
        }
    });
    const ConsistencyTimeouts timeouts{};
    ClusterView cluster(MemberRow{}, timeouts);
    std::vector<StateRow> rows;
    for (int i = 0; i < gatewayCount; ++i) {
        MemberRow row;
        row.instance = InstanceId("gateway-" + std::to_string(i));
        row.incarnation = Incarnation(1);
        row.thriftAddress = "10.0.0." + std::to_string(i) + ":7000";
        row.httpAddress = "10.0.0." + std::to_string(i) + ":8000";
        row.heartbeatCount = 1;
        rows.push_back({MemberRow::rowKey(row.instance), row.toJson(), Version(i + 1)});
    }
    printBytes("gateway known to a gateway", gatewayCount,
               [&] { cluster.onTableRead(rows, Instant(), Instant()); });
    print("gateway's member row", static_cast<double>(rows.front().value.size()), "bytes");
    printTime("cluster status computed", keyCount, [&] {
        for (int i = 0; i < keyCount; ++i)
            cluster.status(Instant());
    });
}

void measureMessages()
{
    wire::AgentReport report;
    report.instance = "agent-engine-10000";
    report.incarnation = 1'700'000'000'000'000;
    report.sequence = 1'000'000;
    report.zone = "zone-38";
    report.address = "10.0.40.250:7000";
    report.backendKind = "engine";
    report.serverName = "engine-10000";
    report.clock.physicalMicros = 1'700'000'000'000'000;
    print("agent's report without models, on the wire", serializedSize(report), "bytes");
    const double sizeWithoutModels = serializedSize(report);
    wire::ModelState state;
    state.name = "model-1000";
    state.version = "1";
    state.ready = true;
    state.memoryMb = 40'000;
    report.models.assign(10, state);
    print("model in a report, on the wire", (serializedSize(report) - sizeWithoutModels) / 10,
          "bytes");
    wire::PeerDigest digest;
    digest.instance = "gateway-470";
    digest.incarnation = report.incarnation;
    digest.stateVersion = 1'000'000;
    digest.clock = report.clock;
    print("exchange between gateways, bare, one way", serializedSize(digest), "bytes");
    IdempotencyRow record;
    record.attempt = AttemptId("gateway-470-0123456789abcdef01234567");
    record.fingerprint = Fingerprint(std::string(64, 'a'));
    print("idempotency row, running", static_cast<double>(record.toJson().size()), "bytes");
}

void measureCrashes()
{
    CrashingRequestTracker tracker{CrashingRequestTracker::Limits()};
    printBytes("suspected request", keyCount, [&] {
        for (int i = 0; i < keyCount; ++i) {
            const Fingerprint fingerprint(std::string(60, 'a') + std::to_string(i));
            tracker.add({fingerprint, {"agent-engine-1/1700000000000000/1"}}, Instant());
        }
    });
}

} // namespace

int main()
{
    measureConfiguration();
    measureDirectory();
    measureState();
    measureMessages();
    measureCrashes();
    return 0;
}
