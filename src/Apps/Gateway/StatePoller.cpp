#include "Apps/Gateway/StatePoller.h"

#include "Adapters/Crypto.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Core/Error.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

constexpr int readsPerFreshness
    = 3; // minimum, so that one failed read doesn't make the state stale

} // namespace

StatePoller::StatePoller(const GatewaySettings &settings, HttpPlatformClient &platform,
                         GatewayState &state, ConfigurationTextSource fromPeers)
    : m_settings(settings), m_platform(platform), m_state(state),
      m_textFromPeers(std::move(fromPeers))
{
    m_thread = std::thread([this] { pollLoop(); });
}

StatePoller::~StatePoller()
{
    stop();
}

void StatePoller::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void StatePoller::pollNow()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isPollRequested = true;
    }
    m_changed.notify_all();
}

void StatePoller::pollLoop()
{
    const auto interval
        = std::min(m_settings.tablePollInterval, m_settings.freshness / readsPerFreshness);
    bool reachable = true;
    while (true) {
        const bool succeeded = readTable();
        if (succeeded != reachable) {
            ProcessTimeline::record(succeeded ? TimelineEventKind::TableReached
                                              : TimelineEventKind::TableLost);
            LOG(WARNING) << (succeeded ? "event=table_reached" : "event=table_lost");
        }
        reachable = succeeded;
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, interval, [this] { return m_isPollRequested || m_stopping; });
        m_isPollRequested = false;
        if (m_stopping)
            return;
    }
}

// If the table can't be read, a peer may still have reported a newer configuration.
bool StatePoller::readTable()
{
    try {
        refresh();
        return true;
    } catch (const std::exception &) {
        Metrics::incrementCounter("table_reads_failed_total");
    }
    try {
        const std::lock_guard lock(m_refreshMutex);
        loadConfiguration();
    } catch (const std::exception &) {
        Metrics::incrementCounter("configuration_loads_failed_total");
    }
    return false;
}

void StatePoller::refresh()
{
    const std::lock_guard lock(m_refreshMutex);
    const Instant startedAt = Process::now();
    std::vector<StateRow> rows;
    for (const TableRow &it : m_platform.scan(StateCache::rowKeyPrefix, m_state.version()))
        rows.push_back({it.key, it.value, it.version});
    const Instant now = Process::now();
    m_state.update(now, [&](ClusterView &cluster) { cluster.onTableRead(rows, startedAt, now); });
    loadConfiguration();
}

std::optional<std::string> StatePoller::fetchConfigurationText(const ConfigurationRow &pointer,
                                                               Version version)
{
    try {
        const auto text = m_platform.get(pointer.objectName);
        if (text)
            return text;
    } catch (const Error &) {
        Metrics::incrementCounter("object_reads_failed_total");
    }
    const auto text = m_textFromPeers ? m_textFromPeers(version) : std::nullopt;
    if (text && pointer.objectName.ends_with(sha256Hex(*text)))
        return text;
    return std::nullopt;
}

void StatePoller::loadConfiguration()
{
    Version version;
    const ConfigurationRow pointer = m_state.newestConfigurationRow(version);
    const auto current = m_state.configuration();
    if (version == Version() || (current && current->version >= version))
        return;
    const auto text = fetchConfigurationText(pointer, version);
    if (!text) {
        throw Error(ErrorKind::PlatformUnavailable,
                    "neither the object store nor another gateway has " + pointer.objectName
                        + "; check the platform, or apply the service list again");
    }
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    configuration->text = *text;
    Problems problems;
    configuration->serviceList = ServiceList::parse(*text, pointer.objectName, problems);
    configuration->minimumPlacement = MinimumPlacement::compute(configuration->serviceList);
    m_state.setConfiguration(configuration, Process::now());
    Metrics::setGauge("configuration_version", static_cast<double>(version.count()));
    ProcessTimeline::record(TimelineEventKind::ConfigurationInForce, {},
                            "version=" + std::to_string(version.count()));
    LOG(INFO) << "event=configuration_in_force version=" << version.count();
}

} // namespace quetzalyoke
