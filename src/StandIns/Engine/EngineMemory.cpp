#include "StandIns/Engine/EngineMemory.h"

#include "Adapters/Process.h"

#include <httplib.h>

#include <algorithm>
#include <thread>

namespace quetzalyoke::standins {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusStaleFencingToken = 412;
constexpr int statusWeightStoreFailed = 503;
constexpr int statusOutOfMemory = 507;
constexpr std::chrono::seconds weightStoreTimeout{600};

} // namespace

ReceivedOrder ReceivedOrder::fromJson(const Json &body)
{
    ReceivedOrder order;
    order.isUnload = body.value("order", "") == "unload";
    order.name = body.value("name", "");
    order.version = body.value("version", "");
    order.memory = Megabytes(body.value("memory_mb", std::int64_t(0)));
    order.isAdapter = body.value("adapter", false);
    order.fencingToken = body.value("fencing", std::int64_t(0));
    return order;
}

EngineMemory::EngineMemory(const EngineSettings &settings) : m_settings(settings)
{
    recordHistoryLocked();
}

int EngineMemory::execute(const ReceivedOrder &order)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_settings.checksFencing && order.fencingToken < m_highestFencingToken)
            return statusStaleFencingToken;
        m_highestFencingToken = std::max(m_highestFencingToken, order.fencingToken);
        if (order.isUnload) {
            unloadLocked(order.name);
            return statusOk;
        }
    }
    return load(order);
}

bool EngineMemory::isReady(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_loadedModels.find(name);
    return it != m_loadedModels.end() && it->second.ready;
}

Json EngineMemory::report(std::chrono::microseconds lag) const
{
    const std::lock_guard lock(m_mutex);
    return {{"holdings", m_history.valueAt(Process::now() - lag)},
            {"memory_mb", m_settings.memory.count()},
            {"used_mb", m_used.count()},
            {"peak_mb", m_peak.count()},
            {"overcommitted", m_overcommitted},
            {"fencing", m_highestFencingToken},
            {"model_loads", m_modelLoads},
            {"adapter_loads", m_adapterLoads}};
}

int EngineMemory::load(const ReceivedOrder &order)
{
    int status = statusOk;
    std::int64_t generation = 0;
    {
        const std::lock_guard lock(m_mutex);
        generation = reserveLocked(order, status);
    }
    if (generation == 0)
        return status;
    const bool fetched = fetchWeights(order);
    const std::lock_guard lock(m_mutex);
    const auto it = m_loadedModels.find(order.name);
    // The model was unloaded or loaded again while the weights were fetched.
    if (it == m_loadedModels.end() || it->second.generation != generation)
        return statusOk;
    if (!fetched) {
        unloadLocked(order.name);
        return statusWeightStoreFailed;
    }
    it->second.ready = true;
    recordHistoryLocked();
    return statusOk;
}

std::int64_t EngineMemory::reserveLocked(const ReceivedOrder &order, int &status)
{
    const auto it = m_loadedModels.find(order.name);
    if (it != m_loadedModels.end() && it->second.order.version == order.version)
        return 0;
    if (m_used + order.memory > m_settings.memory) {
        m_overcommitted = true;
        status = statusOutOfMemory;
        return 0;
    }
    m_peak = std::max(m_peak, m_used + order.memory);
    if (it != m_loadedModels.end())
        m_used -= it->second.order.memory;
    m_used += order.memory;
    ++(order.isAdapter ? m_adapterLoads : m_modelLoads);
    m_loadedModels[order.name] = {order, false, ++m_generation};
    recordHistoryLocked();
    return m_generation;
}

void EngineMemory::unloadLocked(const std::string &name)
{
    const auto it = m_loadedModels.find(name);
    if (it == m_loadedModels.end())
        return;
    m_used -= it->second.order.memory;
    m_loadedModels.erase(it);
    recordHistoryLocked();
}

bool EngineMemory::fetchWeights(const ReceivedOrder &order) const
{
    if (!m_settings.weightStore) {
        const auto time = order.isAdapter ? m_settings.adapterLoadTime : m_settings.modelLoadTime;
        std::this_thread::sleep_for(m_settings.scaled(time));
        return true;
    }
    httplib::Client client(m_settings.weightStore->host, m_settings.weightStore->port);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(weightStoreTimeout);
    const std::string kind = order.isAdapter ? "adapter" : "model";
    const auto result = client.Get("/weights/" + order.name + "?kind=" + kind);
    return result && result->status == statusOk;
}

void EngineMemory::recordHistoryLocked()
{
    Json loadedModels = Json::array();
    for (const auto &[name, it] : m_loadedModels) {
        loadedModels.push_back({{"name", name},
                                {"version", it.order.version},
                                {"memory_mb", it.order.memory.count()},
                                {"adapter", it.order.isAdapter},
                                {"ready", it.ready}});
    }
    m_history.add(std::move(loadedModels), Process::now());
}

} // namespace quetzalyoke::standins
