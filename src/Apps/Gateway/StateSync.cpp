#include "Apps/Gateway/StateSync.h"

#include "Adapters/EventLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Core/Error.h"

#include <glog/logging.h>

namespace quetzalyoke {

StateSync::StateSync(const GatewaySettings &settings, HttpPlatform &platform, SharedState &state)
    : m_settings(settings), m_platform(platform), m_state(state)
{
    m_thread = std::thread([this] { work(); });
}

StateSync::~StateSync()
{
    stop();
}

void StateSync::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void StateSync::work()
{
    bool reachable = true;
    while (!m_stopping) {
        bool succeeded = false;
        try {
            refresh();
            succeeded = true;
        } catch (const std::exception &e) {
            Metrics::count("table_reads_failed_total");
            if (reachable) {
                EventLog::record(EventKind::TableLost, {}, e.what());
                LOG(WARNING) << "event=table_lost reason=\"" << e.what() << '"';
            }
        }
        if (succeeded && !reachable) {
            EventLog::record(EventKind::TableReached);
            LOG(INFO) << "event=table_reached";
        }
        reachable = succeeded;
        std::this_thread::sleep_for(m_settings.pollInterval);
    }
}

void StateSync::refresh()
{
    const std::lock_guard lock(m_refreshMutex);
    const Instant readAt = Process::now();
    std::vector<StateRow> rows;
    for (const TableRow &it : m_platform.scan(StateCache::prefix, m_readVersion)) {
        rows.push_back({it.key, it.value, it.version});
        m_readVersion = std::max(m_readVersion, it.version);
    }
    m_state.apply(rows, readAt);
    loadConfiguration();
}

void StateSync::loadConfiguration()
{
    Version version;
    const ConfigurationPointer pointer = m_state.newestConfiguration(version);
    const auto current = m_state.configuration();
    if (version == Version() || (current && current->version >= version))
        return;
    const auto text = m_platform.get(pointer.object);
    if (!text) {
        throw Error(ErrorKind::BadAnswer,
                    "the object store has no " + pointer.object + "; apply the service list again");
    }
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    configuration->text = *text;
    Problems problems;
    configuration->list = ServiceList::parse(*text, pointer.object, problems);
    configuration->plan = FloorPlan::compute(configuration->list);
    m_state.setConfiguration(configuration);
    Metrics::gauge("configuration_version", static_cast<double>(version.count()));
    EventLog::record(EventKind::ConfigurationInForce, {},
                     "version=" + std::to_string(version.count()));
    LOG(INFO) << "event=configuration_in_force version=" << version.count();
}

} // namespace quetzalyoke
