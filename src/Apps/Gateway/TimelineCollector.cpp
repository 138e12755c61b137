#include "Apps/Gateway/TimelineCollector.h"

#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Wire/generated/FleetMember.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <thread>

namespace quetzalyoke {

namespace {

using MemberPool = ThriftClientPool<wire::FleetMemberClient>;

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::chrono::milliseconds callTimeout{1500};
// After this time no further process is queried; a call in progress ends by its own timeouts.
constexpr std::chrono::milliseconds collectTimeout{4000};
constexpr std::size_t workerLimit = 16;

// Queries the processes at a list of addresses, several at once.
class ParallelQuery
{
public:
    ParallelQuery(std::vector<std::string> addresses, std::string secret, RequestId request,
                  std::size_t limit)
        : m_addresses(std::move(addresses)), m_secret(std::move(secret)),
          m_request(std::move(request)), m_limit(static_cast<std::int32_t>(limit)),
          m_deadline(Process::now() + collectTimeout)
    { }

    TimelineCollector::Collection run()
    {
        std::vector<std::thread> workers;
        for (std::size_t i = 0; i < std::min(workerLimit, m_addresses.size()); ++i)
            workers.emplace_back([this] { runWorker(); });
        for (std::thread &it : workers)
            it.join();
        return std::move(m_collection);
    }

private:
    void runWorker()
    {
        for (std::string address = nextAddress(); !address.empty(); address = nextAddress())
            query(address);
    }

    std::string nextAddress()
    {
        const std::lock_guard lock(m_mutex);
        return m_nextIndex < m_addresses.size() ? m_addresses[m_nextIndex++] : std::string();
    }

    void query(const std::string &address)
    {
        if (Process::now() >= m_deadline)
            return addMissing(address, "not queried: the time limit for collecting was reached");
        try {
            std::vector<wire::TimelineEvent> events;
            MemberPool pool(Address::parse(address), m_secret, connectTimeout, callTimeout);
            pool.call([&](wire::FleetMemberClient &client) {
                client.events(events, m_request.text(), m_limit);
            });
            const std::lock_guard lock(m_mutex);
            for (const wire::TimelineEvent &it : events)
                m_collection.events.push_back(ProcessTimeline::fromWire(it));
        } catch (const std::exception &e) {
            addMissing(address, e.what());
        }
    }

    void addMissing(const std::string &address, const std::string &reason)
    {
        const std::lock_guard lock(m_mutex);
        m_collection.missing.push_back({address, reason});
    }

    const std::vector<std::string> m_addresses;
    const std::string m_secret;
    const RequestId m_request;
    const std::int32_t m_limit;
    const Instant m_deadline;
    std::mutex m_mutex; // of the members below
    std::size_t m_nextIndex = 0;
    TimelineCollector::Collection m_collection;
};

} // namespace

TimelineCollector::TimelineCollector(const GatewaySettings &settings,
                                     const AgentRegistry &agentRegistry,
                                     std::function<std::vector<std::string>()> peers)
    : m_settings(settings), m_agentRegistry(agentRegistry), m_peers(std::move(peers))
{ }

TimelineCollector::Collection TimelineCollector::collect(const RequestId &request,
                                                         std::size_t limit) const
{
    Collection collection
        = ParallelQuery(addresses(), m_settings.fleetSecret, request, limit).run();
    const std::vector<TimelineEvent> own = ProcessTimeline::events(request, limit);
    collection.events.insert(collection.events.end(), own.begin(), own.end());
    collection.events = mergeTimelineEvents(std::move(collection.events));
    return collection;
}

std::vector<std::string> TimelineCollector::addresses() const
{
    const std::vector<std::string> peers = m_peers();
    std::set<std::string> all(peers.begin(), peers.end());
    for (const auto &it : m_agentRegistry.allAgents())
        all.insert(it.status.address);
    return {all.begin(), all.end()};
}

} // namespace quetzalyoke
