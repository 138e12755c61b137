#include "Apps/Gateway/StateSync.h"

#include "Adapters/Crypto.h"
#include "Adapters/EventLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Core/Error.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

constexpr int readsPerFreshness = 3; // at least, so that one lost read makes nothing stale

} // namespace

StateSync::StateSync(const GatewaySettings &settings, HttpPlatform &platform, SharedState &state,
                     TextSource fromPeers)
    : m_settings(settings), m_platform(platform), m_state(state), m_fromPeers(std::move(fromPeers))
{
    m_thread = std::thread([this] { work(); });
}

StateSync::~StateSync()
{
    stop();
}

void StateSync::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void StateSync::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_wanted = true;
    }
    m_changed.notify_all();
}

void StateSync::work()
{
    const auto interval
        = std::min(m_settings.pollInterval, m_settings.freshness / readsPerFreshness);
    bool reachable = true;
    while (true) {
        const bool succeeded = readTable();
        if (succeeded != reachable) {
            EventLog::record(succeeded ? EventKind::TableReached : EventKind::TableLost);
            LOG(WARNING) << (succeeded ? "event=table_reached" : "event=table_lost");
        }
        reachable = succeeded;
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, interval, [this] { return m_wanted || m_stopping; });
        m_wanted = false;
        if (m_stopping)
            return;
    }
}

// Without the table, other gateways may still have told of a newer configuration.
bool StateSync::readTable()
{
    try {
        refresh();
        return true;
    } catch (const std::exception &) {
        Metrics::count("table_reads_failed_total");
    }
    try {
        const std::lock_guard lock(m_refreshMutex);
        loadConfiguration();
    } catch (const std::exception &) {
        Metrics::count("configuration_loads_failed_total");
    }
    return false;
}

void StateSync::refresh()
{
    const std::lock_guard lock(m_refreshMutex);
    const Instant startedAt = Process::now();
    std::vector<StateRow> rows;
    for (const TableRow &it : m_platform.scan(StateCache::prefix, m_state.version()))
        rows.push_back({it.key, it.value, it.version});
    const Instant now = Process::now();
    m_state.update(now, [&](GatewaySync &sync) { sync.onTableRead(rows, startedAt, now); });
    loadConfiguration();
}

std::optional<std::string> StateSync::textOf(const ConfigurationPointer &pointer, Version version)
{
    try {
        const auto text = m_platform.get(pointer.object);
        if (text)
            return text;
    } catch (const Error &) {
        Metrics::count("object_reads_failed_total");
    }
    const auto text = m_fromPeers ? m_fromPeers(version) : std::nullopt;
    if (text && pointer.object.ends_with(sha256Hex(*text)))
        return text;
    return std::nullopt;
}

void StateSync::loadConfiguration()
{
    Version version;
    const ConfigurationPointer pointer = m_state.newestConfiguration(version);
    const auto current = m_state.configuration();
    if (version == Version() || (current && current->version >= version))
        return;
    const auto text = textOf(pointer, version);
    if (!text) {
        throw Error(ErrorKind::PlatformUnavailable,
                    "neither the object store nor another gateway gave " + pointer.object
                        + "; check the platform, or apply the service list again");
    }
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    configuration->text = *text;
    Problems problems;
    configuration->list = ServiceList::parse(*text, pointer.object, problems);
    configuration->plan = FloorPlan::compute(configuration->list);
    m_state.setConfiguration(configuration, Process::now());
    Metrics::gauge("configuration_version", static_cast<double>(version.count()));
    EventLog::record(EventKind::ConfigurationInForce, {},
                     "version=" + std::to_string(version.count()));
    LOG(INFO) << "event=configuration_in_force version=" << version.count();
}

} // namespace quetzalyoke
